//! Client of the platform's instance list.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use derive_more::IsVariant;
use serde::{Deserialize, Serialize};
use tokio::sync::watch;
use tokio::time::{MissedTickBehavior, interval};

use crate::config::Config;
use crate::gossip::Seed;
use crate::holdings::OwnedCells;
use crate::name::{EndpointName, InstanceName};
use crate::raw_json::{elements, member, members};
use crate::response_body::read_whole;

/// Poll period of an instance that owns a cell, and the timeout of one poll.
const POLL_PERIOD: Duration = Duration::from_secs(1);
/// Largest list, in bytes.
const MAX_LIST_BYTES: usize = 8 * 1024 * 1024;
/// Periods between two polls by an instance that owns no cell and grants nothing.
const IDLE_PERIODS: u32 = 3;

/// The platform's list.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub(crate) struct InstanceList {
    instances: Vec<ListedInstance>,
    /// Number of entries that could not be decoded.
    unreadable: usize,
}

/// An entry of the list: an instance of the fleet or an endpoint.
#[derive(Clone, Debug, Deserialize, Eq, PartialEq, Serialize)]
struct ListedInstance {
    name: String,
    address: SocketAddr,
    state: ListedState,
}

#[derive(Clone, Copy, Debug, Deserialize, Eq, IsVariant, PartialEq, Serialize)]
#[serde(rename_all = "kebab-case")]
enum ListedState {
    Live,
    Leaving,
}

impl InstanceList {
    /// Decodes each entry on its own; unreadable ones hide no others.
    fn parse(json: &[u8]) -> Option<Self> {
        let entries = elements(member(&members(json)?, "instances")?)?;
        let entries: Vec<_> = entries.into_iter().map(serde_json::from_slice).collect();
        let instances: Vec<ListedInstance> = entries.iter().flatten().cloned().collect();
        let unreadable = entries.len() - instances.len();
        Some(Self {
            instances,
            unreadable,
        })
    }

    fn leaving(&self) -> BTreeSet<EndpointName> {
        let leaving = self.instances.iter().filter(|i| i.state.is_leaving());
        leaving.map(|i| i.name.as_str().into()).collect()
    }

    /// The instances of the fleet: those that are not endpoints.
    pub(crate) fn seeds(&self, config: &Config) -> Vec<Seed> {
        let is_peer = |i: &&ListedInstance| !config.endpoints.contains_key(i.name.as_str());
        let seeds = self.instances.iter().filter(is_peer).map(|i| Seed {
            name: Some(InstanceName::from(i.name.as_str())),
            address: i.address,
            leaving: i.state.is_leaving(),
        });
        seeds.collect()
    }
}

/// Polls the list at `platform`, tells the cells which endpoints are leaving and publishes the
/// list in `latest`.
pub(crate) async fn follow_instances(
    platform: SocketAddr,
    holdings: OwnedCells,
    latest: watch::Sender<Option<InstanceList>>,
) {
    let http = reqwest::Client::builder().no_proxy().timeout(POLL_PERIOD);
    let http = http
        .build()
        .expect("an HTTP client without TLS needs no system resources");
    let mut leaving = BTreeSet::new();
    let mut unreadable = 0;
    let mut skipped = IDLE_PERIODS;
    let mut ticks = interval(POLL_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        skipped += 1;
        if skipped < IDLE_PERIODS && holdings.owned().is_empty() {
            continue;
        }
        skipped = 0;
        let list = read(&http, platform).await;
        if let Some(now) = list.as_ref().map(InstanceList::leaving)
            && now != leaving
        {
            holdings.set_leaving(now.clone()).await;
            leaving = now;
        }
        let count = list.as_ref().map_or(unreadable, |l| l.unreadable);
        if std::mem::replace(&mut unreadable, count) != count {
            tracing::warn!(count, "entries of the instance list are unreadable");
        }
        latest.send_replace(list);
    }
}

pub(crate) async fn read(http: &reqwest::Client, platform: SocketAddr) -> Option<InstanceList> {
    let request = http.get(format!("http://{platform}/instances"));
    let answer = request.send().await.ok()?.error_for_status().ok()?;
    InstanceList::parse(&read_whole(answer, MAX_LIST_BYTES).await.ok()?)
}

#[cfg(test)]
mod tests;
