//! What the platform writes and reads, byte by byte.

mod crashes;
mod endless;
mod notices;
mod path;
mod scripted;
mod wire;
