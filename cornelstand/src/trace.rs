//! Output of the time line: trace-event JSON and a self-contained page.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use crate::name::{InstanceName, RequestId};
use crate::timeline::Event;

/// The page, with a mark where the events go.
const PAGE: &str = include_str!("timeline.html");
/// Mark in [`PAGE`] that the events replace.
const MARK: &str = "/*EVENTS*/[]";

/// Kind of a trace event, as trace viewers name it.
#[derive(Serialize)]
enum Shape {
    /// Something with a duration.
    #[serde(rename = "X")]
    Complete,
    /// Something at one time.
    #[serde(rename = "i")]
    Instant,
    /// The name of a process.
    #[serde(rename = "M")]
    Metadata,
}

/// One event in the form that common trace viewers open.
#[derive(Serialize)]
struct TraceEvent<'a> {
    name: &'a str,
    #[serde(rename = "ph")]
    shape: Shape,
    #[serde(rename = "ts")]
    micros: u64,
    #[serde(rename = "dur", skip_serializing_if = "Option::is_none")]
    duration: Option<u64>,
    #[serde(rename = "pid")]
    process: usize,
    #[serde(rename = "tid")]
    thread: usize,
    args: Value,
}

/// The events as trace-event JSON: a process for each instance, a thread for each topic, and a
/// bar for each request from its first to its last event there.
///
/// # Panics
///
/// Never: the events consist of text and numbers.
#[must_use]
pub fn trace_json(events: &[Event]) -> String {
    let processes = processes(events);
    let names = processes.iter().map(|(name, process)| TraceEvent {
        name: "process_name",
        shape: Shape::Metadata,
        micros: 0,
        duration: None,
        process: *process,
        thread: 0,
        args: json!({ "name": name }),
    });
    let points = events.iter().map(|e| TraceEvent {
        name: &e.what,
        shape: Shape::Instant,
        micros: e.stamp.wall,
        duration: None,
        process: processes[&e.instance],
        thread: e.topic as usize,
        args: json!({ "topic": e.topic, "subject": e.subject, "request": request_text(e) }),
    });
    let bars = bars(events).into_iter().map(|bar| TraceEvent {
        name: "request",
        shape: Shape::Complete,
        micros: bar.from,
        duration: Some(bar.until - bar.from),
        process: processes[bar.instance],
        thread: 0,
        args: json!({ "request": bar.request.to_string() }),
    });
    let all: Vec<TraceEvent<'_>> = names.chain(bars).chain(points).collect();
    serde_json::to_string(&json!({ "traceEvents": all })).expect("text and numbers")
}

/// The events as one page that needs nothing else.
///
/// # Panics
///
/// Never: the events consist of text and numbers.
#[must_use]
pub fn trace_page(events: &[Event]) -> String {
    let rows = serde_json::to_string(events).expect("text and numbers");
    // A closing tag inside a string would end the script.
    PAGE.replace(MARK, &rows.replace("</", "<\\/"))
}

struct Bar<'a> {
    instance: &'a InstanceName,
    request: RequestId,
    from: u64,
    until: u64,
}

fn bars(events: &[Event]) -> Vec<Bar<'_>> {
    let mut spans: BTreeMap<(&InstanceName, RequestId), (u64, u64)> = BTreeMap::new();
    for event in events {
        let Some(request) = event.request else {
            continue;
        };
        let wall = event.stamp.wall;
        let span = spans
            .entry((&event.instance, request))
            .or_insert((wall, wall));
        span.0 = span.0.min(wall);
        span.1 = span.1.max(wall);
    }
    spans
        .into_iter()
        .map(|((instance, request), (from, until))| Bar {
            instance,
            request,
            from,
            until,
        })
        .collect()
}

fn processes(events: &[Event]) -> BTreeMap<&InstanceName, usize> {
    let mut names: Vec<&InstanceName> = events.iter().map(|e| &e.instance).collect();
    names.sort();
    names.dedup();
    names.into_iter().zip(1..).collect()
}

fn request_text(event: &Event) -> Option<String> {
    event.request.map(|r| r.to_string())
}
