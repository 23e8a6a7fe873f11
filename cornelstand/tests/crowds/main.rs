//! Crowds of callers that read slowly or never, or never finish a request, against real processes.
//!
//! Each test checks what does not depend on the speed of the machine: the process lives, its memory
//! with the bytes it has received and not read stays within that of its settings, so do its
//! descriptors, and one ordinary request is answered afterwards. The tests run one at a time.

mod callers;
mod endpoint;
mod gateway;
mod process;
mod serve;

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::{Mutex, MutexGuard};
use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use callers::{Crowd, Front};
use process::{Peak, Process};

/// Time limit for any wait; far above what the processes need.
const TEST_TIMEOUT: Duration = Duration::from_mins(1);
/// How long a crowd stays.
const STAY: Duration = Duration::from_secs(6);
/// Time between two looks at a process.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// One test at a time: crowds are not to meet other load.
async fn alone() -> MutexGuard<'static, ()> {
    static ALONE: Mutex<()> = Mutex::const_new(());
    ALONE.lock().await
}

/// What the settings of a process allow it.
#[derive(Clone, Copy, Debug)]
struct Bounds {
    memory: usize,
    descriptors: usize,
}

/// Lets crowds meet a process, checks its bounds meanwhile, and then sends one ordinary request.
async fn meet(process: &mut Process, front: &Front, crowds: &[Crowd], bounds: Bounds) {
    await_answer(front, "before").await;
    let front = Arc::new(front.clone());
    let mut callers: Vec<JoinHandle<()>> = Vec::new();
    for (at, crowd) in crowds.iter().enumerate() {
        let of_crowd = (0..crowd.count).map(|i| {
            let id = format!("c{at}-{i}");
            tokio::spawn(callers::run(front.clone(), crowd.way, id))
        });
        callers.extend(of_crowd);
    }
    let mut peak = Peak::default();
    let until = Instant::now() + STAY;
    while Instant::now() < until {
        peak.note(process);
        sleep(SAMPLE_PERIOD).await;
    }
    callers.iter().for_each(JoinHandle::abort);
    assert!(!process.has_ended(), "the process ended, {peak:?}");
    await_answer(&front, "after").await;
    peak.note(process);
    println!("{peak:?} of {bounds:?}");
    assert!(!process.has_ended(), "the process ended, {peak:?}");
    assert!(peak.memory <= bounds.memory, "{peak:?} of {bounds:?}");
    assert!(
        peak.descriptors <= bounds.descriptors,
        "{peak:?} of {bounds:?}"
    );
}

/// Sends one ordinary request, again while it is refused.
async fn await_answer(front: &Front, id: &str) {
    let until = Instant::now() + TEST_TIMEOUT;
    for number in 0.. {
        let answer = callers::ask(front, &format!("{id}-{number}")).await;
        if answer.is_some_and(|a| a.starts_with("HTTP/1.1 200") && a.ends_with(endpoint::PLAIN)) {
            return;
        }
        assert!(Instant::now() < until, "no answer {id}");
        sleep(SAMPLE_PERIOD).await;
    }
}
