//! Timeline export: trace-event JSON and a self-contained HTML page.

use std::collections::BTreeMap;

use serde::Serialize;
use serde_json::{Value, json};

use crate::name::{InstanceName, RequestId};
use crate::timeline::Event;

/// Page with a placeholder for the events.
const PAGE: &str = include_str!("timeline.html");
/// Placeholder in [`PAGE`] that the events replace.
const PLACEHOLDER: &str = "/*EVENTS*/[]";

/// Event phase of the trace-event format.
#[derive(Serialize)]
enum Phase {
    /// Event with a duration.
    #[serde(rename = "X")]
    Complete,
    /// Event at a point in time.
    #[serde(rename = "i")]
    Instant,
    /// The name of a process.
    #[serde(rename = "M")]
    Metadata,
}

/// One event in the trace-event format.
#[derive(Serialize)]
struct TraceEvent<'a> {
    name: &'a str,
    #[serde(rename = "ph")]
    phase: Phase,
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
/// span for each request from its first to its last event there.
///
/// # Panics
///
/// Never: the events consist of text and numbers.
#[must_use]
pub fn trace_json(events: &[Event]) -> String {
    let process_ids = process_ids(events);
    let names = process_ids.iter().map(|(name, process)| TraceEvent {
        name: "process_name",
        phase: Phase::Metadata,
        micros: 0,
        duration: None,
        process: *process,
        thread: 0,
        args: json!({ "name": name }),
    });
    let instants = events.iter().map(|e| TraceEvent {
        name: &e.what,
        phase: Phase::Instant,
        micros: e.stamp.wall,
        duration: None,
        process: process_ids[&e.instance],
        thread: e.topic as usize,
        args: json!({ "topic": e.topic, "subject": e.subject, "request": request_text(e) }),
    });
    let spans = request_spans(events).into_iter().map(|span| TraceEvent {
        name: "request",
        phase: Phase::Complete,
        micros: span.from,
        duration: Some(span.until - span.from),
        process: process_ids[span.instance],
        thread: 0,
        args: json!({ "request": span.request.to_string() }),
    });
    let all: Vec<TraceEvent<'_>> = names.chain(spans).chain(instants).collect();
    serde_json::to_string(&json!({ "traceEvents": all })).expect("text and numbers")
}

/// The events as one self-contained HTML page.
///
/// # Panics
///
/// Never: the events consist of text and numbers.
#[must_use]
pub fn trace_page(events: &[Event]) -> String {
    let rows = serde_json::to_string(events).expect("text and numbers");
    // A closing tag inside a string would end the script.
    PAGE.replace(PLACEHOLDER, &rows.replace("</", "<\\/"))
}

struct RequestSpan<'a> {
    instance: &'a InstanceName,
    request: RequestId,
    from: u64,
    until: u64,
}

fn request_spans(events: &[Event]) -> Vec<RequestSpan<'_>> {
    let mut bounds: BTreeMap<(&InstanceName, RequestId), (u64, u64)> = BTreeMap::new();
    for event in events {
        let Some(request) = event.request else {
            continue;
        };
        let wall = event.stamp.wall;
        let bound = bounds
            .entry((&event.instance, request))
            .or_insert((wall, wall));
        bound.0 = bound.0.min(wall);
        bound.1 = bound.1.max(wall);
    }
    bounds
        .into_iter()
        .map(|((instance, request), (from, until))| RequestSpan {
            instance,
            request,
            from,
            until,
        })
        .collect()
}

fn process_ids(events: &[Event]) -> BTreeMap<&InstanceName, usize> {
    let mut names: Vec<&InstanceName> = events.iter().map(|e| &e.instance).collect();
    names.sort();
    names.dedup();
    names.into_iter().zip(1..).collect()
}

fn request_text(event: &Event) -> Option<String> {
    event.request.map(|r| r.to_string())
}
