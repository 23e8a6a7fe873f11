//! Tests of two cells of one service that exchange their service totals.

use std::sync::Arc;

use cornelstand::{
    Cell, CellId, CellInput, CellOutput, Config, Ending, Epoch, Grant, Offer, Part, Totals,
};
use rstest::rstest;

use crate::make::{at, config, ended, flat, lease, offer, send};

/// Duration of a call.
const CALL_MS: u64 = 50;

/// Concurrent calls of one cell.
const SLOTS: u32 = 4;

/// Delivery of the messages between the cells.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Link {
    Down,
    Up,
    /// Of three messages one is lost and one delivered twice.
    Lossy,
}

struct Pair {
    cells: Vec<Cell>,
    running: Vec<(u64, usize, Grant, &'static str)>,
    served: [u64; 2],
    offers: u128,
    messages: usize,
    link: Link,
}

impl Pair {
    fn new(link: Link) -> Self {
        let mut config: Config = (*config(&[1, 1], &[flat(SLOTS), flat(SLOTS)])).clone();
        for service in config.services.values_mut() {
            service.cells = 2;
        }
        let config = Arc::new(config);
        let cells = (0..2).map(|index| {
            let service = "quotes".into();
            let id = CellId { service, index };
            let mut cell = Cell::new(id, Epoch(2), Arc::clone(&config), at(0));
            send(&mut cell, at(0), lease(Part::Full));
            cell
        });
        Self {
            cells: cells.collect(),
            running: Vec::new(),
            served: [0; 2],
            offers: 0,
            messages: 0,
            link,
        }
    }

    fn send(&mut self, now: u64, cell: usize, input: CellInput) {
        for output in send(&mut self.cells[cell], at(now), input) {
            match output {
                CellOutput::Grant(grant) => {
                    let even = grant.attempt.request.0 % 2 == 0;
                    let account = if even { "a0" } else { "a1" };
                    self.running.push((now + CALL_MS, cell, grant, account));
                }
                CellOutput::Totals(totals) => self.deliver(now, 1 - cell, &totals),
                other => panic!("unexpected {other:?}"),
            }
        }
    }

    fn deliver(&mut self, now: u64, to: usize, totals: &Totals) {
        self.messages += 1;
        let copies = match (self.link, self.messages % 3) {
            (Link::Down, _) | (Link::Lossy, 0) => 0,
            (Link::Up, _) | (Link::Lossy, 1) => 1,
            (Link::Lossy, _) => 2,
        };
        for _ in 0..copies {
            self.send(now, to, CellInput::Totals(totals.clone()));
        }
    }

    fn offer(&mut self, now: u64, cell: usize, account: usize) {
        let number = self.offers * 2 + account as u128;
        self.offers += 1;
        let offer = Offer {
            cell: self.cells[cell].id().clone(),
            ..offer(number, ["a0", "a1"][account])
        };
        self.send(now, cell, CellInput::Offer(offer));
    }

    fn step(&mut self, now: u64) {
        let all = std::mem::take(&mut self.running);
        let (due, rest) = all.into_iter().partition(|(end, ..)| *end <= now);
        self.running = rest;
        let due: Vec<(u64, usize, Grant, &str)> = due;
        for (_, cell, grant, account) in due {
            let index = usize::from(account == "a1");
            self.served[index] += CALL_MS;
            let report = ended(&grant, account, CALL_MS, Ending::Answered);
            self.send(now, cell, CellInput::Report(report));
            self.offer(now, cell, index);
        }
    }
}

/// Service over 20 s of an account with work at both cells and one with work at the first only.
fn run(link: Link) -> [u64; 2] {
    let mut pair = Pair::new(link);
    for _ in 0..20 {
        pair.offer(0, 0, 0);
        pair.offer(0, 1, 0);
        pair.offer(0, 0, 1);
    }
    for now in (0..20_000).step_by(10) {
        pair.step(now);
    }
    assert!(pair.messages <= 40, "one message a second for each cell");
    pair.served
}

#[rstest]
#[case::up(Link::Up)]
#[case::lossy(Link::Lossy)]
fn accounts_get_equal_service_over_both_cells(#[case] link: Link) {
    let [first, second] = run(link);
    // One cell gives at most SLOTS cost a millisecond, unseen for up to three periods of 1 s, and
    // each account has at most SLOTS calls in flight at each cell.
    let bound = u64::from(SLOTS) * 3000 + 4 * u64::from(SLOTS) * 100;
    assert!(first.abs_diff(second) <= bound, "{first} and {second}");
}

#[test]
fn without_messages_each_cell_is_fair_on_its_own() {
    let [first, second] = run(Link::Down);
    assert!(first > 2 * second, "{first} and {second}");
}
