//! Small fakes of the systems around the fleet: object API, instance list, model engine and
//! plain service. Each speaks HTTP and can be told to fail in the ways the real one does.
