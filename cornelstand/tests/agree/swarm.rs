//! Simulation of many memberships over a network with loss and partitions.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use cornelstand::{
    GOSSIP_CELLS, GOSSIP_MEMBERS, Gossip, Incarnation, Member, MemberInput, MemberOutput,
    MemberState, MemberTiming, Members, Moment, Revision, Seed, Stamp,
};
use rand::{RngExt as _, SeedableRng as _};
use rand_chacha::ChaCha8Rng;

pub(crate) struct Swarm {
    pub(crate) nodes: Vec<Option<Members>>,
    /// Side of each instance; messages between sides are lost.
    pub(crate) sides: Vec<u8>,
    /// Loses one in this many exchanges; 0 for none.
    pub(crate) loss: u32,
    pub(crate) bytes: u64,
    pub(crate) messages: u64,
    pub(crate) changes: Vec<(usize, Member)>,
    seconds: u64,
    starts: u64,
    random: ChaCha8Rng,
}

fn address(index: usize) -> SocketAddr {
    let port = u16::try_from(index).unwrap_or(u16::MAX);
    ([10, 0, 0, 1], 1000 + port).into()
}

pub(crate) fn name(index: usize) -> String {
    format!("instance-{index:03}")
}

impl Swarm {
    /// `count` instances that know the first three addresses.
    pub(crate) fn new(count: usize, seed: u64) -> Self {
        let mut swarm = Self {
            nodes: Vec::new(),
            sides: vec![0; count],
            loss: 0,
            bytes: 0,
            messages: 0,
            changes: Vec::new(),
            seconds: 0,
            starts: 0,
            random: ChaCha8Rng::seed_from_u64(seed),
        };
        for index in 0..count {
            swarm.nodes.push(None);
            swarm.start(index);
        }
        swarm
    }

    /// Starts an instance without state.
    pub(crate) fn start(&mut self, index: usize) {
        self.starts += 1;
        let me = Member {
            name: name(index).as_str().into(),
            address: address(index),
            centre: format!("centre-{}", index % 9).as_str().into(),
            incarnation: Incarnation(1_700_000_000_000_000 + self.starts),
            count: 0,
            state: MemberState::Live,
            revision: Revision(0),
        };
        let seed = self.random.random();
        self.nodes[index] = Some(Members::new(me, MemberTiming::default(), seed));
        let seeds = (0..3).map(|i| Seed {
            name: None,
            address: address(i),
            leaving: false,
        });
        let seeds = seeds.collect();
        let is_complete = false;
        self.input(index, MemberInput::Seeds { seeds, is_complete });
    }

    pub(crate) fn now(&self) -> Moment {
        Moment::default().after(Duration::from_secs(self.seconds))
    }

    pub(crate) fn input(&mut self, index: usize, input: MemberInput) -> Option<Gossip> {
        let now = self.now();
        let mut out = Vec::new();
        self.nodes[index].as_mut()?.handle(now, input, &mut out);
        let mut reply = None;
        for output in out {
            match output {
                MemberOutput::Exchange { address, gossip } => {
                    self.exchange(index, address, *gossip);
                }
                MemberOutput::Reply(gossip) => reply = Some(*gossip),
                MemberOutput::Changed(member) => self.changes.push((index, member)),
                _ => {}
            }
        }
        reply
    }

    fn exchange(&mut self, from: usize, to: SocketAddr, gossip: Gossip) {
        self.count(&gossip);
        let target = usize::from(to.port() - 1000);
        let is_cut = self.sides.get(from) != self.sides.get(target);
        let is_lost = self.loss > 0 && self.random.random_ratio(1, self.loss);
        let input = MemberInput::Received {
            gossip: Box::new(gossip),
            stamp: Stamp::default(),
        };
        let reply = if is_cut || is_lost {
            None
        } else {
            self.input(target, input)
        };
        match reply {
            Some(reply) => {
                self.count(&reply);
                self.input(from, MemberInput::Answered(Box::new(reply)));
            }
            None => {
                self.input(from, MemberInput::NoReply(to));
            }
        }
    }

    fn count(&mut self, gossip: &Gossip) {
        assert!(gossip.members.len() <= GOSSIP_MEMBERS);
        assert!(gossip.cells.len() <= GOSSIP_CELLS);
        let bytes = postcard::to_stdvec(gossip).expect("a message");
        self.bytes += bytes.len() as u64;
        self.messages += 1;
    }

    /// One second: every instance ticks once.
    pub(crate) fn second(&mut self) {
        self.seconds += 1;
        for index in 0..self.nodes.len() {
            let stamp = Stamp::default();
            self.input(index, MemberInput::Tick { stamp });
        }
    }

    /// Seconds until `holds`, at most `most`.
    pub(crate) fn until(&mut self, most: u64, holds: impl Fn(&Self) -> bool) -> Option<u64> {
        for second in 0..=most {
            if holds(self) {
                return Some(second);
            }
            self.second();
        }
        None
    }

    pub(crate) fn running(&self) -> impl Iterator<Item = &Members> {
        self.nodes.iter().flatten()
    }

    /// Whether every running instance knows exactly the running ones as live.
    pub(crate) fn is_agreed(&self) -> bool {
        let count = self.running().count();
        let truth: BTreeMap<_, _> = self
            .running()
            .map(|m| (&m.me().name, m.me().incarnation))
            .collect();
        self.running().all(|m| {
            let live = m.live().filter(|m| m.state.is_live());
            m.live().count() == count
                && live
                    .filter(|m| truth.get(&m.name) == Some(&m.incarnation))
                    .count()
                    == count
        })
    }
}
