//! Builders of test configurations and messages.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use cornelstand::{
    Account, AttemptId, BootId, Cell, CellId, CellInput, CellOutput, Centre, Class, Config, Ending,
    Endpoint, Epoch, Grant, Kind, Moment, Offer, Part, Phase, Report, RequestId, Service, Tenure,
};

/// Limits of an endpoint when cold and warm, and the answers it takes between them.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Size {
    pub(crate) cold: u32,
    pub(crate) warm: u32,
    pub(crate) ramp: u32,
}

/// An endpoint without a warm-up.
pub(crate) const fn flat(slots: u32) -> Size {
    Size {
        cold: slots,
        warm: slots,
        ramp: 0,
    }
}

/// A configuration with accounts `a0`, `a1`, … of these shares and endpoints `e0`, `e1`, ….
pub(crate) fn config(shares: &[u32], sizes: &[Size]) -> Arc<Config> {
    let accounts = shares.iter().enumerate().map(|(i, share)| {
        let account = Account {
            share: *share,
            keys: Vec::new(),
            queue: 256,
        };
        (format!("a{i}").as_str().into(), account)
    });
    let endpoints = sizes.iter().enumerate().map(|(i, size)| {
        let endpoint = Endpoint {
            service: "quotes".into(),
            centre: "dock".into(),
            address: "127.0.0.1:1".parse().expect("an address"),
            cold: size.cold,
            warm: size.warm,
            ramp: size.ramp,
        };
        (format!("e{i}").as_str().into(), endpoint)
    });
    let service = Service {
        kind: Kind::Model,
        cells: 1,
        routes: Vec::new(),
        estimate: 100,
    };
    Arc::new(Config {
        accounts: accounts.collect(),
        endpoints: endpoints.collect(),
        services: BTreeMap::from([("quotes".into(), service)]),
        centres: BTreeMap::from([("dock".into(), Centre::default())]),
        ..Config::default()
    })
}

pub(crate) fn cell_id() -> CellId {
    CellId {
        service: "quotes".into(),
        index: 0,
    }
}

/// A cell of epoch 2 whose lease never expires.
pub(crate) fn cell(config: &Arc<Config>) -> Cell {
    let mut cell = Cell::new(cell_id(), Epoch(2), Arc::clone(config), at(0));
    drop(send(&mut cell, at(0), lease(Part::Full)));
    cell
}

pub(crate) fn lease(part: Part) -> CellInput {
    lease_until(Moment(u64::MAX), part)
}

pub(crate) fn lease_until(until: Moment, part: Part) -> CellInput {
    CellInput::Lease(Tenure {
        epoch: Epoch(2),
        part,
        until,
        after: None,
    })
}

/// The moment `ms` milliseconds after the start.
pub(crate) fn at(ms: u64) -> Moment {
    Moment(ms * 1000)
}

pub(crate) fn send(cell: &mut Cell, now: Moment, input: CellInput) -> Vec<CellOutput> {
    let mut out = Vec::new();
    cell.handle(now, input, &mut out);
    out
}

pub(crate) fn attempt(number: u128) -> AttemptId {
    AttemptId {
        request: RequestId(number),
        number: 0,
    }
}

/// An interactive offer without a hint that may wait for an hour.
pub(crate) fn offer(number: u128, account: &str) -> Offer {
    Offer {
        attempt: attempt(number),
        cell: cell_id(),
        account: account.into(),
        entry: "i0".into(),
        class: Class::Interactive,
        hint: None,
        waited: Duration::ZERO,
        left: Duration::from_hours(1),
        avoid: Vec::new(),
        prefix: None,
    }
}

pub(crate) fn batch(number: u128, account: &str) -> Offer {
    Offer {
        class: Class::Batch,
        ..offer(number, account)
    }
}

/// The final report on a granted attempt of `account`.
pub(crate) fn ended(grant: &Grant, account: &str, cost: u64, ending: Ending) -> Report {
    Report {
        attempt: grant.attempt,
        cell: grant.cell.clone(),
        epoch: grant.epoch,
        endpoint: grant.endpoint.clone(),
        account: account.into(),
        cost,
        boot: ending.is_answered().then_some(BootId(1)),
        first: None,
        phase: Phase::Ended(ending),
    }
}

pub(crate) fn grants(out: &[CellOutput]) -> Vec<Grant> {
    let grants = out.iter().filter_map(|o| match o {
        CellOutput::Grant(grant) => Some(grant.clone()),
        _ => None,
    });
    grants.collect()
}
