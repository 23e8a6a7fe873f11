//! LOST: clients send large bodies at once; the gateway exceeds its memory, is killed, and the calls
//! on kept channels, which it had passed on to sound replicas, are never answered.
//!
//! No case of the review: the classes of the site files send smaller bodies.

use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::http::{Message, Wire};
use crate::store::Store;
use crate::world::{Gateway, Record, Replica, manifest, request, signal, stamped};

/// `limits.memory_mb` of a machine.
const MEMORY_MB: u64 = 260;
/// `max_body_bytes` of the manifest.
const MAX_BODY: usize = 4_194_304;
/// Mean of the bodies of the largest class.
const USUAL_BODY: usize = 12_000;
/// Clients that send a large body, of the 79 of the site.
const UPLOADS: u64 = 40;
/// Clients that send one call after another on a channel that they keep.
const CALLERS: u64 = 8;
/// More lost calls than these break the rule.
const ALLOWED: usize = 3;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("config", "main", manifest(7).as_bytes());
    for (id, service, zone) in [
        ("i-1", "stitch-models", "dock-a"),
        ("i-2", "stitch-models", "dock-b"),
        ("i-3", "stitch-models", "dock-c"),
        ("i-4", "counter-app", "dock-a"),
        ("i-5", "counter-app", "dock-b"),
        ("i-6", "counter-app", "dock-c"),
    ] {
        let replica = Replica::start(record, id, service, zone, Arc::new(answer))?;
        store.put("servers", id, replica.entry("ready", 1).as_bytes());
    }
    let mut gateway = Gateway::start(record, &store)?;
    gateway.await_ready().map_err(io::Error::other)?;
    let (front, process) = (gateway.front, gateway.id());
    let size = if trouble { MAX_BODY } else { USUAL_BODY };
    let body = vec![b'x'; size];
    let (is_over, is_done, peak) = (
        AtomicBool::new(false),
        AtomicBool::new(false),
        AtomicU64::new(0),
    );
    let lost = std::thread::scope(|scope| {
        let callers: Vec<_> = (0..CALLERS)
            .map(|n| {
                let is_done = &is_done;
                scope.spawn(move || call(record, front, n, is_done))
            })
            .collect();
        std::thread::sleep(Duration::from_secs(1));
        record.note(format!(
            "{UPLOADS} clients send a request with a body of {size} bytes each"
        ));
        for n in 0..UPLOADS {
            let body = &body;
            scope.spawn(move || upload(record, front, n, body));
        }
        for _ in 0..700 {
            let used = gateway.memory_mb();
            peak.fetch_max(used, Ordering::SeqCst);
            if used > MEMORY_MB && !is_over.swap(true, Ordering::SeqCst) {
                record.note(format!(
                    "platform: the process holds {used} MB, more than {MEMORY_MB}, and is killed"
                ));
                signal(process, "KILL");
            }
            std::thread::sleep(Duration::from_millis(10));
        }
        is_done.store(true, Ordering::SeqCst);
        callers
            .into_iter()
            .map(|c| c.join().unwrap())
            .filter(|is_lost| *is_lost)
            .count()
    });
    let ended = gateway.has_ended();
    Ok(Verdict {
        broken: if lost > ALLOWED { lost } else { 0 },
        text: format!(
            "the gateway held {} MB at most, ended: {ended}; {lost} calls on kept channels were never answered",
            peak.load(Ordering::SeqCst)
        ),
    })
}

/// Sends calls on one channel. Tells whether the channel was closed without an answer to one that
/// was not the first on it.
fn call(record: &Record, front: SocketAddr, client: u64, is_done: &AtomicBool) -> bool {
    let Ok(stream) = TcpStream::connect(front) else {
        return false;
    };
    let mut wire = Wire::new(stream);
    let _ = wire.stream.set_read_timeout(Some(Duration::from_secs(5)));
    for n in 0.. {
        if is_done.load(Ordering::SeqCst) {
            return false;
        }
        let id = format!("c-{client}-{n:02}");
        record.note(format!("client: sends {id}"));
        let mut ask = || -> io::Result<u16> {
            wire.send(&request("POST", "/book/2f", &id, 1_000, "", b"ticket"))?;
            let mut head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            wire.body(&mut head)?;
            Ok(head.status())
        };
        let got = ask();
        record.note(format!("client: {id} got {got:?}"));
        if got.is_err() {
            return n > 0;
        }
    }
    false
}

fn upload(record: &Record, front: SocketAddr, client: u64, body: &[u8]) {
    let id = format!("u-{client:02}");
    let more = "X-Cornelstand-Model: m\r\nX-Cornelstand-Token-Count: 628,240\r\n";
    let send = || -> io::Result<u16> {
        let mut wire = Wire::new(TcpStream::connect(front)?);
        wire.stream
            .set_read_timeout(Some(Duration::from_secs(14)))?;
        wire.send(&request("POST", "/quote/2f", &id, 12_000, more, body))?;
        let head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        while wire.chunk()?.is_some() {}
        Ok(head.status())
    };
    record.note(format!("client: sends {id}"));
    let got = send();
    record.note(format!("client: {id} got {got:?}"));
}

fn answer(replica: &Replica, request: &Message, wire: &mut Wire) -> io::Result<()> {
    if replica.service == "counter-app" {
        std::thread::sleep(Duration::from_millis(300));
        return wire.answer("200 OK", &stamped(replica, request), b"booked\n");
    }
    let head = stamped(replica, request);
    wire.send(format!("HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n").as_bytes())?;
    for number in 1..=40 {
        std::thread::sleep(Duration::from_millis(100));
        wire.send_chunk(format!("id: {number}\ndata: piece {number}\n\n").as_bytes())?;
    }
    wire.send(b"0\r\n\r\n")
}
