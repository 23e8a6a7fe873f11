//! REFUSED: a late extra answer without an id is taken for the rejection of a call that runs.
//!
//! No case of the review: the pages say that its id identifies an extra answer, and this one has none.

use std::io;
use std::net::TcpStream;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::Verdict;
use crate::http::{Message, Wire};
use crate::store::Store;
use crate::world::{Gateway, Record, Replica, manifest, request, stamped};

const CALLS: u64 = 20;

pub fn run(record: &Record, trouble: bool) -> io::Result<Verdict> {
    let store = Store::start()?;
    store.put("config", "main", manifest(7).as_bytes());
    let runs = Arc::new(AtomicU64::new(0));
    let counted = runs.clone();
    let handler = Arc::new(
        move |replica: &Replica, request: &Message, wire: &mut Wire| {
            // Bytes after the answer before arrive where the next answer is due.
            if counted.fetch_add(1, Ordering::SeqCst) == 9 && trouble {
                replica.record.note(format!(
                    "trouble: {}: late bytes after its last answer",
                    replica.id
                ));
                wire.answer(
                    "503 Service Unavailable",
                    "X-Cornelstand-Not-Executed: 1\r\n",
                    b"",
                )?;
            }
            std::thread::sleep(Duration::from_millis(15));
            wire.answer("200 OK", &stamped(replica, request), b"booked\n")
        },
    );
    let replica = Replica::start(record, "i-1", "counter-app", "dock-a", handler)?;
    store.put("servers", "i-1", replica.entry("ready", 1).as_bytes());
    let gateway = Gateway::start(record, &store)?;
    gateway.await_ready().map_err(io::Error::other)?;
    let mut wire = Wire::new(TcpStream::connect(gateway.front)?);
    wire.stream.set_read_timeout(Some(Duration::from_secs(5)))?;
    let mut refused = 0;
    for n in 0..CALLS {
        let id = format!("c-{n:02}");
        record.note(format!("client: sends {id}"));
        wire.send(&request("POST", "/book/2f", &id, 1_000, "", b"ticket"))?;
        let mut head = wire.head()?.ok_or(io::ErrorKind::UnexpectedEof)?;
        wire.body(&mut head)?;
        record.note(format!("client: {id} got {}", head.status()));
        refused += usize::from(matches!(head.status(), 429 | 503 | 408 | 421));
    }
    Ok(Verdict {
        broken: refused,
        text: format!("{refused} calls that ran were answered as not run"),
    })
}
