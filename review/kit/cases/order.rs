//! ORDER: a replica crashes; the stream goes on elsewhere, and pieces come twice.

use std::io;
use std::sync::Arc;
use std::time::Duration;

use super::streams::{Received, ask};
use crate::Verdict;
use crate::http::{Message, Wire};
use crate::store::Store;
use crate::world::{Gateway, Record, Replica, events, manifest, stamped};

/// Events of a stream, one each 100 ms.
const EVENTS: u64 = 40;
const STREAMS: u64 = 18;

/// The text that the model writes, one event a line, over and over.
const TEXT: [&str; 4] = [
    "New #5 slider for the jacket, 14 EUR.",
    "Two-way zip of the tent, solid brass.",
    "Deposit to be paid: 10 EUR at the counter.",
    "Valid: until Friday, 17:00.",
];

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("config", "main", manifest(7).as_bytes());
    let mut replicas = Vec::new();
    for (id, zone) in [
        ("i-1", "dock-a"),
        ("i-2", "dock-a"),
        ("i-3", "dock-b"),
        ("i-4", "dock-c"),
    ] {
        let replica = Replica::start(record, id, "stitch-models", zone, Arc::new(stream))?;
        store.put("servers", id, replica.entry("ready", 1).as_bytes());
        replicas.push(replica);
    }
    let gateway = Gateway::start(record, &store)?;
    gateway.await_ready().map_err(io::Error::other)?;
    let front = gateway.front;
    let clients: Vec<_> = (0..STREAMS)
        .map(|n| {
            let record = record.clone();
            std::thread::sleep(Duration::from_millis(70));
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
    std::thread::sleep(Duration::from_millis(900));
    if trouble {
        replicas[0].crash();
        // It is back 2 s later, as another lifetime; its old entry goes after three silent intervals.
        std::thread::sleep(Duration::from_secs(2));
        let back = Replica::start(record, "i-5", "stitch-models", "dock-a", Arc::new(stream))?;
        store.put("servers", "i-5", back.entry("ready", 1).as_bytes());
        record.note("i-5: the crashed replica is back");
        std::thread::sleep(Duration::from_millis(1_600));
        store.delete("servers", "i-1");
    }
    let received: Vec<Received> = clients.into_iter().map(|c| c.join().unwrap()).collect();
    let mut broken = 0;
    for (n, answer) in received.iter().enumerate() {
        let got: Vec<u64> = events(&answer.body).into_iter().map(|(id, _)| id).collect();
        let wanted: Vec<u64> = (1..=got.len() as u64).collect();
        if got != wanted {
            broken += 1;
            record.note(format!("client: c-{n:03} got the events {got:?}"));
        }
    }
    let whole = received
        .iter()
        .filter(|r| r.is_whole && r.status == 200)
        .count();
    Ok(Verdict {
        broken,
        text: format!(
            "{whole} of {STREAMS} streams came to their end; in {broken} a piece came twice or is missing"
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
        let text = TEXT[(number % 4) as usize];
        wire.send_chunk(format!("id: {number}\ndata: {text}\n\n").as_bytes())?;
    }
    wire.send(b"0\r\n\r\n")
}
