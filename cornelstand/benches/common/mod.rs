//! A cell at work, for the benchmarks.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;
use std::time::{Duration, Instant};

use cornelstand::{
    Account, AccountName, AttemptId, BootId, Cell, CellId, CellInput, CellOutput, Centre, Class,
    Config, Ending, Endpoint, Epoch, Grant, Kind, Moment, Offer, Part, Phase, Report, RequestId,
    Service, Tenure,
};

const ENDPOINTS: u16 = 20;
const SLOTS: u32 = 8;
const COST: u64 = 100;

/// A cell of 160 slots with its accounts and what runs.
pub(crate) struct Load {
    cell: Cell,
    names: Vec<AccountName>,
    owners: BTreeMap<AttemptId, usize>,
    running: VecDeque<Grant>,
    offers: u128,
    now: u64,
    out: Vec<CellOutput>,
}

impl Load {
    /// A cell of `accounts` accounts, none of which has come yet.
    pub(crate) fn new(accounts: usize) -> Self {
        let names: Vec<AccountName> = (0..accounts)
            .map(|i| format!("account-{i:05}").as_str().into())
            .collect();
        let service = CellId {
            service: "quotes".into(),
            index: 0,
        };
        let config = Arc::new(config(&names));
        let mut cell = Cell::new(service, Epoch(1), config, Moment(0));
        let tenure = Tenure {
            epoch: Epoch(1),
            part: Part::Full,
            until: Moment(u64::MAX),
            after: None,
        };
        cell.handle(Moment(0), CellInput::Lease(tenure), &mut Vec::new());
        Self {
            cell,
            names,
            owners: BTreeMap::new(),
            running: VecDeque::new(),
            offers: 0,
            now: 0,
            out: Vec::new(),
        }
    }

    /// Offers a request of the account at `index` and returns the time that the cell took.
    pub(crate) fn offer(&mut self, index: usize) -> Duration {
        self.offers += 1;
        let attempt = AttemptId {
            request: RequestId(self.offers),
            number: 0,
        };
        self.owners.insert(attempt, index);
        let offer = Offer {
            attempt,
            cell: self.cell.id().clone(),
            account: self.names[index].clone(),
            entry: "entry-1".into(),
            class: Class::Interactive,
            hint: None,
            waited: Duration::ZERO,
            left: Duration::from_hours(1),
            avoid: Vec::new(),
            prefix: None,
        };
        self.handle(CellInput::Offer(offer))
    }

    /// Ends the attempt that has run longest, which grants the next. Returns the account of the
    /// one that ended and the time that the cell took.
    pub(crate) fn end(&mut self) -> (usize, Duration) {
        let grant = self.running.pop_front().expect("an attempt runs");
        let index = self.owners.remove(&grant.attempt).expect("it was offered");
        let report = Report {
            attempt: grant.attempt,
            cell: grant.cell,
            epoch: grant.epoch,
            endpoint: grant.endpoint,
            account: self.names[index].clone(),
            cost: COST + self.now % COST,
            boot: Some(BootId(1)),
            first: None,
            phase: Phase::Ended(Ending::Answered),
        };
        (index, self.handle(CellInput::Report(report)))
    }

    /// Lets each account run one request, so that the cell knows all of them.
    pub(crate) fn meet_all(&mut self) {
        for index in 0..self.names.len() {
            self.offer(index);
            self.end();
        }
    }

    /// Gives every tenth account `each` requests that wait.
    pub(crate) fn backlog(&mut self, each: usize) {
        let slots = usize::from(ENDPOINTS) * SLOTS as usize;
        for slot in 0..slots {
            self.offer(slot * 10 % self.names.len());
        }
        for _ in 0..each {
            for index in (0..self.names.len()).step_by(10) {
                self.offer(index);
            }
        }
    }

    fn handle(&mut self, input: CellInput) -> Duration {
        self.now += 100;
        let start = Instant::now();
        self.cell.handle(Moment(self.now), input, &mut self.out);
        let took = start.elapsed();
        for output in self.out.drain(..) {
            if let CellOutput::Grant(grant) = output {
                self.running.push_back(grant);
            }
        }
        took
    }
}

fn config(names: &[AccountName]) -> Config {
    let accounts = names.iter().zip(1_u32..).map(|(name, number)| {
        let account = Account {
            share: 1 + number % 7,
            keys: Vec::new(),
            queue: 10_000,
        };
        (name.clone(), account)
    });
    let endpoints = (0..ENDPOINTS).map(|i| {
        let endpoint = Endpoint {
            service: "quotes".into(),
            centre: "dock".into(),
            address: ([127, 0, 0, 1], 1 + i).into(),
            cold: SLOTS,
            warm: SLOTS,
            ramp: 0,
        };
        (format!("e{i:02}").as_str().into(), endpoint)
    });
    let service = Service {
        kind: Kind::Model,
        cells: 1,
        routes: Vec::new(),
        estimate: COST,
    };
    Config {
        accounts: accounts.collect(),
        endpoints: endpoints.collect(),
        services: BTreeMap::from([("quotes".into(), service)]),
        centres: BTreeMap::from([("dock".into(), Centre::default())]),
        ..Config::default()
    }
}
