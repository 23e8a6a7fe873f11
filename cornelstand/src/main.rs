//! Parses the command line and starts the daemon.

fn main() {}
