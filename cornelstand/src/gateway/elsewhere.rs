//! Another endpoint for a stream whose own is silent.
//!
//! Silence is no proof that an endpoint has stopped. It is given up only once another one has a place
//! for the stream, with the retry already taken.

use std::time::Duration;

use tokio::time::{Instant, sleep, timeout_at};

use crate::gateway::acquire::waiting;
use crate::gateway::call::Call;
use crate::gateway::gate::{Gate, Ticket};
use crate::gateway::placement::{EndpointIndex, Place};
use crate::gateway::stop::Stops;
use crate::moment::Moment;

/// Period at which a stream that could not go on elsewhere checks again.
const CHECK_PERIOD: Duration = Duration::from_millis(250);

/// A place elsewhere and the retry for it.
#[derive(Debug)]
pub(crate) struct Onward {
    pub(crate) place: Place,
    /// When the retry was taken.
    pub(crate) retry: Moment,
}

/// A wait for a place that is withdrawn when it is dropped.
struct Wait<'a> {
    gate: &'a Gate,
    call: &'a Call,
    ticket: Ticket,
}

impl Drop for Wait<'_> {
    fn drop(&mut self) {
        self.gate.forget(self.ticket.id);
        if let Ok(place) = self.ticket.grant.try_recv() {
            self.gate.give_back(self.call, &place, None);
        }
    }
}

/// Waits until another endpoint than that of `index` can go on with a stream.
pub(crate) async fn other_endpoint(
    gate: &Gate,
    stops: &Stops<'_>,
    call: &Call,
    has_begun: bool,
    index: EndpointIndex,
) -> Onward {
    let is_allowed = |now| stops.admit(now, call.finish(has_begun, now)) && gate.may_repeat(call);
    let mut tried = call.tried.clone();
    tried.push(index);
    loop {
        let now = Instant::now();
        let is_possible = is_allowed(now)
            && gate
                .available_from(gate.now(), &call.service, &tried)
                .is_some_and(|available_at| available_at <= gate.now());
        if is_possible && let Some(place) = place(gate, call, has_begun, now, &tried).await {
            // Others may have taken the retries meanwhile, or a stop may have begun.
            if is_allowed(Instant::now())
                && let Some(retry) = gate.take_retry(call)
            {
                return Onward { place, retry };
            }
            gate.give_back(call, &place, None);
        }
        sleep(CHECK_PERIOD).await;
    }
}

/// Waits for a place for a stream, or the rest of one, for as long as a request or an interrupted
/// stream would.
async fn place(
    gate: &Gate,
    call: &Call,
    has_begun: bool,
    now: Instant,
    tried: &[EndpointIndex],
) -> Option<Place> {
    let waiting = waiting(gate, call, has_begun, now);
    let until = gate.clock.instant(waiting.queue_deadline);
    let ticket = gate.join_queue(waiting, tried);
    let mut wait = Wait { gate, call, ticket };
    // No refusal is counted, which would come once more with each check.
    if gate.exceeds_wait(wait.ticket.id) {
        return None;
    }
    let granted = timeout_at(until, &mut wait.ticket.grant).await;
    granted.ok()?.ok()
}
