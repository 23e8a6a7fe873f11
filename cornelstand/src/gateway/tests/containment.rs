//! Requests that crash endpoints, in simulated fleets: every send of the request crashes an endpoint.

use std::time::Duration;

use rand::RngExt;
use rstest::rstest;

use crate::gateway::prompt_suspects::PromptSuspects;
use crate::gateway::suspicion_news::{Evidence, SuspicionUpdates};
use crate::gateway::tests::crash;
use crate::gateway::tests::fleet::{CONTACT_TIME, Fleet, Member, Plan};
use crate::moment::Moment;
use crate::name::Fingerprint;
use crate::suspect::Suspects;

/// Endpoints that may crash before a request is refused everywhere, as the platform counts.
const MAX_CRASHED: usize = 3;
/// Further sends that the platform allows later than [`CONTACT_TIME`] after that.
const MAX_LATE_SENDS: usize = 3;
/// Time after its last crash for which a request is refused.
const REFUSAL_TIME: Duration = Duration::from_mins(10);
/// The request that crashes every endpoint that runs it.
const FATAL: Fingerprint = Fingerprint(1 << 40);
/// Requests that ran at an endpoint when it crashed: as many as an engine has slots.
const INNOCENTS: u64 = 64;

impl Fleet {
    /// Sends the fatal request through an instance. Its endpoint crashes with all that runs there.
    fn attack(&mut self, index: usize) {
        if self.members[index].gate.refusal_left(FATAL).is_some() {
            return;
        }
        let number = u64::try_from(self.crashed.len()).expect("few");
        self.crashed.push(self.time());
        let crash = crash(&format!("e-{number}"));
        for innocent in 0..self.plan.innocents {
            let at = self.rng.random_range(0..self.members.len());
            let request = Fingerprint(number * INNOCENTS + innocent);
            self.members[at].gate.note_crash(request, crash.clone());
            self.interrupted.push((at, request));
        }
        self.members[index].gate.note_crash(FATAL, crash);
    }

    /// Serves what ran at the last crashed endpoint, each request at the instance that lost it.
    fn serve_innocents(&mut self) {
        for (at, request) in std::mem::take(&mut self.interrupted) {
            let gate = &self.members[at].gate;
            assert!(
                gate.refusal_left(request).is_none(),
                "an innocent request is refused"
            );
            gate.note_request_answer(request, 200);
        }
    }

    /// Number of instances that would send a request.
    fn count_willing(&self, request: Fingerprint) -> usize {
        let is_willing = |m: &&Member| m.gate.refusal_left(request).is_none();
        self.members.iter().filter(is_willing).count()
    }

    /// Sends of the fatal request later than [`CONTACT_TIME`] after the third crash.
    fn late_sends(&self) -> usize {
        let third = self.crashed.get(MAX_CRASHED - 1);
        third.map_or(0, |t| {
            let late = self.crashed.iter().filter(|e| **e > *t + CONTACT_TIME);
            late.count()
        })
    }
}

/// Sends the fatal request every 400 ms, each time through a random instance. The requests that
/// ran beside it are served meanwhile.
async fn attack_in_series(fleet: &mut Fleet, count: usize) {
    for _ in 0..count {
        let at = fleet.rng.random_range(0..fleet.members.len());
        fleet.attack(at);
        fleet.wait(Duration::from_millis(200)).await;
        fleet.serve_innocents();
        fleet.wait(Duration::from_millis(200)).await;
    }
}

fn assert_contained(fleet: &Fleet) {
    let plan = fleet.plan;
    let (ended, late) = (fleet.crashed.len(), fleet.late_sends());
    assert!(
        ended <= MAX_CRASHED && late <= MAX_LATE_SENDS,
        "{plan:?}: {ended} endpoints ended, {late} sends came later than {CONTACT_TIME:?}"
    );
}

async fn assert_a_series_is_contained(plan: Plan) {
    let mut fleet = Fleet::start(plan);
    fleet.wait(Duration::from_secs(1)).await;
    attack_in_series(&mut fleet, 30).await;
    assert_contained(&fleet);
    assert_eq!(
        fleet.count_willing(FATAL),
        0,
        "instances that would still send it"
    );
}

#[rstest]
#[case::small(Plan::new(2, 2))]
#[case::large(Plan::new(5, 59))]
#[case::hundreds(Plan::new(3, 195))]
#[tokio::test(start_paused = true)]
async fn a_request_that_crashes_endpoints_is_refused_in_all_data_centres(#[case] plan: Plan) {
    assert_a_series_is_contained(plan).await;
}

#[test]
fn suspicions_beyond_the_room_of_a_message_are_sent_by_the_next_ones_and_refused_requests_first() {
    let mut suspects = Suspects::default();
    let mut updates = SuspicionUpdates::default();
    let count = 100;
    for number in 0..count {
        suspects.record_crash(Moment(0), Fingerprint(number), crash("e"));
        updates
            .heartbeats
            .push(Moment(0), Fingerprint(number), number == count - 1);
    }
    let evidence = Evidence {
        requests: &suspects,
        prompts: &PromptSuspects::default(),
    };
    let mut sends = vec![0; usize::try_from(count).expect("few")];
    for message in 0..20 {
        let suspicions = updates
            .heartbeats
            .take(Moment(message), evidence)
            .suspicions;
        assert!(message > 0 || suspicions[0].fingerprint == Fingerprint(count - 1));
        for suspicion in suspicions {
            sends[usize::try_from(suspicion.fingerprint.0).expect("few")] += 1;
        }
    }
    assert!(sends.iter().all(|times| *times == 3), "{sends:?}");
    assert_eq!(updates.heartbeats.take_unsent(), 0);
}

