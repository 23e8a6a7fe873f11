//! Memory of one account at a cell, as the growth of the process's resident set.
//!
//! The configuration is built before the first reading, so that it is not part of the figures.

mod common;

use common::Load;

const ACCOUNTS: usize = 25_000;

/// Requests that wait for each backlogged account.
const BACKLOG: usize = 1;

fn main() {
    let mut load = Load::new(ACCOUNTS);
    let before = resident();
    load.meet_all();
    let idle = resident();
    load.backlog(BACKLOG);
    let backlogged = resident();
    let each = |bytes: usize, count: usize| bytes / count;
    println!(
        "bytes for each of {ACCOUNTS} idle accounts: {}",
        each(idle - before, ACCOUNTS)
    );
    println!(
        "bytes more for each of {} backlogged accounts with {BACKLOG} waiting request: {}",
        ACCOUNTS / 10,
        each(backlogged - idle, ACCOUNTS / 10)
    );
}

/// Bytes of the resident set, in whole pages as the kernel counts them.
fn resident() -> usize {
    let status = std::fs::read_to_string("/proc/self/status").expect("a Linux process");
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    let kib: usize = kib.expect("a number of KiB");
    kib * 1024
}
