//! Requests that crash endpoints, in simulated fleets: instances exchange real messages in
//! simulated time, and every send of the request crashes an endpoint.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use rstest::rstest;
use tokio::time::advance;

use crate::gateway::gate::Gate;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers_link::{
    DIGEST_PERIOD, Packet, alarm_packet, digest_packet, handle_datagram, heartbeat_packet,
    heartbeat_period,
};
use crate::gateway::prompt_suspects::PromptSuspects;
use crate::gateway::suspicion_news::{Evidence, SuspicionUpdates};
use crate::gateway::tests::{crash, settings};
use crate::moment::Moment;
use crate::name::{CentreName, Fingerprint};
use crate::suspect::Suspects;

/// Step of the simulated time.
const STEP: Duration = Duration::from_millis(10);
/// Delivery time of a datagram, in steps.
const DELIVERY_STEPS: u64 = 1;
/// Time within which connected instances know what others do, as the platform states it.
const CONTACT_TIME: Duration = Duration::from_secs(4);
/// Endpoints that may crash before a request is refused everywhere, as the platform counts.
const MAX_CRASHED: usize = 3;
/// Further sends that the platform allows later than [`CONTACT_TIME`] after that.
const MAX_LATE_SENDS: usize = 3;
/// The request that crashes every endpoint that runs it.
const FATAL: Fingerprint = Fingerprint(1 << 40);
/// Requests that ran at an endpoint when it crashed: as many as an engine has slots.
const INNOCENTS: u64 = 64;

/// Size and message faults of a fleet.
#[derive(Clone, Copy, Debug)]
struct Plan {
    centres: usize,
    count: usize,
    seed: u64,
    /// Innocent requests at each endpoint that crashes.
    innocents: u64,
    /// Share of datagrams that are lost.
    loss: f64,
}

impl Plan {
    fn new(centres: usize, count: usize) -> Self {
        Self {
            centres,
            count,
            seed: 1,
            innocents: 0,
            loss: 0.0,
        }
    }
}

struct Datagram {
    from: SocketAddr,
    /// Index of the receiving member.
    to: usize,
    bytes: Rc<[u8]>,
}

struct Member {
    gate: Rc<Gate>,
    address: SocketAddr,
    heartbeat_due: u64,
    digest_due: u64,
}

/// Instances and the datagrams between them.
struct Fleet {
    plan: Plan,
    members: Vec<Member>,
    /// Datagrams by the step in which they arrive.
    in_flight: BTreeMap<u64, Vec<Datagram>>,
    indices: BTreeMap<SocketAddr, usize>,
    step: u64,
    rng: ChaCha8Rng,
    /// When each endpoint crashed.
    crashed: Vec<Duration>,
    /// Instances cut off from all datagrams.
    isolated: Vec<usize>,
    /// Innocent requests that wait to be served again, with the instances that lost them.
    interrupted: Vec<(usize, Fingerprint)>,
}

fn steps(time: Duration) -> u64 {
    u64::try_from(time.as_millis() / STEP.as_millis()).expect("short")
}

impl Fleet {
    fn start(plan: Plan) -> Self {
        let members: Vec<Member> = (0..plan.count).map(|i| member(plan, i, 1)).collect();
        let indices = members.iter().enumerate().map(|(i, m)| (m.address, i));
        let mut fleet = Self {
            indices: indices.collect(),
            plan,
            members,
            in_flight: BTreeMap::new(),
            step: 0,
            rng: ChaCha8Rng::seed_from_u64(plan.seed),
            crashed: Vec::new(),
            isolated: Vec::new(),
            interrupted: Vec::new(),
        };
        (0..plan.count).for_each(|i| fleet.list_peers(i));
        fleet
    }

    /// Lists all others at an instance, as the store does.
    fn list_peers(&mut self, index: usize) {
        let mut state = self.members[index].gate.state.borrow_mut();
        for (_, other) in self.members.iter().enumerate().filter(|(i, _)| *i != index) {
            let settings = other.gate.settings.borrow();
            let (name, centre) = (settings.instance.clone(), settings.centre.clone());
            state
                .peers
                .list(name, other.address, centre, settings.cores);
        }
    }

    /// Replaces an instance by one without state.
    fn restart(&mut self, index: usize) {
        self.members[index] = member(self.plan, index, 2 + self.step);
        self.list_peers(index);
    }

    fn send(&mut self, from: usize, packet: &Packet) {
        let bytes: Rc<[u8]> = packet.bytes.as_slice().into();
        for address in &packet.addresses {
            if self.rng.random_bool(self.plan.loss) {
                continue;
            }
            let to = self.indices[address];
            if self.isolated.contains(&from) || self.isolated.contains(&to) {
                continue;
            }
            let due = self
                .in_flight
                .entry(self.step + DELIVERY_STEPS)
                .or_default();
            due.push(Datagram {
                from: self.members[from].address,
                to,
                bytes: bytes.clone(),
            });
        }
    }

    /// Runs one step.
    async fn run_step(&mut self) {
        advance(STEP).await;
        self.step += 1;
        for Datagram { from, to, bytes } in self.in_flight.remove(&self.step).unwrap_or_default() {
            let addresses = handle_datagram(&self.members[to].gate, from, &bytes);
            let packet = Packet {
                bytes: bytes.to_vec(),
                addresses,
            };
            self.send(to, &packet);
        }
        for index in 0..self.members.len() {
            let member = &self.members[index];
            let mut packets = Vec::from_iter(alarm_packet(&member.gate));
            if self.step >= member.heartbeat_due {
                packets.extend(heartbeat_packet(&member.gate));
                let period = heartbeat_period(&member.gate);
                self.members[index].heartbeat_due = self.step + steps(period);
            }
            if self.step >= self.members[index].digest_due {
                packets.extend(digest_packet(&self.members[index].gate));
                self.members[index].digest_due = self.step + steps(DIGEST_PERIOD);
            }
            for packet in &packets {
                self.send(index, packet);
            }
        }
    }

    async fn wait(&mut self, time: Duration) {
        for _ in 0..steps(time) {
            self.run_step().await;
        }
    }

    fn time(&self) -> Duration {
        STEP * u32::try_from(self.step).expect("short")
    }

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

fn member(plan: Plan, index: usize, incarnation: u64) -> Member {
    let centre = index % plan.centres;
    let mut settings = settings(&format!("{centre}-{index:03}"));
    settings.centre = CentreName::from(format!("c-{centre}").as_str());
    settings.cores = if index < plan.centres * 2 { 0.5 } else { 0.12 };
    let address = SocketAddr::from(([10, 0, 0, u8::try_from(index).expect("below 256")], 7_400));
    settings.callers = address;
    settings.peer_ports = 7_400..=7_400;
    let metrics = GatewayMetrics::new().expect("metrics are defined once");
    let offset = u64::try_from(index).expect("few");
    Member {
        gate: Rc::new(Gate::new(settings, metrics, incarnation)),
        address,
        heartbeat_due: offset % 7,
        digest_due: offset % 8,
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
