//! Tests of the state that an acquired cell starts from.

use std::collections::BTreeSet;
use std::sync::Arc;

use rstest::rstest;
use tokio::sync::{mpsc, watch};

use super::{Origin, OwnedCells};
use crate::config::Config;
use crate::dispatch::Handover;
use crate::lease::{Part, Tenure};
use crate::moment::{Clock, Moment};
use crate::name::{CellId, Epoch};
use crate::timeline::Timeline;

fn handover(cell: &CellId, epoch: u64) -> Handover {
    Handover {
        cell: cell.clone(),
        epoch: Epoch(epoch),
        counters: Vec::new(),
        running: Vec::new(),
        unreported: Vec::new(),
        endpoints: Vec::new(),
    }
}

#[rstest]
#[case::next_owner(4, 6, Origin::HandedOver)]
#[case::heir(4, 5, Origin::HandedOver)]
#[case::owned_by_others_since(4, 8, Origin::TakenOver)]
#[case::state_of_a_later_owner(6, 6, Origin::TakenOver)]
#[tokio::test]
async fn only_the_state_of_the_preceding_owner_is_used(
    #[case] before: u64,
    #[case] after: u64,
    #[case] origin: Origin,
) {
    let (_config, config) = watch::channel(Arc::new(Config::default()));
    let (totals, _totals) = mpsc::channel(1);
    let timeline = Timeline::new("north-1".into(), 16);
    let owned = OwnedCells::new(Clock::start(), timeline, config, totals);
    let cell = CellId {
        service: "quotes".into(),
        index: 0,
    };
    owned.receive(handover(&cell, before));
    let tenure = Tenure {
        epoch: Epoch(after),
        part: Part::Full,
        until: Moment(u64::MAX),
        after: None,
    };
    let gained = owned.acquire(&cell, tenure, BTreeSet::new()).await;
    assert_eq!(gained, origin);
}
