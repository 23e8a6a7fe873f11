//! Tables of a demonstration.

use comfy_table::Table;

use crate::demo::DemoResult;
use crate::load_result::{AccountResult, Quantiles};
use crate::tables::{table, time};

/// Prints the result.
pub(crate) fn print(result: &DemoResult) {
    println!("\n{}", accounts(result));
    println!("\n{}", totals(result));
    println!("\n{}", promises(result));
}

/// A row for each account: waits are those of its interactive model calls.
fn accounts(result: &DemoResult) -> Table {
    let mut table = table(&[
        "account", "share", "tokens", "wait p50", "p95", "p99", "answers", "not run", "unknown",
        "failed",
    ]);
    for account in &result.load.accounts {
        let counts = account.counts();
        let waits = interactive(account);
        table.add_row([
            account.account.to_string(),
            account.share.to_string(),
            tokens(account).to_string(),
            time(waits.p50),
            time(waits.p95),
            time(waits.p99),
            counts.answered.to_string(),
            counts.not_run.to_string(),
            counts.unknown.to_string(),
            counts.failed.to_string(),
        ]);
    }
    table
}

/// Tokens received.
fn tokens(account: &AccountResult) -> u64 {
    let labels = ["interactive", "batch"];
    let sources = labels.iter().filter_map(|l| account.source(l));
    sources.map(crate::load_result::SourceResult::service).sum()
}

fn interactive(account: &AccountResult) -> Quantiles {
    let source = account.source("interactive");
    source.map_or_else(Quantiles::default, |s| s.wait)
}

fn totals(result: &DemoResult) -> Table {
    let mut table = table(&["figure", "value"]);
    let counts = result.load.counts();
    let ratio = |value: Option<f64>| value.map_or("not measured".to_owned(), |v| format!("{v:.3}"));
    let rows = [
        ("answers checked whole", counts.answered.to_string()),
        ("calls that arrived", counts.arrived.to_string()),
        (
            "utilisation of the model engines while all are in",
            ratio(result.utilisation),
        ),
        (
            "fairness gap of backlogged accounts, worst 10 s",
            ratio(result.gap),
        ),
        (
            "control bytes between instances",
            result.control.to_string(),
        ),
        ("calls to the object API", result.store.to_string()),
        ("data centre out from", time(result.out * 1_000)),
        ("until", time(result.back * 1_000)),
    ];
    for (name, value) in rows {
        table.add_row([name.to_owned(), value]);
    }
    table
}

fn promises(result: &DemoResult) -> Table {
    let mut table = table(&["never", "seen", "kept"]);
    for promise in &result.promises {
        let kept = if promise.kept { "yes" } else { "NO" };
        table.add_row([promise.text.as_str(), promise.seen.as_str(), kept]);
    }
    table
}
