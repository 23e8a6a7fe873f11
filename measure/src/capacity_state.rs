//! Steps of the capacity measurements that need no sockets: state machines and their memory.

use std::collections::{BTreeMap, HashMap};
use std::hint::black_box;
use std::net::SocketAddr;

use cornelstand::{
    Account, AccountName, CellId, Centre, Config, Endpoint, Epoch, Gossip, Incarnation, Items,
    KeyIndex, Kind, Member, MemberInput, MemberOutput, MemberState, MemberTiming, Members, Moment,
    Note, Revision, Seed, Service, Stamp, Timeline, Topic, Total, Totals, key_hash, whole,
};

use crate::capacity_proc::{resident, thread_seconds};
use crate::capacity_sheet::{CellPoint, ConfigPoint, EventPoint, GossipPoint, Sheet, TotalsPoint};

#[path = "../../cornelstand/benches/common/mod.rs"]
mod common;

/// Microseconds in a second.
const MICROS: f64 = 1e6;
/// Milliseconds in a second.
const MILLIS: f64 = 1e3;
/// Decisions over which the processor time of one is taken.
const DECISIONS: u32 = 100_000;
/// Seconds in which a membership comes to know all.
const SETTLE: u64 = 120;
/// Seconds over which gossip is counted.
const COUNTED: u64 = 30;
/// Looks over which the processor time of one is taken.
const LOOKS: u16 = 2_000;
/// Replicas of the whole fleet.
const REPLICAS: usize = 600;
/// Services of the whole fleet.
const SERVICES: usize = 14;
/// Data centres of the whole fleet.
const CENTRES: usize = 9;
/// Copies over which the processor time of one is taken.
const COPIES: u32 = 20;

/// Measures one cell with `accounts` accounts.
pub(crate) fn cell(accounts: usize) -> Sheet {
    let mut load = common::Load::new(accounts);
    let before = resident();
    load.meet_all();
    let idle = resident();
    load.backlog(1);
    let backlogged = resident();
    load.backlog(7);
    let start = thread_seconds();
    for _ in 0..DECISIONS {
        let (index, _) = load.end();
        load.offer(black_box(index));
    }
    let spent = thread_seconds() - start;
    let waiting = accounts.div_ceil(10);
    let point = CellPoint {
        accounts: float(accounts),
        micros: spent * MICROS / f64::from(DECISIONS),
        idle_bytes: (idle - before) / float(accounts),
        backlogged_bytes: (backlogged - idle) / float(waiting),
    };
    Sheet {
        cells: vec![point],
        ..Sheet::default()
    }
}

/// Measures the gossip of `instances` instances with four cells a service.
pub(crate) fn gossip(instances: usize) -> Sheet {
    let cells = SERVICES * 4;
    let before = resident();
    let mut fleet = Exchanges::new(instances, cells);
    for _ in 0..SETTLE {
        fleet.second();
    }
    let memory = resident() - before;
    fleet.sent.fill(0);
    fleet.messages = 0;
    let start = thread_seconds();
    for _ in 0..COUNTED {
        fleet.second();
    }
    let spent = thread_seconds() - start;
    let exchanges = whole(fleet.messages) / 2.0;
    let total: u64 = fleet.sent.iter().sum();
    let most = fleet.sent.iter().max().copied().unwrap_or_default();
    let point = GossipPoint {
        instances: float(instances),
        cells: float(cells),
        bytes: whole(total) / float(instances) / whole(COUNTED),
        most_bytes: whole(most) / whole(COUNTED),
        messages: whole(fleet.messages) / float(instances) / whole(COUNTED),
        micros: spent * MICROS / exchanges,
        memory: memory / float(instances),
        look: fleet.look(),
    };
    Sheet {
        gossip: vec![point],
        ..Sheet::default()
    }
}

/// Instances that exchange gossip without sockets.
struct Exchanges {
    members: Vec<Members>,
    places: HashMap<SocketAddr, usize>,
    cells: usize,
    now: u64,
    sent: Vec<u64>,
    messages: u64,
}

