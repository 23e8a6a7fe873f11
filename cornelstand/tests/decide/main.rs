//! Tests of the dispatch decisions and of the actor around them.

mod basics;
mod make;
