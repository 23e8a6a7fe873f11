//! Answers of an instance to its peers and to operators.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures::FutureExt;
use futures::future::join_all;
use http::StatusCode;
use prometheus::TextEncoder;

use crate::instance::Parts;
use crate::json::parse_json;
use crate::link::Handlers;
use crate::membership::AnswerGossip;
use crate::note::{Note, plan};
use crate::operator::{Answer, Query};
use crate::publish::PublishError;
use crate::status::{InstanceStatus, MemberStatus, Readiness};
use crate::steward::{LendHalf, TakeOverNotice};
use crate::timeline::{Event, merge};

/// Timeout of a call to one instance when the whole fleet is queried.
const PEER_TIMEOUT: Duration = Duration::from_secs(2);

impl Parts {
    /// Handlers of calls from peers.
    pub(crate) fn handlers(&self) -> Handlers {
        let parts = self.clone();
        macro_rules! handler {
            (|$parts:ident, $in:pat_param| $body:expr) => {{
                let parts = parts.clone();
                Arc::new(move |$in| {
                    let $parts = parts.clone();
                    async move { $body }.boxed()
                })
            }};
        }
        let clock = parts.timeline.clone();
        let events = parts.timeline.clone();
        Handlers {
            ping: Arc::new(move |stamp| {
                clock.observe(stamp);
                clock.stamp()
            }),
            offer: handler!(|parts, offer| parts.holdings.offer(offer).await),
            withdraw: handler!(|parts, (cell, attempt)| {
                parts.holdings.withdraw(&cell, attempt).await;
            }),
            tell: handler!(|parts, reports| parts.holdings.deliver_reports(reports).await),
            hear: handler!(|parts, (cell, totals)| parts
                .holdings
                .deliver_totals(&cell, totals)
                .await),
            census: handler!(|parts, (cell, _)| parts.entry.census(&cell)),
            hand_over: handler!(|parts, handover| {
                parts.holdings.receive(handover);
                true
            }),
            gossip: handler!(|parts, gossip| {
                parts
                    .membership
                    .send(AnswerGossip(gossip))
                    .await
                    .ok()
                    .flatten()
            }),
            borrow: handler!(|parts, borrow| parts
                .steward
                .send(LendHalf(borrow))
                .await
                .ok()
                .flatten()),
            yield_cell: handler!(|parts, request| {
                parts.steward.send(TakeOverNotice(request)).await.ok();
            }),
            suspect: handler!(|parts, suspicion| parts.entry.exchange(suspicion)),
            claim: handler!(|parts, call| parts.claims.serve(call).await.ok()),
            config: handler!(|parts, known| parts.in_force.update(known)),
            events: Arc::new(move || events.events()),
            status: handler!(|parts, ()| parts.status().await),
        }
    }

    /// Answers an operator.
    pub(crate) async fn answer(self, query: Query) -> Answer {
        match query {
            Query::Live => Answer::text(StatusCode::OK, "live\n"),
            Query::Ready => self.answer_ready(),
            Query::Metrics => self.answer_metrics(),
            Query::Status => Answer::json(&self.status().await),
            Query::Fleet => Answer::json(&self.fleet_status().await),
            Query::Timeline => Answer::json(&self.fleet_events().await),
            Query::Config => Answer::json(&*self.config()),
            Query::Revisions => Answer::json(&self.revisions()),
            Query::Apply(body) => self.apply(&body).await,
            Query::Plan(body) => self.plan(&body),
        }
    }

    fn answer_ready(&self) -> Answer {
        let readiness = self.readiness();
        let status = if readiness == Readiness::Ready {
            StatusCode::OK
        } else {
            StatusCode::SERVICE_UNAVAILABLE
        };
        Answer::text(status, format!("{readiness}\n"))
    }

    fn answer_metrics(&self) -> Answer {
        match TextEncoder::new().encode_to_string(&self.registry.gather()) {
            Ok(text) => Answer::text(StatusCode::OK, text),
            Err(error) => Answer::error(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    /// Status of all live instances that answer, starting with this one.
    async fn fleet_status(&self) -> Vec<InstanceStatus> {
        let calls = self.peers().into_iter().map(|address| async move {
            let call = self
                .links
                .call(address, PEER_TIMEOUT, |client, context| async move {
                    client.status(context).await
                });
            call.await.ok()
        });
        let others = join_all(calls).await;
        let mut all = vec![self.status().await];
        all.extend(others.into_iter().flatten());
        all
    }

    /// Events of all live instances that answer, merged by stamp.
    async fn fleet_events(&self) -> Vec<Event> {
        let calls = self.peers().into_iter().map(|address| async move {
            let call = self
                .links
                .call(address, PEER_TIMEOUT, |client, context| async move {
                    client.events(context).await
                });
            call.await.ok()
        });
        let others = join_all(calls).await;
        let mut event_lists = vec![self.timeline.events()];
        event_lists.extend(others.into_iter().flatten());
        merge(event_lists)
    }

    /// Revision in force on each instance, as known to this one.
    fn revisions(&self) -> Vec<MemberStatus> {
        let members = self.members.borrow();
        let running = members.all().filter(|m| !m.state.has_ended());
        running.map(MemberStatus::from).collect()
    }

    async fn apply(&self, body: &Bytes) -> Answer {
        let text = match std::str::from_utf8(body) {
            Ok(text) => text,
            Err(error) => return Answer::error(StatusCode::BAD_REQUEST, error.to_string()),
        };
        let note = match Note::parse(text) {
            Ok(note) => note,
            Err(error) => return Answer::error(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match self.accept(&note).await {
            Ok(acceptance) => Answer::json(&acceptance),
            Err(error) => Answer::error(refusal_status(&error), error.to_string()),
        }
    }

    fn plan(&self, body: &Bytes) -> Answer {
        let text = match std::str::from_utf8(body) {
            Ok(text) => text,
            Err(error) => return Answer::error(StatusCode::BAD_REQUEST, error.to_string()),
        };
        match parse_json(text) {
            Ok(declared) => Answer::json(&plan("plan", &declared, &self.config())),
            Err(error) => Answer::error(StatusCode::BAD_REQUEST, error.to_string()),
        }
    }
}

fn refusal_status(error: &PublishError) -> StatusCode {
    match error {
        PublishError::Race { .. } => StatusCode::CONFLICT,
        PublishError::Unfit { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
