//! LOST: after a SIGTERM, a call on a kept channel is passed on to a replica and never answered.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::time::Duration;

use crate::Verdict;
use crate::http::{Message, Wire};
use crate::store::Store;
use crate::world::{Gateway, Record, Replica, manifest, request, signal, stamped};

/// Times, in ms after the SIGTERM, at which a client sends its second call on the channel it kept.
const SENT_MS: [u64; 6] = [500, 2_000, 4_000, 5_500, 5_650, 5_800];
/// Time that a replica works on such a call.
const WORK_MS: u64 = 2_000;
/// Time budget of a call.
const BUDGET_MS: u64 = 2_500;
/// The replica's work ends before this time after the SIGTERM, the platform's `grace_s`.
const GRACE_MS: u64 = 8_000;
/// Calls sent up to this time after the SIGTERM may be cut while the replica works at the end.
const EXCUSED_MS: u64 = 3_000;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("config", "main", manifest(7).as_bytes());
    for (id, zone) in [("i-1", "dock-a"), ("i-2", "dock-b"), ("i-3", "dock-c")] {
        let replica = Replica::start(record, id, "counter-app", zone, Arc::new(answer))?;
        store.put("servers", id, replica.entry("ready", 1).as_bytes());
    }
    let gateway = Gateway::start(record, &store)?;
    gateway.await_ready().map_err(io::Error::other)?;
    let mut channels = Vec::new();
    for n in 0..SENT_MS.len() {
        let mut wire = Wire::new(TcpStream::connect(gateway.front)?);
        wire.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
        if call(record, &mut wire, &format!("first-{n}"))? != 200 {
            return Err(io::Error::other("a call before the SIGTERM failed"));
        }
        channels.push(wire);
    }
    std::thread::sleep(Duration::from_secs(3));
    if trouble {
        record.note("platform: SIGTERM");
        signal(gateway.id(), "TERM");
    }
    let clients: Vec<_> = channels
        .into_iter()
        .zip(SENT_MS)
        .enumerate()
        .map(|(n, (mut wire, sent))| {
            let record = record.clone();
            std::thread::spawn(move || {
                std::thread::sleep(Duration::from_millis(sent));
                let got = call(&record, &mut wire, &format!("second-{n}"));
                if let Err(error) = &got {
                    record.note(format!("client: second-{n}, sent {sent} ms after the SIGTERM, is not answered: {error}"));
                }
                got.is_err() && sent > EXCUSED_MS && sent + WORK_MS < GRACE_MS
            })
        })
        .collect();
    let lost = clients
        .into_iter()
        .map(|c| c.join().unwrap())
        .filter(|is_lost| *is_lost)
        .count();
    // The replicas complete what was passed on to them.
    std::thread::sleep(Duration::from_millis(600));
    Ok(Verdict {
        broken: lost,
        text: format!("{lost} calls that were passed on to a replica were never answered"),
    })
}

fn call(record: &Record, wire: &mut Wire, id: &str) -> io::Result<u16> {
    record.note(format!("client: sends {id}"));
    wire.send(&request("POST", "/book/2f", id, BUDGET_MS, "", b"ticket"))?;
    let mut head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
    wire.body(&mut head)?;
    record.note(format!("client: {id} got {}", head.status()));
    Ok(head.status())
}

fn answer(replica: &Replica, request: &Message, wire: &mut Wire) -> io::Result<()> {
    let id = request
        .get("x-cornelstand-attempt-id")
        .unwrap_or_default()
        .to_owned();
    let work = if id.starts_with("second") {
        WORK_MS
    } else {
        20
    };
    std::thread::sleep(Duration::from_millis(work));
    replica
        .record
        .note(format!("{}: has booked {id} and answers", replica.id));
    wire.answer("200 OK", &stamped(replica, request), b"booked\n")
}
