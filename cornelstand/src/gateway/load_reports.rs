//! Takes what endpoints tell of their load from answers and from peers, and tells it on.

use crate::gateway::endpoint_load::{PaceNews, ToldLoad};
use crate::gateway::exchange::Sender;
use crate::gateway::extensions::{Extension, ExtensionKind, find};
use crate::gateway::gate::Gate;
use crate::gateway::placement::Place;

impl Gate {
    /// Records what an answer says of the load of the endpoint of `place`.
    pub(crate) fn note_load(&self, place: &Place, told: ToldLoad) {
        let now = self.now();
        let mut state = self.state.borrow_mut();
        let noted = state.endpoints.note_load(now, place, told);
        let count = |result| self.metrics.load_reports.with_label_values(&[result]).inc();
        match told {
            ToldLoad::Report(_) => count("read"),
            ToldLoad::Unreadable => count("unreadable"),
            ToldLoad::Missing if noted.tells_pace => count("missing"),
            ToldLoad::Missing => {}
        }
        if noted.is_newly_unreadable
            && let Some(endpoint) = state.endpoints.get(place.index)
        {
            tracing::info!(event = "load_unreadable", endpoint = %endpoint.record.name);
        }
    }

    /// Block on paces for a heartbeat.
    pub(crate) fn pace_block(&self) -> Option<Extension> {
        let now = self.now();
        let is_relay = self.relays_paces();
        let mut state = self.state.borrow_mut();
        let news = state.endpoints.take_pace_news(now);
        if is_relay {
            state.endpoints.pace_relay.collect(now, &news);
        }
        block(&news)
    }

    /// Block on paces for a digest.
    pub(crate) fn pace_digest_block(&self) -> Option<Extension> {
        let news = self
            .state
            .borrow_mut()
            .endpoints
            .pace_relay
            .take(self.now());
        block(&news)
    }

    /// Applies the paces that a message tells.
    pub(crate) fn receive_paces(&self, sender: &Sender, extensions: &[Extension]) {
        let Some(news) = find::<Vec<PaceNews>>(extensions, ExtensionKind::ENDPOINT_SPEED) else {
            return;
        };
        let now = self.now();
        let is_near = matches!(sender, Sender::Instance(_, centre) if *centre == self.settings.borrow().centre);
        let is_relay = is_near && self.relays_paces();
        let mut state = self.state.borrow_mut();
        state.endpoints.record_pace_news(now, &news);
        if is_relay {
            state.endpoints.pace_relay.collect(now, &news);
        }
    }

    /// Whether this instance sends digests to the other data centres.
    fn relays_paces(&self) -> bool {
        let is_large = self.state.borrow().peers.is_large();
        let is_relay = is_large && self.is_leader();
        if !is_relay {
            self.state.borrow_mut().endpoints.pace_relay.clear();
        }
        is_relay
    }
}

fn block(news: &[PaceNews]) -> Option<Extension> {
    if news.is_empty() {
        return None;
    }
    Extension::new(ExtensionKind::ENDPOINT_SPEED, &news)
}
