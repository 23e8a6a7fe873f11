//! DRAIN: an entry of another writer can't be read, and a replica that drains keeps getting requests.

use std::io;
use std::net::TcpStream;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use crate::Verdict;
use crate::http::{Message, Wire};
use crate::store::Store;
use crate::world::{Gateway, Record, Replica, manifest, request, stamped};

/// Bound of the rule, from the store's ack.
const DRAIN_MS: u64 = 2_000;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("config", "main", manifest(7).as_bytes());
    // Times, in ms, at which the leaving replica got a request.
    let arrivals: Arc<Mutex<Vec<u64>>> = Arc::default();
    let seen = arrivals.clone();
    let handler = Arc::new(
        move |replica: &Replica, request: &Message, wire: &mut Wire| {
            if replica.id == "i-1" {
                seen.lock().unwrap().push(replica.record.now());
            }
            std::thread::sleep(Duration::from_millis(15));
            wire.answer("200 OK", &stamped(replica, request), b"stock: 12\n")
        },
    );
    for (id, zone) in [("i-1", "dock-a"), ("i-2", "dock-b"), ("i-3", "dock-c")] {
        let replica = Replica::start(record, id, "counter-app", zone, handler.clone())?;
        store.put("servers", id, replica.entry("ready", 1).as_bytes());
        if id == "i-1" {
            LEAVING.lock().unwrap().replace(replica);
        }
    }
    let leaving = LEAVING.lock().unwrap().take().unwrap();
    let gateway = Gateway::start(record, &store)?;
    gateway.await_ready().map_err(io::Error::other)?;
    std::thread::sleep(Duration::from_secs(1));
    if trouble {
        // The writer cut a text in the middle of a character, or wrote bytes that are no text.
        let spec: &[u8] = match std::env::var("ENTRY").as_deref() {
            Ok("bytes") => b"{\"service\":\"counter-app\",\"note\":\"\xff\xfe\x00zip\"}",
            Ok("number") => b"{\"service\":\"counter-app\",\"slots\":1e999}",
            _ => b"{\"service\":\"counter-app\",\"note\":\"new sliders \\ud83d\"}",
        };
        let spec: Vec<u8> = spec.iter().copied().filter(|b| *b != 0).collect();
        store.put("servers", "stock-notes", &spec);
        record.note(format!(
            "trouble: another writer's entry servers/stock-notes: {}",
            String::from_utf8_lossy(&spec)
        ));
    }
    std::thread::sleep(Duration::from_secs(4));
    store.put("servers", "i-1", leaving.entry("draining", 2).as_bytes());
    let ack = record.now();
    record.note("store: acknowledges that i-1 is draining");
    let served = AtomicU64::new(0);
    for n in 0..80 {
        let id = format!("c-{n:03}");
        let ask = || -> io::Result<u16> {
            let mut wire = Wire::new(TcpStream::connect(gateway.front)?);
            wire.stream.set_read_timeout(Some(Duration::from_secs(3)))?;
            record.note(format!("client: sends {id}"));
            wire.send(&request("GET", "/stock/fi50/2f", &id, 1_000, "", b""))?;
            let mut head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
            wire.body(&mut head)?;
            Ok(head.status())
        };
        let status = ask();
        record.note(format!("client: {id} got {status:?}"));
        if status.is_ok_and(|s| s == 200) {
            served.fetch_add(1, Ordering::SeqCst);
        }
        std::thread::sleep(Duration::from_millis(85));
    }
    let late = arrivals
        .lock()
        .unwrap()
        .iter()
        .filter(|at| **at > ack + DRAIN_MS)
        .count();
    let last = arrivals
        .lock()
        .unwrap()
        .last()
        .map_or(0, |at| at.saturating_sub(ack));
    Ok(Verdict {
        broken: late,
        text: format!(
            "{late} requests reached i-1 later than {DRAIN_MS} ms after the ack, the last {last} ms after it; {} of 80 served",
            served.load(Ordering::SeqCst)
        ),
    })
}

static LEAVING: Mutex<Option<Arc<Replica>>> = Mutex::new(None);
