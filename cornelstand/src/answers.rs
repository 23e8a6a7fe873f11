//! What an instance answers to its peers and to operators.

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

/// Time for the answer of one instance to a question about the fleet.
const PEER_WAIT: Duration = Duration::from_secs(2);

impl Parts {
    /// What this instance does with calls from its peers.
    pub(crate) fn handlers(&self) -> Handlers {
        let parts = self.clone();
        macro_rules! answer {
            (|$parts:ident, $in:pat_param| $body:expr) => {{
                let parts = parts.clone();
                Arc::new(move |$in| {
                    let $parts = parts.clone();
                    async move { $body }.boxed()
                })
            }};
        }
        let pinged = parts.timeline.clone();
        let events = parts.timeline.clone();
        Handlers {
            ping: Arc::new(move |stamp| {
                pinged.observe(stamp);
                pinged.stamp()
            }),
            offer: answer!(|parts, offer| parts.holdings.offer(offer).await),
            withdraw: answer!(|parts, (cell, attempt)| {
                parts.holdings.withdraw(&cell, attempt).await;
            }),
            tell: answer!(|parts, reports| parts.holdings.deliver_reports(reports).await),
            hear: answer!(|parts, (cell, totals)| parts
                .holdings
                .deliver_totals(&cell, totals)
                .await),
            census: answer!(|parts, (cell, _)| parts.entry.census(&cell)),
            hand_over: answer!(|parts, handover| {
                parts.holdings.receive(handover);
                true
            }),
            gossip: answer!(|parts, gossip| {
                parts
                    .membership
                    .send(AnswerGossip(gossip))
                    .await
                    .ok()
                    .flatten()
            }),
            borrow: answer!(|parts, borrow| parts
                .steward
                .send(LendHalf(borrow))
                .await
                .ok()
                .flatten()),
            yield_cell: answer!(|parts, word| {
                parts.steward.send(TakeOverNotice(word)).await.ok();
            }),
            suspect: answer!(|parts, suspicion| parts.entry.exchange(suspicion)),
            claim: answer!(|parts, call| parts.claims.serve(call).await.ok()),
            config: answer!(|parts, known| parts.in_force.update(known)),
            events: Arc::new(move || events.events()),
            status: answer!(|parts, ()| parts.status().await),
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

    /// Status of all live instances that answer, this one first.
    async fn fleet_status(&self) -> Vec<InstanceStatus> {
        let asked = self.peers().into_iter().map(|address| async move {
            let call = self
                .links
                .call(address, PEER_WAIT, |client, context| async move {
                    client.status(context).await
                });
            call.await.ok()
        });
        let others = join_all(asked).await;
        let mut all = vec![self.status().await];
        all.extend(others.into_iter().flatten());
        all
    }

    /// Events of all live instances that answer, in one order.
    async fn fleet_events(&self) -> Vec<Event> {
        let asked = self.peers().into_iter().map(|address| async move {
            let call = self
                .links
                .call(address, PEER_WAIT, |client, context| async move {
                    client.events(context).await
                });
            call.await.ok()
        });
        let others = join_all(asked).await;
        let mut rings = vec![self.timeline.events()];
        rings.extend(others.into_iter().flatten());
        merge(rings)
    }

    /// Which instance has which revision in force, as far as this one knows.
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
            Err(error) => Answer::error(refused(&error), error.to_string()),
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

fn refused(error: &PublishError) -> StatusCode {
    match error {
        PublishError::Race { .. } => StatusCode::CONFLICT,
        PublishError::Unfit { .. } => StatusCode::UNPROCESSABLE_ENTITY,
        _ => StatusCode::SERVICE_UNAVAILABLE,
    }
}
