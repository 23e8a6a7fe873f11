//! What other instances told about one order.

use std::collections::HashMap;
use std::time::Duration;

use crate::gateway::exchange::Sender;
use crate::gateway::rollout::evidence::Evidence;
use crate::gateway::rollout::news::{MoveState, OrderNews};
use crate::gateway::rollout::rollouts::Fleet;
use crate::name::{CentreName, InstanceName};

/// Latest state that one sender told.
#[derive(Clone, Copy, Debug)]
struct ToldState {
    incarnation: u64,
    age: Duration,
    state: MoveState,
}

/// Reports about an order.
#[derive(Debug, Default)]
pub(crate) struct Reports {
    /// Counters of processes; those of ended ones stay.
    instances: HashMap<(InstanceName, u64), Evidence>,
    centres: HashMap<CentreName, Evidence>,
    /// Sum of the counters of `instances`: those of this data centre, or of a small fleet, without
    /// the own ones.
    pub(crate) near: Evidence,
    /// Sum of the counters of `centres`.
    pub(crate) far: Evidence,
    states: HashMap<Sender, ToldState>,
}

impl Reports {
    /// Records a report. Reports may arrive late and in any order.
    pub(crate) fn record(&mut self, sender: &Sender, incarnation: u64, news: &OrderNews) {
        match sender {
            Sender::Instance(name, _) => {
                let known = self.instances.entry((name.clone(), incarnation));
                known.or_default().merge(&news.evidence, &mut self.near);
            }
            // Leaders change: each one's sum is a lower bound of the true one.
            Sender::Centre(centre) => {
                let known = self.centres.entry(centre.clone());
                known.or_default().merge(&news.evidence, &mut self.far);
            }
        }
        let told = ToldState {
            incarnation,
            age: news.age,
            state: news.state,
        };
        let last = self.states.entry(sender.clone()).or_insert(told);
        let is_centre = matches!(sender, Sender::Centre(_));
        let order = |t: &ToldState| (if is_centre { 0 } else { t.incarnation }, t.age);
        if order(&told) >= order(last) {
            *last = told;
        }
    }

    /// State of the other living instances that send heartbeats here, if all of them told it.
    pub(crate) fn instances_state(&self, own: &InstanceName, fleet: &Fleet) -> Option<MoveState> {
        let told = |name: &InstanceName| {
            let mut told = self.states.iter();
            let found = told.find(|(s, _)| matches!(s, Sender::Instance(n, _) if n == name));
            found.map(|(_, told)| told.state)
        };
        let others = fleet.instances.iter().filter(|name| *name != own);
        let mut all = MoveState::NONE;
        for name in others {
            all = all.join(told(name)?);
        }
        Some(all)
    }

    /// State of the other data centres, if all of them told it.
    pub(crate) fn centres_state(&self, fleet: &Fleet) -> Option<MoveState> {
        let mut all = MoveState::NONE;
        for centre in &fleet.centres {
            let told = self.states.get(&Sender::Centre(centre.clone()))?;
            all = all.join(told.state);
        }
        Some(all)
    }
}
