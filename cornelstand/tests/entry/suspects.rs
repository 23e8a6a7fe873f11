//! Requests suspected of crashing endpoints, on one instance and shared between instances.

use std::time::Duration;

use cornelstand::{
    BootId, Crash, Fingerprint, InstanceName, MAX_CRASHES, Moment, Standing, Suspects, TrialPhase,
};
use proptest::prelude::*;

use crate::parsers::run;

const REQUEST: Fingerprint = Fingerprint(7);
const HOUR: Duration = Duration::from_hours(1);

fn crash(endpoint: &str) -> Crash {
    Crash {
        endpoint: endpoint.into(),
        boot: Some(BootId(1)),
    }
}

fn name(index: usize) -> InstanceName {
    format!("entry-{index}").as_str().into()
}

fn at(seconds: u64) -> Moment {
    Moment::default().after(Duration::from_secs(seconds))
}

#[test]
fn a_request_is_suspect_refused_and_forgiven() {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(0), REQUEST, crash("a"));
    assert_eq!(suspects.check(at(1), REQUEST), Standing::Suspect);
    suspects.record_crash(at(1), REQUEST, crash("a"));
    assert_eq!(suspects.check(at(1), REQUEST), Standing::Suspect);
    suspects.record_crash(at(2), REQUEST, crash("b"));
    assert!(matches!(
        suspects.check(at(2), REQUEST),
        Standing::Refused(_)
    ));
    assert_eq!(suspects.check(at(2), Fingerprint(8)), Standing::Clear);
    let later = at(2).after(HOUR);
    assert_eq!(suspects.check(later, REQUEST), Standing::Clear);
    suspects.remove_expired(later);
    assert!(suspects.is_empty());
}

#[test]
fn a_whole_answer_clears_a_request_at_peers_that_still_suspect_it() {
    let (mut one, mut other) = (Suspects::default(), Suspects::default());
    one.record_crash(at(0), REQUEST, crash("a"));
    let told = one.suspicion(at(0), REQUEST).unwrap();
    other.merge(at(0), told.clone());
    one.clear(at(1), REQUEST);
    other.merge(at(1), one.suspicion(at(1), REQUEST).unwrap());
    other.merge(at(1), told);
    assert_eq!(other.check(at(1), REQUEST), Standing::Clear);
}

#[test]
fn only_a_success_clears_a_request() {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(0), REQUEST, crash("a"));
    for status in [400, 429, 500, 502, 504] {
        suspects.record_answer(at(1), REQUEST, status);
        assert_eq!(suspects.check(at(1), REQUEST), Standing::Suspect);
    }
    suspects.record_answer(at(1), REQUEST, 200);
    assert_eq!(suspects.check(at(1), REQUEST), Standing::Clear);
}

#[test]
fn a_trial_of_a_lost_instance_does_not_block_for_ever() {
    let mut suspects = Suspects::default();
    suspects.record_crash(at(0), REQUEST, crash("a"));
    assert!(suspects.request_trial(at(0), REQUEST, &name(0)));
    suspects.set_phase(at(0), REQUEST, &name(0), TrialPhase::Running);
    suspects.request_trial(at(1), REQUEST, &name(1));
    assert!(!suspects.may_begin(at(1), REQUEST, &name(1)));
    assert!(suspects.may_begin(at(1).after(HOUR), REQUEST, &name(1)));
}

#[test]
fn memory_is_bounded() {
    let mut suspects = Suspects::default();
    for request in 0..10_000 {
        suspects.record_crash(at(request), Fingerprint(request), crash("a"));
    }
    assert!(suspects.len() <= 4_096);
    assert_eq!(
        suspects.check(at(9_999), Fingerprint(9_999)),
        Standing::Suspect
    );
}

#[test]
fn the_crashes_of_a_request_that_a_peer_tells_first_are_bounded() {
    let mut peer = Suspects::default();
    for endpoint in 0..100 {
        peer.record_crash(at(1), REQUEST, crash(&format!("e-{endpoint}")));
    }
    let suspicion = peer.suspicion(at(1), REQUEST).expect("suspect");
    let mut suspects = Suspects::default();
    suspects.merge(at(1), suspicion);
    assert_eq!(suspects.crashes(REQUEST), 64);
}

/// One simulated step of instances that all received the same crashing request.
#[derive(Clone, Copy, Debug)]
enum Step {
    /// The instance requests a trial, if the request is suspect.
    Want(usize),
    /// The instance and a peer exchange their suspicions.
    Exchange(usize, usize),
    /// The instance begins its trial if it is allowed to and has exchanged with all peers.
    Begin(usize),
    /// The running trial of the instance crashes its endpoint.
    Crash(usize),
}

