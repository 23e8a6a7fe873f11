//! An entry between HTTP callers and small endpoints in the same process.

mod answers;
mod attempts;
mod connections;
mod fleet;
mod orders;
mod parsers;
mod problems;
mod streams;
mod suspects;
