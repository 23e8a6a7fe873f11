//! The workload of a demonstration.

use std::net::SocketAddr;

use crate::demo::DemoOptions;
use crate::deployment::{AccountSize, BATCH_CHAT, CHAT, Deployment, LOOKUP, ORDER, PLAIN_CALL};
use crate::load_plan::{AccountLoad, Arrival, CallKind, Source, Through, Workload};

/// Mean tokens of an interactive answer.
const QUOTE: u64 = 20;
/// Mean tokens of a batch answer.
const SUMMARY: u64 = 60;
/// Bytes of a prompt.
const PROMPT: usize = 200;
/// Milliseconds that answers may take after the last arrival.
const SETTLE: u64 = 15_000;

/// Interactive calls, lookups and orders of every account, and batch work of some.
pub(crate) fn workload(
    deployment: &Deployment,
    instances: Vec<SocketAddr>,
    options: &DemoOptions,
) -> Workload {
    let accounts = deployment.accounts.iter().enumerate();
    Workload {
        seed: options.seed,
        length: options.seconds * 1_000,
        settle: SETTLE,
        instances,
        accounts: accounts
            .map(|(place, size)| account(deployment, size, place % 2 == 0))
            .collect(),
    }
}

fn account(deployment: &Deployment, size: &AccountSize, is_backlogged: bool) -> AccountLoad {
    let models = &deployment.models().name;
    let plain = &deployment.plain().name;
    let source =
        |label: &str, service: &crate::name::ServiceName, path: &str, call, arrival| Source {
            label: label.to_owned(),
            service: service.clone(),
            path: path.to_owned(),
            call,
            arrival,
            after: 0,
            until: None,
            seed: None,
            deadline: None,
        };
    let chat = |tokens| CallKind::Chat {
        tokens,
        prompt: PROMPT,
        hint: true,
    };
    let call = |once| CallKind::Plain {
        cost: PLAIN_CALL,
        once,
    };
    let rate = f64::from(size.share) / 4.0;
    let mut sources = vec![
        source(
            "interactive",
            models,
            CHAT,
            chat(QUOTE),
            Arrival::Rate(rate),
        ),
        source("lookup", plain, LOOKUP, call(false), Arrival::Rate(rate)),
        source("order", plain, ORDER, call(true), Arrival::Rate(rate)),
    ];
    if is_backlogged {
        let arrival = Arrival::Backlog(size.share * 6);
        sources.push(source("batch", models, BATCH_CHAT, chat(SUMMARY), arrival));
    }
    AccountLoad {
        account: size.name.clone(),
        key: size.key.clone(),
        share: size.share,
        through: Through::All,
        sources,
    }
}