const INSTANCES: usize = 4;

fn step() -> impl Strategy<Value = Step> {
    let one = || 0..INSTANCES;
    prop_oneof![
        one().prop_map(Step::Want),
        (one(), one()).prop_map(|(a, b)| Step::Exchange(a, b)),
        (one(), one()).prop_map(|(a, b)| Step::Exchange(a, b)),
        one().prop_map(Step::Begin),
        one().prop_map(Step::Crash),
    ]
}

#[derive(Default)]
struct Instance {
    suspects: Suspects,
    is_waiting: bool,
    is_running: bool,
    /// Peers that it has exchanged with since it requested a trial.
    exchanged: [bool; INSTANCES],
}

struct Fleet {
    instances: Vec<Instance>,
    crashes: usize,
}

impl Fleet {
    /// Creates instances that all know of the first crash.
    fn new() -> Self {
        let mut instances: Vec<Instance> = Vec::new();
        instances.resize_with(INSTANCES, Instance::default);
        for instance in &mut instances {
            instance
                .suspects
                .record_crash(at(0), REQUEST, crash("first"));
        }
        Self {
            instances,
            crashes: 1,
        }
    }

    fn step(&mut self, step: Step) {
        match step {
            Step::Want(i) => {
                let instance = &mut self.instances[i];
                let suspect = instance.suspects.check(at(0), REQUEST).is_suspect();
                if suspect
                    && !instance.is_running
                    && instance.suspects.request_trial(at(0), REQUEST, &name(i))
                {
                    instance.is_waiting = true;
                    instance.exchanged = [false; INSTANCES];
                }
            }
            Step::Exchange(a, b) if a != b => {
                let told = self.instances[a].suspects.suspicion(at(0), REQUEST);
                self.instances[b].suspects.merge(at(0), told.unwrap());
                let view = self.instances[b].suspects.suspicion(at(0), REQUEST);
                self.instances[a].suspects.merge(at(0), view.unwrap());
                self.instances[a].exchanged[b] = true;
            }
            Step::Exchange(..) => {}
            Step::Begin(i) => self.begin(i),
            Step::Crash(i) => {
                let endpoint = format!("lost-{}", self.crashes);
                let instance = &mut self.instances[i];
                if std::mem::take(&mut instance.is_running) {
                    self.crashes += 1;
                    instance
                        .suspects
                        .record_crash(at(0), REQUEST, crash(&endpoint));
                    let ended = TrialPhase::Ended;
                    instance.suspects.set_phase(at(0), REQUEST, &name(i), ended);
                }
            }
        }
    }

    fn begin(&mut self, i: usize) {
        let instance = &mut self.instances[i];
        let has_exchanged = (0..INSTANCES).all(|peer| peer == i || instance.exchanged[peer]);
        if !instance.is_waiting || !has_exchanged {
            return;
        }
        instance.is_waiting = false;
        let is_suspect = instance.suspects.check(at(0), REQUEST).is_suspect();
        let begins = is_suspect && instance.suspects.may_begin(at(0), REQUEST, &name(i));
        let phase = if begins {
            TrialPhase::Running
        } else {
            TrialPhase::Ended
        };
        instance.is_running = begins;
        instance.suspects.set_phase(at(0), REQUEST, &name(i), phase);
    }
}

#[test]
fn instances_that_hear_of_one_another_lose_at_most_two_endpoints() {
    run(proptest::collection::vec(step(), 0..120), |steps| {
        let mut fleet = Fleet::new();
        for step in steps {
            fleet.step(step);
            prop_assert!(fleet.crashes <= MAX_CRASHES);
        }
        Ok(())
    });
}

#[test]
fn merging_gives_the_same_in_any_order() {
    let notes = proptest::collection::vec((0..3_usize, 0..4_u8), 0..12);
    run(notes, |notes| {
        let mut parts: Vec<Suspects> = vec![Suspects::default(); 3];
        for (part, what) in notes {
            match what {
                0 => parts[part].clear(at(1), REQUEST),
                n => parts[part].record_crash(at(1), REQUEST, crash(&format!("e{n}"))),
            }
        }
        let told: Vec<_> = parts
            .iter()
            .filter_map(|p| p.suspicion(at(1), REQUEST))
            .collect();
        let (mut forward, mut reverse) = (Suspects::default(), Suspects::default());
        for s in &told {
            forward.merge(at(1), s.clone());
        }
        for s in told.iter().rev() {
            reverse.merge(at(1), s.clone());
        }
        prop_assert_eq!(
            forward.suspicion(at(1), REQUEST),
            reverse.suspicion(at(1), REQUEST)
        );
        Ok(())
    });
}
