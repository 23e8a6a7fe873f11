//! Tests of an entry between HTTP callers and in-process endpoints.

mod answers;
mod attempts;
mod connections;
mod endings;
mod fleet;
mod long_answers;
mod orders;
mod parsers;
mod problems;
mod streams;
mod suspects;
