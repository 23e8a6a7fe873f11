//! Waits until an endpoint has a place, a slot for one request, or the request is refused.

use std::time::Duration;

use tokio::time::{Instant, sleep_until};

use crate::gateway::admission::Waiting;
use crate::gateway::call::{CRASHED, Call, Refused};
use crate::gateway::gate::Gate;
use crate::gateway::outlet::Outlet;
use crate::gateway::placement::{Place, PlaceEnd};
use crate::moment::Moment;

/// `Retry-After` when a service has no usable endpoint.
const NO_ENDPOINT_RETURN: Duration = Duration::from_secs(1);

/// Shortest `Retry-After` when all endpoints have asked for a back-off.
const REST_RETURN: Duration = Duration::from_millis(20);

/// Outcome of waiting for a place.
pub(crate) enum Acquired {
    Place(Place),
    Refused(Refused),
    Gone,
}

/// Waits until the request gets a place, is refused, or its caller disconnects.
pub(crate) async fn acquire(gate: &Gate, call: &mut Call, outlet: &mut Outlet) -> Acquired {
    if let Some(left) = gate.refused_for(call.fingerprint) {
        return refuse_place(call, CRASHED, left);
    }
    let started = Instant::now();
    let now = gate.now();
    let account = call.account_name();
    let (generated, stride) = (call.generated, call.stride);
    let prompt = call.prompt.clone();
    let prompt = prompt.map(|p| p.advanced(generated, stride));
    let left = call.deadline.saturating_duration_since(started);
    let service = call.service.clone();
    let waiting = Waiting::new(now, account, service, &call.route, prompt, left);
    let waiting = if call.has_begun {
        waiting.going_on()
    } else {
        waiting
    };
    if let Some(refused) = unservable(gate, call, waiting.gives_up) {
        return refused;
    }
    let (cost, patience) = (waiting.cost(), waiting.gives_up);
    let gives_up = gate.clock.instant(waiting.gives_up).min(call.deadline);
    let mut ticket = match gate.enqueue(waiting, &call.tried) {
        Ok(ticket) => ticket,
        Err(after) => {
            log_refusal(gate, call, cost);
            return refuse_place(call, "others come first", after);
        }
    };
    let acquired = tokio::select! {
        biased;
        place = &mut ticket.grant => place.ok(),
        () = outlet.gone() => {
            gate.withdraw(ticket.id);
            // Releases a place that was granted concurrently.
            if let Ok(place) = ticket.grant.try_recv() {
                gate.end(&place, PlaceEnd::Neutral);
            }
            return Acquired::Gone;
        }
        () = sleep_until(gives_up) => None,
    };
    call.queued += started.elapsed();
    gate.metrics
        .queue_time
        .observe(started.elapsed().as_secs_f64());
    if let Some(place) = acquired {
        return Acquired::Place(place);
    }
    let after = gate.withdraw(ticket.id);
    if let Some(refused) = unservable(gate, call, patience) {
        return refused;
    }
    log_refusal(gate, call, cost);
    refuse_place(call, "no endpoint had room in time", after)
}

/// Refuses a request if no endpoint becomes available by `gives_up`, or by now if that is later.
fn unservable(gate: &Gate, call: &Call, gives_up: Moment) -> Option<Acquired> {
    let now = gate.now();
    let (reason, after) = match gate.opens(now, &call.service, &call.tried) {
        Some(opens) if opens <= gives_up.max(now) => return None,
        Some(opens) => (
            "the endpoints asked for a rest",
            opens.since(now).max(REST_RETURN),
        ),
        None => ("no endpoint can be used", NO_ENDPOINT_RETURN),
    };
    Some(refuse_place(call, reason, after))
}

/// Logs the admission state behind a refusal.
fn log_refusal(gate: &Gate, call: &Call, cost: f64) {
    let admission = &gate.state.borrow().admission;
    let (now, account, service) = (gate.now(), call.account_name(), &call.service);
    tracing::info!(
        event = "no_place", request = %call.id(), %account, %service, cost,
        attained = admission.attained(now, &account), least = admission.least(service),
        queued = admission.queued(service), rate = admission.rate(now, service),
        waiting = admission.len(),
    );
}

/// Final response to a request that got no place. A 503 promises that the request has not run, so
/// it is used only if nothing was sent.
fn refuse_place(call: &Call, reason: &'static str, after: Duration) -> Acquired {
    let status = if call.sends == 0 { 503 } else { 502 };
    Acquired::Refused(Refused::new(status, reason, Some(after)))
}
