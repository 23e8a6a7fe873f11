//! Tests of the platform adapters and of the request path, at the level of bytes.

mod crashes;
mod endless;
mod notices;
mod path;
mod resumption;
mod scripted;
mod wire;