impl Exchanges {
    fn new(instances: usize, cells: usize) -> Self {
        let member = |place: usize| Member {
            name: format!("router-{place:04}").as_str().into(),
            address: address(place),
            centre: format!("centre-{}", place % CENTRES).as_str().into(),
            incarnation: Incarnation(1_700_000_000_000_000 + number(place)),
            count: 0,
            state: MemberState::Live,
            revision: Revision(1),
        };
        let seeds: Vec<Seed> = (0..instances)
            .map(|place| Seed {
                name: Some(member(place).name),
                address: address(place),
                leaving: false,
            })
            .collect();
        let members = (0..instances).map(|place| {
            let timing = MemberTiming::default();
            let mut members = Members::new(member(place), timing, number(place));
            let input = MemberInput::Seeds {
                seeds: seeds.clone(),
                is_complete: true,
            };
            members.handle(Moment(0), input, &mut Vec::new());
            members
        });
        Self {
            members: members.collect(),
            places: (0..instances)
                .map(|place| (address(place), place))
                .collect(),
            cells,
            now: 0,
            sent: vec![0; instances],
            messages: 0,
        }
    }

    fn second(&mut self) {
        self.now += 1_000_000;
        for cell in 0..self.cells {
            let owner = cell * 7 % self.members.len();
            let input = MemberInput::Claim {
                cell: CellId {
                    service: format!("model-{}", cell % SERVICES).as_str().into(),
                    index: u16::try_from(cell / SERVICES).unwrap_or_default(),
                },
                epoch: Epoch(3),
                delay: 250,
            };
            self.members[owner].handle(Moment(self.now), input, &mut Vec::new());
        }
        for place in 0..self.members.len() {
            let stamp = self.stamp();
            for output in self.handle(place, MemberInput::Tick { stamp }) {
                if let MemberOutput::Exchange { address, gossip } = output {
                    self.exchange(place, address, &gossip);
                }
            }
        }
    }

    fn exchange(&mut self, from: usize, address: SocketAddr, gossip: &Gossip) {
        let to = self.places[&address];
        let gossip = self.carry(from, gossip);
        let stamp = self.stamp();
        for output in self.handle(to, MemberInput::Received { gossip, stamp }) {
            if let MemberOutput::Reply(reply) = output {
                let reply = self.carry(to, &reply);
                self.handle(from, MemberInput::Answered(reply));
            }
        }
    }

    /// Encodes and decodes a message and counts its bytes at the sender.
    fn carry(&mut self, from: usize, gossip: &Gossip) -> Box<Gossip> {
        let bytes = postcard::to_stdvec(gossip).expect("gossip can be encoded");
        self.sent[from] += number(bytes.len());
        self.messages += 1;
        Box::new(postcard::from_bytes(&bytes).expect("it was just encoded"))
    }

    fn handle(&mut self, place: usize, input: MemberInput) -> Vec<MemberOutput> {
        let mut out = Vec::new();
        self.members[place].handle(Moment(self.now), input, &mut out);
        out
    }

    /// Microseconds of a look at one cell, as each candidate for a lease does.
    fn look(&self) -> f64 {
        let config = sized_config(0);
        let start = thread_seconds();
        for index in 0..LOOKS {
            let cell = CellId {
                service: "model-00".into(),
                index,
            };
            black_box(self.members[0].lease_view(&cell, &config, None));
        }
        (thread_seconds() - start) * MICROS / f64::from(LOOKS)
    }

    fn stamp(&self) -> Stamp {
        Stamp {
            wall: 1_700_000_000_000_000 + self.now,
            count: 0,
        }
    }
}

/// Measures a configuration with `accounts` accounts and the replicas of the whole fleet.
pub(crate) fn config(accounts: usize) -> Sheet {
    let before = resident();
    let config = sized_config(accounts);
    let memory = resident() - before;
    let before = resident();
    let keys = KeyIndex::new(&config);
    let index = resident() - before;
    black_box(&keys);
    let bytes = postcard::to_stdvec(&config).expect("a configuration can be encoded");
    let start = thread_seconds();
    for _ in 0..COPIES {
        let bytes = postcard::to_stdvec(&config).expect("a configuration can be encoded");
        let copy: Config = postcard::from_bytes(&bytes).expect("it was just encoded");
        black_box(copy);
    }
    let copy = (thread_seconds() - start) * MILLIS / f64::from(COPIES);
    let note = one_change(&config);
    let start = thread_seconds();
    for _ in 0..COPIES {
        black_box(note.apply(&config)).expect("the note fits");
    }
    let apply = (thread_seconds() - start) * MILLIS / f64::from(COPIES);
    let point = ConfigPoint {
        accounts: float(accounts),
        endpoints: float(REPLICAS),
        bytes: float(bytes.len()),
        memory,
        apply,
        copy,
        keys: index,
    };
    Sheet {
        configs: vec![point],
        ..Sheet::default()
    }
}

