//! The parts of the page that tell of each role, and the slopes.

use crate::capacity_fit::Line;
use crate::capacity_model::{ACCOUNTS, NODES, NOTES, SERVICES, Slopes, TOKENS, look_cores};
use crate::capacity_page::{WRITES, cell_memory, kilo, mega, percent, row, table};
use crate::capacity_sheet::Sheet;

/// One line of the platform's list of instances.
const LISTED: &str = r#"{"name":"router-0001","address":"10.20.30.40:7000","state":"live"},"#;

/// Seconds between two readings of the list by an instance without a cell.
const SPARSE: f64 = 3.0;

/// What each role costs.
pub(crate) fn roles(slopes: &Slopes, sheet: &Sheet, cells: f64) -> String {
    let rows = [
        entry_row(slopes, sheet),
        owner_row(slopes, sheet, cells),
        lease_row(slopes),
        note_row(slopes, sheet),
        claim_row(slopes),
        member_row(slopes, sheet, cells),
        list_row(cells),
        event_row(slopes, sheet),
    ];
    let head = [
        "role",
        "state",
        "messages",
        "processor time",
        "memory or time",
        "mechanism",
        "command",
    ];
    format!(
        "## Roles at that size\n\nSlopes measured, products computed.\n\n{}\n{}",
        table(&head, &rows),
        remedies(slopes)
    )
}

fn entry_row(slopes: &Slopes, sheet: &Sheet) -> Vec<String> {
    let tokens = TOKENS / NODES * slopes.entry_tokens.slope;
    let call = sheet.calls.first();
    let direct = call.map_or(0.0, |c| c.direct);
    let through = call.map_or(0.0, |c| c.through);
    row(&[
        "entry",
        "requests it holds",
        &format!(
            "{} a request sent and received",
            bytes(slopes.entry_bytes.slope)
        ),
        &format!(
            "{:.0} us a request, {:.1} us a token: {} for tokens, which is forwarding; one core \
                 bears {:.0} requests without tokens or {:.0} tokens a second",
            slopes.entry.slope * 1e6,
            slopes.entry_tokens.slope * 1e6,
            percent(tokens),
            1.0 / slopes.entry.slope,
            1.0 / slopes.entry_tokens.slope
        ),
        &format!(
            "a plain call of 40 ms takes {direct:.1} ms directly and {through:.1} ms through two \
                 instances, ratio {:.3}",
            through / direct
        ),
        "offers go straight to the owner, reports in batches",
        "`--step roles`, `calls`",
    ])
}

fn owner_row(slopes: &Slopes, sheet: &Sheet, cells: f64) -> Vec<String> {
    row(&[
        "dispatcher of a cell",
        "queues and counters of its accounts, its endpoints",
        &format!(
            "{} a request, {}",
            bytes(slopes.owner_bytes.slope),
            kilo(slopes.owner_traffic(cells))
        ),
        &format!(
            "{:.0} us a request, of it {:.1} us to decide at 25,000 accounts: {}",
            slopes.owner.slope * 1e6,
            slopes.decision.at(ACCOUNTS),
            percent(slopes.owner_cores(cells))
        ),
        &mega(cell_memory(sheet)),
        "one owner decides alone, from memory",
        "`--step roles`, `cell`",
    ])
}

fn lease_row(slopes: &Slopes) -> Vec<String> {
    row(&[
        "lease holder",
        "the lease object, half of each limit on loan",
        &format!("{:.2} store writes a second and cell", slopes.writes.slope),
        &format!(
            "{:.0} us a second and cell, eight instances together",
            slopes.cell_cores.slope * 1e6
        ),
        "not measured apart",
        "renewal by the owner; the heir lends its half over a link",
        "`--step cells`",
    ])
}

fn note_row(slopes: &Slopes, sheet: &Sheet) -> Vec<String> {
    row(&[
        "watcher and relay of notes",
        "the configuration and its recent notes",
        &format!(
            "{} sent and received for 3,400 notes a day",
            kilo(slopes.note_traffic())
        ),
        &config_time(sheet),
        &mega(slopes.account_memory.at(ACCOUNTS)),
        "three watch the head object, the others hear of a revision by gossip and pull the notes that lead there from a peer",
        "`--step config`, `accounts`",
    ])
}

