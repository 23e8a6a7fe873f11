//! Tests of the dispatch decisions and of the dispatcher actor.

mod actor;
mod basics;
mod driver;
mod endpoints;
mod exchange;
mod make;
mod properties;
mod takeover;
mod ways;
