//! What the platform writes and reads, byte by byte.

mod path;
mod scripted;
mod wire;
