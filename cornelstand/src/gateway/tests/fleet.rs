//! Fleets in simulated time, whose instances exchange real messages.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use tokio::time::advance;

use crate::gateway::gate::Gate;
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers_link::{
    DIGEST_PERIOD, Packet, alarm_packet, digest_packet, handle_datagram, heartbeat_packet,
    heartbeat_period,
};
use crate::gateway::tests::settings;
use crate::name::{CentreName, Fingerprint};

/// Step of the simulated time.
pub(crate) const STEP: Duration = Duration::from_millis(10);
/// Delivery time of a datagram, in steps.
pub(crate) const DELIVERY_STEPS: u64 = 1;
/// Time within which connected instances know what others do, as the platform states it.
pub(crate) const CONTACT_TIME: Duration = Duration::from_secs(4);

/// Size and message faults of a fleet.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Plan {
    pub(crate) centres: usize,
    pub(crate) count: usize,
    pub(crate) seed: u64,
    /// Innocent requests at each endpoint that crashes.
    pub(crate) innocents: u64,
    /// Share of datagrams that are lost.
    pub(crate) loss: f64,
}

impl Plan {
    pub(crate) fn new(centres: usize, count: usize) -> Self {
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

pub(crate) struct Member {
    pub(crate) gate: Rc<Gate>,
    address: SocketAddr,
    heartbeat_due: u64,
    digest_due: u64,
}

/// Instances and the datagrams between them.
pub(crate) struct Fleet {
    pub(crate) plan: Plan,
    pub(crate) members: Vec<Member>,
    /// Datagrams by the step in which they arrive.
    in_flight: BTreeMap<u64, Vec<Datagram>>,
    indices: BTreeMap<SocketAddr, usize>,
    pub(crate) step: u64,
    pub(crate) rng: ChaCha8Rng,
    /// When the fatal request crashed each endpoint.
    pub(crate) crashed: Vec<Duration>,
    /// Instances cut off from all datagrams.
    pub(crate) isolated: Vec<usize>,
    /// Innocent requests that wait to be served again, with the instances that lost them.
    pub(crate) interrupted: Vec<(usize, Fingerprint)>,
}

pub(crate) fn steps(time: Duration) -> u64 {
    u64::try_from(time.as_millis() / STEP.as_millis()).expect("short")
}

impl Fleet {
    pub(crate) fn start(plan: Plan) -> Self {
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
    pub(crate) fn restart(&mut self, index: usize) {
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
    pub(crate) async fn run_step(&mut self) {
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

    pub(crate) async fn wait(&mut self, time: Duration) {
        for _ in 0..steps(time) {
            self.run_step().await;
        }
    }

    pub(crate) fn time(&self) -> Duration {
        STEP * u32::try_from(self.step).expect("short")
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
