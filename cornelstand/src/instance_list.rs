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

/// Time between two readings of the list by the owner of a cell, and for the answer to one.
const PERIOD: Duration = Duration::from_secs(1);
/// Periods between two readings by an instance that owns no cell and grants nothing.
const SPARSE: u32 = 3;

/// The list as the platform gives it.
#[derive(Clone, Debug, Default, Deserialize, Eq, PartialEq, Serialize)]
pub(crate) struct InstanceList {
    instances: Vec<ListedInstance>,
}

/// One line of the list: an instance of the fleet or an endpoint.
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
    fn leaving(&self) -> BTreeSet<EndpointName> {
        let leaving = self.instances.iter().filter(|i| i.state.is_leaving());
        leaving.map(|i| i.name.as_str().into()).collect()
    }

    /// The instances of the fleet, which are those that are no endpoints.
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

/// Reads the list at `platform` again and again, tells the cells which endpoints leave and keeps
/// the latest list in `latest`.
pub(crate) async fn follow_instances(
    platform: SocketAddr,
    holdings: OwnedCells,
    latest: watch::Sender<Option<InstanceList>>,
) {
    let http = reqwest::Client::builder().no_proxy().timeout(PERIOD);
    let http = http
        .build()
        .expect("an HTTP client without TLS needs no system resources");
    let mut leaving = BTreeSet::new();
    let mut skipped = SPARSE;
    let mut ticks = interval(PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        skipped += 1;
        if skipped < SPARSE && holdings.owned().is_empty() {
            continue;
        }
        skipped = 0;
        let present = read(&http, platform).await;
        if let Some(now) = present.as_ref().map(InstanceList::leaving)
            && now != leaving
        {
            holdings.set_leaving(now.clone()).await;
            leaving = now;
        }
        latest.send_replace(present);
    }
}

async fn read(http: &reqwest::Client, platform: SocketAddr) -> Option<InstanceList> {
    let request = http.get(format!("http://{platform}/instances"));
    let answer = request.send().await.ok()?.error_for_status().ok()?;
    answer.json().await.ok()
}