fn claim_row(slopes: &Slopes) -> Vec<String> {
    let (once, reads) = slopes.claims;
    row(&[
        "claims",
        "one writer a shard at each entry that needs it",
        &format!(
            "at most {once:.2} store writes and {reads:.2} reads for a request that runs at most once: the \
             store's {WRITES:.0} writes a second bear {:.0} of these a second",
            WRITES / once
        ),
        "not measured apart",
        "not measured",
        "writes of one shard are joined; waiting requests share one",
        "`--step fleet`",
    ])
}

fn member_row(slopes: &Slopes, sheet: &Sheet, cells: f64) -> Vec<String> {
    let owners = SERVICES * cells;
    let gossip = sheet.gossip.last();
    let look = look_cores(sheet, owners);
    row(&[
        "membership",
        "all members and owners of cells",
        &format!(
            "{} sent by the busiest, {:.0} messages a second; heartbeats {} a link",
            kilo(gossip.map_or(0.0, |g| g.most_bytes)),
            gossip.map_or(0.0, |g| g.messages),
            bytes(slopes.idle_sent.slope)
        ),
        &format!(
            "{:.0} us an exchange; looks at all cells after notes and changes {}",
            gossip.map_or(0.0, |g| g.micros),
            percent(look)
        ),
        &mega(gossip.map_or(0.0, |g| g.memory)),
        "bounded messages with two random peers a second",
        "`--step gossip`, `fleet`",
    ])
}

/// An owner reads the list each second, every other instance each third one.
fn list_row(cells: f64) -> Vec<String> {
    let list = crate::capacity_state::float(LISTED.len()) * (NODES + 600.0);
    let readings = cells + (NODES - cells) / SPARSE;
    row(&[
        "platform's list",
        "names of all instances and endpoints",
        &format!(
            "{} read by an owner and {} by any other node, {readings:.0} readings a second in all, \
                 computed from {} bytes a line: outside the budget of the links, but an owner's is \
                 above it alone",
            kilo(list),
            kilo(list / SPARSE),
            LISTED.len()
        ),
        "not measured",
        "not measured",
        "an owner reads the whole list each second, any other instance each third",
        "computed",
    ])
}

fn event_row(slopes: &Slopes, sheet: &Sheet) -> Vec<String> {
    row(&[
        "time line",
        "the latest 4,096 events",
        "none until asked for",
        &sheet
            .events
            .last()
            .map_or(String::new(), |e| format!("{:.2} us an event", e.micros)),
        &mega(slopes.event_memory.at(4_096.0)),
        "a ring at each instance, merged when read",
        "`--step events`",
    ])
}

fn remedies(slopes: &Slopes) -> String {
    format!(
        "What breaks and what would carry it:\n\n\
         - Memory of accounts: {} bytes an account at each instance for hashes of keys as text, an \
         index of them and a copy while a revision changes. Keys as 32 bytes, and items shared \
         between revisions, carry more accounts.\n\
         - Links: {} a second sent for a pair of links, {:.0} us a second of processor time for a \
         link at its two ends, and each owner has a link from each entry. Since \
         the points of `--step fleet` were taken, heartbeats go only while calls wait, an owner \
         polls the platform's list three times as often as others, and a peer is asked again before \
         the store is read for a note; that is not measured yet.\n\
         - Machines: the first three candidates of a cell and its holders turn its machine four times a \
         second, the others once in two seconds; {:.0} us a second and cell at eight instances \
         together, of which an equal part is taken for each node, which is too much at 400.\n\
         - The platform's list: reading it at the three watchers and by gossip elsewhere carries it.\n\
         - The exchange among cells: all totals to all cells each second. Fewer and coarser totals \
         carry it.\n",
        format_args!("{:.0}", slopes.account_memory.slope),
        bytes(slopes.idle_sent.slope),
        slopes.idle_cores.slope * 1e6,
        slopes.cell_cores.slope * 1e6,
    )
}

