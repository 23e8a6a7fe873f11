//! Processor time and memory of this process, as the kernel counts them.

use std::fs;

use cornelstand::{FLEET_THREADS, whole};

/// Nanoseconds in a second.
const NANOS: f64 = 1e9;

/// Processor seconds of the calling thread.
pub(crate) fn thread_seconds() -> f64 {
    let text = fs::read_to_string("/proc/thread-self/schedstat").unwrap_or_default();
    ran(&text)
}

/// Processor seconds of all threads of the fleet.
pub(crate) fn fleet_seconds() -> f64 {
    threads_seconds(FLEET_THREADS)
}

/// Processor seconds of all threads that are called `name`.
pub(crate) fn threads_seconds(name: &str) -> f64 {
    let Ok(tasks) = fs::read_dir("/proc/self/task") else {
        return 0.0;
    };
    let paths = tasks.filter_map(|task| Some(task.ok()?.path()));
    let fleet = paths.filter(|path| {
        let found = fs::read_to_string(path.join("comm")).unwrap_or_default();
        found.trim_end() == name
    });
    fleet
        .map(|path| ran(&fs::read_to_string(path.join("schedstat")).unwrap_or_default()))
        .sum()
}

/// Bytes of the resident set, in whole pages as the kernel counts them.
pub(crate) fn resident() -> f64 {
    let status = fs::read_to_string("/proc/self/status").unwrap_or_default();
    let line = status.lines().find_map(|l| l.strip_prefix("VmRSS:"));
    let kib = line.and_then(|l| l.split_whitespace().next()?.parse().ok());
    whole(kib.unwrap_or(0)) * 1024.0
}

/// Load average of the machine over one minute.
pub(crate) fn load_average() -> String {
    let load = fs::read_to_string("/proc/loadavg").unwrap_or_default();
    let minute = load.split_whitespace().next().unwrap_or("unknown");
    minute.to_owned()
}

/// Seconds on a processor in a `schedstat`.
fn ran(text: &str) -> f64 {
    let nanos = text.split_whitespace().next().and_then(|t| t.parse().ok());
    whole(nanos.unwrap_or(0)) / NANOS
}
