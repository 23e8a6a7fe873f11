//! The platform's store: objects by kind and name, lists in pages, watches, unconditional writes.
//!
//! An object's `spec` is kept as the bytes that its writer sent.

use std::collections::BTreeMap;
use std::io;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Message, Wire};

/// Objects in one page of a list.
const PAGE: usize = 500;

#[derive(Clone)]
struct Object {
    spec: Vec<u8>,
    created: u64,
    revision: u64,
}

struct Event {
    kind: String,
    name: String,
    object: Object,
    deleted: bool,
}

#[derive(Default)]
struct Inner {
    revision: u64,
    objects: BTreeMap<(String, String), Object>,
    events: Vec<Event>,
}

#[derive(Clone)]
pub struct Store {
    inner: Arc<(Mutex<Inner>, Condvar)>,
    pub address: SocketAddr,
}

impl Store {
    pub fn start() -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Self {
            inner: Arc::new((
                Mutex::new(Inner {
                    revision: 7,
                    ..Inner::default()
                }),
                Condvar::new(),
            )),
            address: listener.local_addr()?,
        };
        let served = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                std::thread::spawn(move || {
                    let _ = store.serve(stream);
                });
            }
        });
        Ok(store)
    }

    /// Writes an object; the return is the ack.
    pub fn put(&self, kind: &str, name: &str, spec: &[u8]) {
        let (lock, changed) = &*self.inner;
        let mut inner = lock.lock().unwrap();
        inner.revision += 1;
        let revision = inner.revision;
        let key = (kind.to_owned(), name.to_owned());
        let created = inner.objects.get(&key).map_or(revision, |o| o.created);
        let object = Object {
            spec: spec.to_vec(),
            created,
            revision,
        };
        inner.objects.insert(key, object.clone());
        inner.events.push(Event {
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            deleted: false,
        });
        changed.notify_all();
    }

    /// Removes an object; the return is the ack. Tells whether it existed.
    pub fn delete(&self, kind: &str, name: &str) -> bool {
        let (lock, changed) = &*self.inner;
        let mut inner = lock.lock().unwrap();
        let Some(mut object) = inner.objects.remove(&(kind.to_owned(), name.to_owned())) else {
            return false;
        };
        inner.revision += 1;
        object.revision = inner.revision;
        inner.events.push(Event {
            kind: kind.to_owned(),
            name: name.to_owned(),
            object,
            deleted: true,
        });
        changed.notify_all();
        true
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        let mut wire = Wire::new(stream);
        while let Some(request) = wire.request()? {
            let (status, body) = self.handle(&request);
            wire.answer(status, "Content-Type: application/json\r\n", &body)?;
        }
        Ok(())
    }

    fn handle(&self, request: &Message) -> (&'static str, Vec<u8>) {
        let target = request.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let Some(rest) = path.strip_prefix("/-/objects/") else {
            return ("404 Not Found", b"{}".to_vec());
        };
        let (kind, name) = match rest.split_once('/') {
            Some((kind, name)) => (kind, Some(name.trim_end_matches("/status"))),
            None => (rest, None),
        };
        let field = |key: &str| {
            let mut fields = query.split('&').filter_map(|f| f.split_once('='));
            fields.find(|(k, _)| *k == key).map(|(_, v)| v.to_owned())
        };
        match (request.word(0), name) {
            ("GET", None) if field("watch").is_some() => {
                let since = field("watch").and_then(|v| v.parse().ok()).unwrap_or(0);
                let wait = field("wait_ms")
                    .and_then(|v| v.parse().ok())
                    .unwrap_or(30_000);
                (
                    "200 OK",
                    self.watch(kind, since, Duration::from_millis(wait)),
                )
            }
            ("GET", None) => (
                "200 OK",
                self.list(kind, &field("after").unwrap_or_default()),
            ),
            ("GET", Some(name)) => match self.object(kind, name) {
                Some(body) => ("200 OK", body),
                None => ("404 Not Found", b"{}".to_vec()),
            },
            ("POST", None) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                let name = string_field(&text, "name").unwrap_or_default();
                if self.object(kind, &name).is_some() {
                    return ("409 Conflict", self.object(kind, &name).unwrap());
                }
                self.put(kind, &name, spec_of(&text).as_bytes());
                ("200 OK", self.object(kind, &name).unwrap())
            }
            ("PUT", Some(name)) => {
                let text = String::from_utf8_lossy(&request.body).into_owned();
                self.put(kind, name, spec_of(&text).as_bytes());
                ("200 OK", self.object(kind, name).unwrap())
            }
            ("DELETE", Some(name)) if self.delete(kind, name) => ("200 OK", b"{}".to_vec()),
            _ => ("404 Not Found", b"{}".to_vec()),
        }
    }

    fn object(&self, kind: &str, name: &str) -> Option<Vec<u8>> {
        let inner = self.inner.0.lock().unwrap();
        let object = inner.objects.get(&(kind.to_owned(), name.to_owned()))?;
        Some(write_object(name, object))
    }

    fn list(&self, kind: &str, after: &str) -> Vec<u8> {
        let inner = self.inner.0.lock().unwrap();
        let of_kind = inner
            .objects
            .iter()
            .filter(|((k, n), _)| k == kind && n.as_str() > after);
        let found: Vec<_> = of_kind.take(PAGE + 1).collect();
        let mut out = b"{\"items\":[".to_vec();
        for (i, ((_, name), object)) in found.iter().take(PAGE).enumerate() {
            if i > 0 {
                out.push(b',');
            }
            out.extend(write_object(name, object));
        }
        out.extend(
            format!(
                "],\"has_more\":{},\"as_of\":{}}}",
                found.len() > PAGE,
                inner.revision
            )
            .bytes(),
        );
        out
    }

    fn watch(&self, kind: &str, since: u64, wait: Duration) -> Vec<u8> {
        let until = Instant::now() + wait;
        let (lock, changed) = &*self.inner;
        let mut inner = lock.lock().unwrap();
        loop {
            let events = inner
                .events
                .iter()
                .filter(|e| e.kind == kind && e.object.revision > since);
            let events: Vec<Vec<u8>> = events
                .map(|e| {
                    let mut out = format!("{{\"deleted\":{},\"object\":", e.deleted).into_bytes();
                    out.extend(write_object(&e.name, &e.object));
                    out.push(b'}');
                    out
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !events.is_empty() || left.is_zero() {
                let mut out = b"{\"events\":[".to_vec();
                out.extend(events.join(&b","[..]));
                out.extend(format!("],\"as_of\":{}}}", inner.revision).bytes());
                return out;
            }
            inner = changed.wait_timeout(inner, left).unwrap().0;
        }
    }
}

fn write_object(name: &str, object: &Object) -> Vec<u8> {
    let mut out = format!(
        "{{\"metadata\":{{\"name\":\"{name}\",\"revision\":{},\"created_rev\":{},\"finalizers\":[],\"deleting\":false}},\"spec\":",
        object.revision, object.created
    )
    .into_bytes();
    out.extend_from_slice(&object.spec);
    out.extend_from_slice(b",\"status\":null}");
    out
}

/// Value of the first string field `name`.
fn string_field(text: &str, name: &str) -> Option<String> {
    let rest = &text[text.find(&format!("\"{name}\":"))? + name.len() + 3..];
    let rest = rest.trim_start().strip_prefix('"')?;
    Some(rest[..rest.find('"')?].to_owned())
}

/// The bytes of the field `spec`, which the instances write last.
fn spec_of(text: &str) -> &str {
    let Some(at) = text.find("\"spec\":") else {
        return "null";
    };
    let rest = &text[at + 7..];
    let mut depth = 0_i32;
    for (i, c) in rest.char_indices() {
        match c {
            '{' | '[' => depth += 1,
            '}' | ']' => {
                depth -= 1;
                if depth == 0 {
                    return &rest[..=i];
                }
            }
            _ => {}
        }
    }
    "null"
}
