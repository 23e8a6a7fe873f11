//! Text tables for operators.

use std::time::Duration;

use comfy_table::presets::UTF8_BORDERS_ONLY;
use comfy_table::{ContentArrangement, Table};

use crate::load_result::LoadResult;
use crate::note::Note;
use crate::status::{InstanceStatus, MemberStatus};

/// An empty table with a header.
pub(crate) fn table(header: &[&str]) -> Table {
    let mut table = Table::new();
    table.load_style(UTF8_BORDERS_ONLY);
    table.set_content_arrangement(ContentArrangement::Dynamic);
    table.set_header(header);
    table
}

/// Formats `micros` microseconds in milliseconds.
pub(crate) fn time(micros: u64) -> String {
    let millis = Duration::from_micros(micros).as_secs_f64() * 1_000.0;
    format!("{millis:.0} ms")
}

/// Instances, cells and endpoints of the whole fleet.
#[must_use]
pub fn fleet_tables(fleet: &[InstanceStatus]) -> String {
    let tables = [
        instance_table(fleet),
        cell_table(fleet),
        endpoint_table(fleet),
    ];
    tables.map(|t| t.to_string()).join("\n")
}

fn instance_table(fleet: &[InstanceStatus]) -> Table {
    let mut table = table(&[
        "instance",
        "data centre",
        "state",
        "revision",
        "requests",
        "cells",
        "sent, B",
        "received, B",
        "store calls",
    ]);
    for status in fleet {
        table.add_row([
            status.instance.to_string(),
            status.centre.to_string(),
            status.readiness.to_string(),
            status.revision.to_string(),
            status.requests.to_string(),
            status.cells.len().to_string(),
            status.traffic.sent.to_string(),
            status.traffic.received.to_string(),
            status.calls.to_string(),
        ]);
    }
    table
}

fn cell_table(fleet: &[InstanceStatus]) -> Table {
    let mut table = table(&[
        "cell", "owner", "epoch", "part", "waiting", "running", "granted", "refused",
    ]);
    for status in fleet {
        for cell in &status.cells {
            table.add_row([
                cell.cell.to_string(),
                status.instance.to_string(),
                cell.epoch.to_string(),
                cell.part.map_or("none".to_owned(), |p| p.to_string()),
                cell.waiting.to_string(),
                cell.running.to_string(),
                cell.counts.granted.to_string(),
                cell.counts.refused.to_string(),
            ]);
        }
    }
    table
}

fn endpoint_table(fleet: &[InstanceStatus]) -> Table {
    let mut table = table(&["endpoint", "cell", "state", "limit", "running", "boot"]);
    for cell in fleet.iter().flat_map(|i| &i.cells) {
        for endpoint in &cell.endpoints {
            table.add_row([
                endpoint.endpoint.to_string(),
                cell.cell.to_string(),
                endpoint.state.to_string(),
                endpoint.limit.to_string(),
                endpoint.running.to_string(),
                endpoint.boot.map_or(String::new(), |b| b.to_string()),
            ]);
        }
    }
    table
}

/// Revision in force on each instance.
#[must_use]
pub fn revision_table(members: &[MemberStatus]) -> String {
    let mut table = table(&["instance", "state", "revision"]);
    for member in members {
        table.add_row([
            member.instance.to_string(),
            member.state.clone(),
            member.revision.to_string(),
        ]);
    }
    table.to_string()
}

/// What a note adds, changes and withdraws.
#[must_use]
pub fn note_table(note: &Note) -> String {
    let rows: Vec<String> = note.rows().iter().map(ToString::to_string).collect();
    let title = format!("\"{}\" against revision {}", note.title, note.base);
    std::iter::once(title)
        .chain(rows)
        .collect::<Vec<_>>()
        .join("\n")
}

/// Results that callers of a workload saw, a row for each source of calls.
#[must_use]
pub fn load_table(result: &LoadResult) -> String {
    let mut table = table(&[
        "account", "share", "calls", "wait p50", "p95", "p99", "answers", "not run", "unknown",
        "failed",
    ]);
    for account in &result.accounts {
        for source in &account.sources {
            let counts = &source.counts;
            table.add_row([
                account.account.to_string(),
                account.share.to_string(),
                source.label.clone(),
                time(source.wait.p50),
                time(source.wait.p95),
                time(source.wait.p99),
                counts.answered.to_string(),
                counts.not_run.to_string(),
                counts.unknown.to_string(),
                counts.failed.to_string(),
            ]);
        }
    }
    table.to_string()
}
