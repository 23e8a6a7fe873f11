//! Scenarios, baselines, load and plots.

fn main() {}