fn config_time(sheet: &Sheet) -> String {
    let last = sheet.configs.last();
    let (apply, copy) = last.map_or((0.0, 0.0), |c| (c.apply, c.copy));
    let share = (apply + copy) / 1e3 * NOTES;
    format!(
        "{apply:.1} ms to apply a note, {copy:.1} ms to encode and decode all: {}",
        percent(share)
    )
}

fn bytes(count: f64) -> String {
    format!("{count:.0} B")
}

/// All slopes with what they miss.
pub(crate) fn slope_table(slopes: &Slopes) -> String {
    let rows = [load_slopes(slopes), state_slopes(slopes)].concat();
    let head = ["slope", "unit", "base", "slope", "residual", "command"];
    format!(
        "## Slopes\n\nLeast squares; the residual is the root of the mean square of what the line \
         misses.\n\n{}",
        table(&head, &rows)
    )
}

fn load_slopes(slopes: &Slopes) -> Vec<Vec<String>> {
    vec![
        line(
            "bytes sent by an idle instance, by links",
            "B/s",
            slopes.idle_sent,
            1.0,
            "fleet",
        ),
        line(
            "processor time of an idle fleet, by links in one direction",
            "us/s",
            slopes.idle_cores,
            1e6,
            "fleet",
        ),
        line(
            "processor time of eight idle instances, by cells",
            "us/s",
            slopes.cell_cores,
            1e6,
            "cells",
        ),
        line(
            "processor time of an entry, by requests",
            "us",
            slopes.entry,
            1e6,
            "roles",
        ),
        line(
            "processor time of an owner, by requests",
            "us",
            slopes.owner,
            1e6,
            "roles",
        ),
        line(
            "bytes of an entry, by requests",
            "B",
            slopes.entry_bytes,
            1.0,
            "roles",
        ),
        line(
            "bytes of an owner, by requests",
            "B",
            slopes.owner_bytes,
            1.0,
            "roles",
        ),
        line(
            "processor time of an entry, by tokens",
            "us",
            slopes.entry_tokens,
            1e6,
            "roles",
        ),
        line(
            "processor time of an owner, by tokens",
            "us",
            slopes.owner_tokens,
            1e6,
            "roles",
        ),
        line("decision, by accounts", "us", slopes.decision, 1.0, "cell"),
    ]
}

fn state_slopes(slopes: &Slopes) -> Vec<Vec<String>> {
    vec![
        line(
            "store writes a second, by cells",
            "",
            slopes.writes,
            1.0,
            "cells",
        ),
        line(
            "store reads a second, by instances",
            "",
            slopes.reads,
            1.0,
            "fleet",
        ),
        line(
            "store reads of a note, by instances",
            "",
            slopes.note_reads,
            1.0,
            "fleet",
        ),
        line(
            "configuration, by accounts",
            "B",
            slopes.config_bytes,
            1.0,
            "config",
        ),
        line(
            "memory of an instance, by accounts",
            "B",
            slopes.account_memory,
            1.0,
            "accounts",
        ),
        line(
            "memory, by instances",
            "B",
            slopes.instance_memory,
            1.0,
            "fleet",
        ),
        line("memory, by events", "B", slopes.event_memory, 1.0, "events"),
        line(
            "median time of a note, by log2 of instances",
            "ms",
            slopes.note_median,
            1e3,
            "fleet",
        ),
        line(
            "longest time of a note, by log2 of instances",
            "ms",
            slopes.note_longest,
            1e3,
            "fleet",
        ),
        line(
            "message between two cells, by accounts",
            "B",
            slopes.totals,
            1.0,
            "totals",
        ),
    ]
}

fn line(what: &str, unit: &str, line: Line, scale: f64, step: &str) -> Vec<String> {
    let Line {
        base,
        slope,
        residual,
    } = line;
    vec![
        what.to_owned(),
        unit.to_owned(),
        number(base * scale),
        number(slope * scale),
        number(residual * scale),
        format!("`measure capacity --step {step}`"),
    ]
}

fn number(value: f64) -> String {
    if value.abs() >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