/// A note that changes one account's share.
fn one_change(config: &Config) -> Note {
    let (name, account) = config.accounts.iter().next().expect("there is an account");
    let mut account = account.clone();
    account.share += 1;
    Note {
        title: "one share".to_owned(),
        base: config.revision,
        changed: Items {
            accounts: BTreeMap::from([(name.clone(), account)]),
            ..Items::default()
        },
        ..Note::default()
    }
}

fn sized_config(accounts: usize) -> Config {
    let service = |index: usize| format!("model-{index:02}").as_str().into();
    let centre = |index: usize| format!("centre-{index}").as_str().into();
    let endpoints = (0..REPLICAS).map(|index| {
        let endpoint = Endpoint {
            service: service(index % SERVICES),
            centre: centre(index % CENTRES),
            address: address(index),
            cold: 2,
            warm: 8,
            ramp: 24,
        };
        (format!("replica-{index:03}").as_str().into(), endpoint)
    });
    let services = (0..SERVICES).map(|index| {
        let sized = Service {
            kind: Kind::Model,
            cells: 4,
            routes: Vec::new(),
            estimate: 270,
        };
        (service(index), sized)
    });
    Config {
        revision: Revision(1),
        accounts: accounts_named(accounts),
        endpoints: endpoints.collect(),
        services: services.collect(),
        centres: (0..CENTRES)
            .map(|index| (centre(index), Centre::default()))
            .collect(),
    }
}

/// Accounts with a share and one key each.
pub(crate) fn accounts_named(count: usize) -> BTreeMap<AccountName, Account> {
    let accounts = (0..count).map(|index| {
        let account = Account {
            share: 1,
            keys: vec![key_hash(&format!("key-{index}"))],
            queue: 256,
        };
        (format!("account-{index:05}").as_str().into(), account)
    });
    accounts.collect()
}

/// Measures a message between two cells about `accounts` backlogged accounts.
pub(crate) fn totals(accounts: usize) -> Sheet {
    let each = (0..accounts).map(|index| Total {
        account: format!("account-{index:05}").as_str().into(),
        service: 65_536 * 1_000_000 + number(index),
    });
    let totals = Totals {
        cell: CellId {
            service: "model-00".into(),
            index: 1,
        },
        epoch: Epoch(3),
        accounts: each.collect(),
    };
    let bytes = postcard::to_stdvec(&totals).expect("totals can be encoded");
    let point = TotalsPoint {
        accounts: float(accounts),
        bytes: float(bytes.len()),
    };
    Sheet {
        totals: vec![point],
        ..Sheet::default()
    }
}

/// Measures a ring of `events` events of a common kind.
pub(crate) fn events(events: usize) -> Sheet {
    let before = resident();
    let timeline = Timeline::new("router-0001".into(), events);
    let start = thread_seconds();
    for index in 0..events * 2 {
        let request = cornelstand::RequestId(u128::from(number(index)));
        timeline.record(Topic::Request, "granted", "replica-001", Some(request));
    }
    let spent = thread_seconds() - start;
    let point = EventPoint {
        events: float(events),
        memory: resident() - before,
        micros: spent * MICROS / float(events * 2),
    };
    Sheet {
        events: vec![point],
        ..Sheet::default()
    }
}

fn address(place: usize) -> SocketAddr {
    let port = u16::try_from(20_000 + place).unwrap_or(u16::MAX);
    ([127, 0, 0, 1], port).into()
}

fn number(count: usize) -> u64 {
    u64::try_from(count).unwrap_or(u64::MAX)
}

pub(crate) fn float(count: usize) -> f64 {
    whole(number(count))
}
