//! MIXED: a stream that the gateway resumes gets the head and body of a replica's 500 in its middle.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use super::streams::{Received, ask};
use crate::Verdict;
use crate::http::{Message, Wire};
use crate::store::Store;
use crate::world::{Gateway, Record, Replica, manifest, stamped};

/// Events of a stream, one each 100 ms.
const EVENTS: u64 = 45;
const STREAMS: u64 = 24;
/// Of 20 requests, so many fail while replicas fail a part of them: x = 0.45.
const FAILED_OF_20: u64 = 9;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("config", "main", manifest(7).as_bytes());
    let (failing, turn) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let is_failing = failing.clone();
    let handler = Arc::new(
        move |replica: &Replica, request: &Message, wire: &mut Wire| {
            let is_failed = is_failing.load(Ordering::SeqCst)
                && turn.fetch_add(1, Ordering::SeqCst) * 11 % 20 < FAILED_OF_20;
            if is_failed {
                replica
                    .record
                    .note(format!("{}: fails it with 500", replica.id));
                return wire.answer(
                    "500 Internal Server Error",
                    &stamped(replica, request),
                    b"the run failed\n",
                );
            }
            stream(replica, request, wire)
        },
    );
    let mut replicas = Vec::new();
    for (id, zone) in [
        ("i-1", "dock-a"),
        ("i-2", "dock-a"),
        ("i-3", "dock-b"),
        ("i-4", "dock-c"),
        ("i-5", "dock-b"),
    ] {
        let replica = Replica::start(record, id, "stitch-models", zone, handler.clone())?;
        store.put("servers", id, replica.entry("ready", 1).as_bytes());
        replicas.push(replica);
    }
    let gateway = Gateway::start(record, &store)?;
    gateway.await_ready().map_err(io::Error::other)?;
    let front = gateway.front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let record = record.clone();
            std::thread::sleep(Duration::from_millis(40));
            std::thread::spawn(move || {
                ask(
                    &record,
                    front,
                    &format!("c-{n:03}"),
                    "/quote/2f",
                    0x1000 + n,
                )
            })
        })
        .collect();
    std::thread::sleep(Duration::from_millis(500));
    if trouble {
        replicas[0].silence_connections();
        replicas[1].silence_connections();
        // The gateway gives up on a silent stream after 1.6 s.
        std::thread::sleep(Duration::from_millis(1_400));
        record.note("trouble: replicas fail 9 of 20 requests with 500 for 4 s");
        failing.store(true, Ordering::SeqCst);
        std::thread::sleep(Duration::from_secs(4));
        failing.store(false, Ordering::SeqCst);
    }
    let received: Vec<Received> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let broken = received
        .iter()
        .filter(|r| r.status == 200 && r.is_unreadable())
        .count();
    let whole = received
        .iter()
        .filter(|r| r.status == 200 && r.is_whole)
        .count();
    Ok(Verdict {
        broken,
        text: format!(
            "{whole} of {STREAMS} streams whole; {broken} went on with bytes that are no answer in the protocol"
        ),
    })
}

/// Sends the events after the one that the request names.
fn stream(replica: &Replica, request: &Message, wire: &mut Wire) -> io::Result<()> {
    let last = request
        .get("last-event-id")
        .and_then(|l| l.parse().ok())
        .unwrap_or(0_u64);
    wire.send(
        format!("HTTP/1.1 200 OK\r\n{}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", stamped(replica, request))
            .as_bytes(),
    )?;
    for number in last + 1..=EVENTS {
        std::thread::sleep(Duration::from_millis(100));
        while replica.is_silent() {
            std::thread::sleep(Duration::from_secs(1));
        }
        wire.send_chunk(format!("id: {number}\ndata: piece {number} of {EVENTS}\n\n").as_bytes())?;
    }
    wire.send(b"0\r\n\r\n")
}
