//! Writes how far roll-outs are into the status of their orders.
//!
//! Each write depends on the revision of the entry, so that of two instances which both believe that
//! it is theirs one is refused. After a refusal, or without an answer, the entry is read again: a
//! lost write may have been done, and may still be done while the revision is the same.

use std::rc::Rc;
use std::time::Duration;

use tokio::time::sleep;

use crate::gateway::directory::OrderRecord;
use crate::gateway::gate::Gate;
use crate::gateway::rollout::{OrderId, StatusWord, StatusWrite};
use crate::platform::objects::{ROLLOUT_KIND, read_rollout, rollout_status};
use crate::platform::store::{StoreCallError, StoreClient};

/// Interval of looking for a status to write.
const CHECK_PERIOD: Duration = Duration::from_millis(50);
/// Interval of looking for roll-outs in the settings.
const IDLE_PERIOD: Duration = Duration::from_secs(1);
/// Delay after a failed call, doubled each time.
const RETRY_DELAY_MIN: Duration = Duration::from_millis(60);
/// Longest such delay.
const RETRY_DELAY_MAX: Duration = Duration::from_millis(500);

/// Result of a write.
#[derive(Debug)]
pub(crate) enum Written {
    /// The entry has the status, or one that ended the roll-out.
    Done(StatusWord),
    /// The entry is as before, or has another revision.
    Undone(Option<OrderRecord>),
    /// The entry is gone, or has another order.
    Replaced,
}

/// Writes statuses until the process ends.
pub(crate) async fn write_statuses(gate: Rc<Gate>) {
    let mut client = StoreClient::new(gate.settings.borrow().store);
    let mut delay = RETRY_DELAY_MIN;
    // Entry as last read, which may be newer than the directory's.
    let mut read: Option<OrderRecord> = None;
    loop {
        if !gate.has_rollouts() {
            sleep(IDLE_PERIOD).await;
            continue;
        }
        let Some((write, known)) = due_write(&gate) else {
            (delay, read) = (RETRY_DELAY_MIN, None);
            sleep(CHECK_PERIOD).await;
            continue;
        };
        let is_newer = |r: &OrderRecord| r.order.id == write.order && r.revision > known.revision;
        let entry = read.take().filter(is_newer).unwrap_or(known);
        match write_status(&gate, &mut client, &write, &entry).await {
            Written::Done(word) => {
                let order = write.order;
                gate.note_rollout_status(&StatusWrite { order, word });
                delay = RETRY_DELAY_MIN;
            }
            Written::Undone(entry) => {
                read = entry;
                sleep(delay.mul_f64(0.5 + rand::random::<f64>())).await;
                delay = (delay * 2).min(RETRY_DELAY_MAX);
            }
            // The watch tells of the change.
            Written::Replaced => sleep(RETRY_DELAY_MAX).await,
        }
    }
}

/// The status that this instance should write now, with the entry of its order.
fn due_write(gate: &Gate) -> Option<(StatusWrite, OrderRecord)> {
    let rank = gate.writer_rank()?;
    let state = gate.state.borrow();
    let write = state.rollouts.decisions.status_to_write(gate.now(), rank)?;
    let mut entries = state.directory.orders();
    let entry = entries.find(|e| e.order.id == write.order)?.clone();
    Some((write, entry))
}

pub(crate) async fn write_status(
    gate: &Gate,
    client: &mut StoreClient,
    write: &StatusWrite,
    entry: &OrderRecord,
) -> Written {
    if let Some(word) = settled(entry, write) {
        return Written::Done(word);
    }
    let OrderId {
        service,
        target,
        created,
    } = &write.order;
    let status = rollout_status(write.word, target);
    let written = client
        .put_status(ROLLOUT_KIND, &entry.name, entry.revision, &status)
        .await;
    let word = write.word;
    let writes = &gate.metrics.rollout_writes;
    let object = match written {
        Ok(()) => {
            writes.with_label_values(&["accepted"]).inc();
            tracing::info!(event = "rollout_status_written", %service, %target, order = created, ?word);
            return Written::Done(write.word);
        }
        Err(error) => {
            let result = match &error {
                StoreCallError::Conflict { .. } => "conflict",
                StoreCallError::NoAnswer { .. } => "lost",
                _ => "refused",
            };
            writes.with_label_values(&[result]).inc();
            tracing::info!(
                event = "rollout_status_refused", %service, %target, order = created, ?word,
                revision = entry.revision, %error,
            );
            match error {
                StoreCallError::Conflict {
                    object: Some(object),
                } => Some(*object),
                // Nothing was done.
                StoreCallError::Refused { status: 429 | 503 } => return Written::Undone(None),
                _ => match client.get(ROLLOUT_KIND, &entry.name).await {
                    Ok(object) => object,
                    Err(error) => {
                        tracing::info!(event = "rollout_status_unread", %service, %error);
                        return Written::Undone(None);
                    }
                },
            }
        }
    };
    let read = object.as_ref().and_then(|o| read_rollout(o).ok());
    let Some(read) = read.filter(|r| r.order.id == write.order) else {
        tracing::info!(event = "rollout_status_dropped", %service, %target, order = created, ?word);
        return Written::Replaced;
    };
    match settled(&read, write) {
        Some(word) => {
            tracing::info!(event = "rollout_status_read", %service, %target, order = created, ?word);
            Written::Done(word)
        }
        None => Written::Undone(Some(read)),
    }
}

/// Status of an entry that leaves nothing to write: the one to write, or one that ended the
/// roll-out.
fn settled(entry: &OrderRecord, write: &StatusWrite) -> Option<StatusWord> {
    let word = entry.order.word()?;
    (word == write.word || word != StatusWord::Running).then_some(word)
}