#[rstest]
#[case::small(Plan::new(2, 2), 0.0)]
#[case::large(Plan::new(5, 59), 0.0)]
#[case::hundreds(Plan::new(3, 195), 0.0)]
#[case::lossy(Plan::new(5, 59), 0.05)]
#[tokio::test(start_paused = true)]
async fn innocent_requests_beside_it_leave_room_to_tell_of_the_one_that_crashes_endpoints(
    #[case] plan: Plan,
    #[case] loss: f64,
) {
    let plan = Plan {
        innocents: INNOCENTS,
        loss,
        ..plan
    };
    assert_a_series_is_contained(plan).await;
}

/// Crashes endpoints until the request is refused, and waits until its changes have expired.
async fn contain(plan: Plan) -> Fleet {
    let mut fleet = Fleet::start(plan);
    fleet.wait(Duration::from_secs(1)).await;
    attack_in_series(&mut fleet, 4).await;
    fleet.wait(Duration::from_secs(7)).await;
    fleet
}

#[rstest]
#[case::small(Plan::new(2, 2))]
#[case::large(Plan::new(5, 59))]
#[case::hundreds(Plan::new(3, 195))]
#[tokio::test(start_paused = true)]
async fn an_instance_that_starts_later_learns_which_requests_are_refused(#[case] plan: Plan) {
    let mut fleet = contain(plan).await;
    let ended = fleet.crashed.len();
    for _ in 0..4 {
        let at = fleet.rng.random_range(0..plan.count);
        fleet.restart(at);
        fleet.wait(CONTACT_TIME).await;
        fleet.attack(at);
    }
    assert_eq!(
        fleet.crashed.len(),
        ended,
        "endpoints that ended after restarts"
    );
    assert_contained(&fleet);
}

#[rstest]
#[case::large(Plan::new(5, 59))]
#[tokio::test(start_paused = true)]
async fn a_data_centre_that_starts_again_learns_from_the_others_which_requests_are_refused(
    #[case] plan: Plan,
) {
    let mut fleet = contain(plan).await;
    let ended = fleet.crashed.len();
    let centre: Vec<usize> = (0..plan.count).filter(|i| i % plan.centres == 0).collect();
    for at in &centre {
        fleet.restart(*at);
    }
    fleet.wait(CONTACT_TIME).await;
    for at in centre {
        fleet.attack(at);
    }
    assert_eq!(
        fleet.crashed.len(),
        ended,
        "endpoints that ended after the restart"
    );
}

#[tokio::test(start_paused = true)]
async fn when_all_instances_start_again_at_once_the_request_is_contained_once_more() {
    let plan = Plan::new(5, 59);
    let mut fleet = contain(plan).await;
    for at in 0..plan.count {
        fleet.restart(at);
    }
    fleet.wait(CONTACT_TIME).await;
    attack_in_series(&mut fleet, 12).await;
    // With all state lost, it costs as many endpoints as the first time.
    assert!(
        fleet.late_sends() <= MAX_LATE_SENDS,
        "{} sends came late",
        fleet.late_sends()
    );
    assert_eq!(
        fleet.count_willing(FATAL),
        0,
        "instances that would still send it"
    );
}

#[rstest]
#[case::large(Plan::new(5, 59))]
#[case::hundreds(Plan::new(3, 195))]
#[tokio::test(start_paused = true)]
async fn a_data_centre_whose_two_largest_instances_are_silent_still_hears_the_others(
    #[case] plan: Plan,
) {
    let mut fleet = Fleet::start(plan);
    fleet.isolated = vec![0, plan.centres];
    fleet.wait(Duration::from_secs(3)).await;
    for _ in 0..2 {
        fleet.attack(1);
    }
    fleet.wait(CONTACT_TIME).await;
    let unaware = (0..plan.count).filter(|i| !fleet.isolated.contains(i));
    let unaware = unaware.filter(|i| fleet.members[*i].gate.refusal_left(FATAL).is_none());
    assert_eq!(unaware.count(), 0, "instances that would still send it");
}

#[rstest]
#[case::small(Plan::new(2, 2))]
#[case::large(Plan::new(5, 59))]
#[case::hundreds(Plan::new(3, 195))]
#[tokio::test(start_paused = true)]
async fn a_caller_that_comes_back_at_once_after_two_crashes_ends_no_further_endpoints(
    #[case] plan: Plan,
) {
    let mut fleet = Fleet::start(plan);
    fleet.wait(Duration::from_secs(1)).await;
    // An attempt that was repeated after its first crash.
    fleet.attack(0);
    fleet.attack(0);
    for _ in 0..20 {
        fleet.wait(Duration::from_millis(20)).await;
        let at = fleet.rng.random_range(0..plan.count);
        fleet.attack(at);
    }
    assert_contained(&fleet);
}

#[rstest]
#[case::small(Plan::new(2, 2))]
#[case::several(Plan::new(2, 6))]
#[tokio::test(start_paused = true)]
async fn a_refused_request_is_tried_again_ten_minutes_after_its_last_crash(#[case] plan: Plan) {
    let mut fleet = contain(plan).await;
    assert_eq!(fleet.count_willing(FATAL), 0);
    fleet.wait(REFUSAL_TIME).await;
    assert_eq!(
        fleet.count_willing(FATAL),
        plan.count,
        "instances that would send it"
    );
}
