//! Connections that an instance hands over to a neighbour, over loopback: what callers get,
//! endpoints see, and either instance's stop or loss leaves.

use std::cell::Cell;
use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;

use rstest::rstest;
use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;
use tokio::time::{Instant, sleep, timeout};

use crate::gateway::directory::EndpointRecord;
use crate::gateway::extensions;
use crate::gateway::gate::Gate;
use crate::gateway::handover::balance::Decline;
use crate::gateway::handover::link::{answer_offer, read_offer};
use crate::gateway::handover::{accept, check_links, report_block};
use crate::gateway::metrics::GatewayMetrics;
use crate::gateway::peers::{Message, Peers};
use crate::gateway::peers_link::{handle_datagram, heartbeat_packet};
use crate::gateway::settings::peer_address;
use crate::gateway::stop::drain;
use crate::gateway::tests::{MODELS, ORDERS, catalog, gate, list, record};
use crate::platform::tests::path::{connect, listen, request, run_local, status};
use crate::platform::tests::scripted::{
    Endpoint, Step, TEST_TIMEOUT, answer, chunk, event, own_loopback, run_script, stream_head,
};

const STEP: Duration = Duration::from_millis(5);

/// An entry that is short of processor time, and its neighbour.
struct Pair {
    entry: Rc<Gate>,
    neighbour: Rc<Gate>,
    /// Address of the entry for callers.
    address: SocketAddr,
    /// Whether heartbeats are lost.
    is_silent: Rc<Cell<bool>>,
}

/// An instance of a large fleet that listens to neighbours at `peer`.
fn instance(name: &str, peer: SocketAddr, records: Vec<EndpointRecord>) -> Rc<Gate> {
    let gate = gate(name, records);
    let mut settings = gate.settings.borrow_mut();
    settings.callers = SocketAddr::new(peer.ip(), 0);
    settings.peer_ports = peer.port()..=peer.port();
    drop(settings);
    let mut state = gate.state.borrow_mut();
    for number in 0..12 {
        let name = format!("other-{number}");
        let address = SocketAddr::new(own_loopback().into(), 9);
        state
            .peers
            .list(name.as_str().into(), address, "south".into(), 0.25);
    }
    drop(state);
    gate
}

fn send_heartbeat(from: &Gate, to: &Gate) {
    let address = peer_address(&from.settings.borrow());
    let packet = heartbeat_packet(from).expect("a heartbeat");
    handle_datagram(to, address, &packet.bytes);
}

/// Lets an instance hand over all connections.
fn press(gate: &Gate) {
    let mut balance = gate.handover.balance.borrow_mut();
    balance.is_pressed = true;
    balance.usage.share = 1.0;
}

async fn bind() -> TcpListener {
    let listener = TcpListener::bind((own_loopback(), 0)).await;
    listener.expect("loopback")
}

impl Pair {
    /// An entry with `own` endpoints, and a neighbour with `records` at `listener`.
    async fn with(
        listener: &TcpListener,
        own: Vec<EndpointRecord>,
        records: Vec<EndpointRecord>,
    ) -> Self {
        let peer = listener.local_addr().expect("bound");
        let neighbour = instance("two", peer, records);
        let entry_peer = SocketAddr::new(own_loopback().into(), 9);
        let entry = instance("one", entry_peer, own);
        let address = listen(&entry).await;
        let is_silent = Rc::new(Cell::new(false));
        send_heartbeat(&neighbour, &entry);
        send_heartbeat(&entry, &neighbour);
        press(&entry);
        let (one, two, silent) = (entry.clone(), neighbour.clone(), is_silent.clone());
        spawn_local(async move {
            loop {
                sleep(STEP).await;
                if !silent.get() {
                    send_heartbeat(&one, &two);
                    send_heartbeat(&two, &one);
                }
                check_links(&one);
                check_links(&two);
            }
        });
        Self {
            entry,
            neighbour,
            address,
            is_silent,
        }
    }

    /// A neighbour whose endpoints of `service` run scripts; the entry has none.
    async fn start(service: &str, scripts: Vec<Vec<Step>>) -> (Self, Endpoint) {
        let listener = bind().await;
        let endpoint = Endpoint::start(scripts).await;
        let records = vec![record("e-1", service, endpoint.address)];
        let pair = Self::with(&listener, Vec::new(), records).await;
        spawn_local(accept(pair.neighbour.clone(), listener));
        (pair, endpoint)
    }

    /// A neighbour that answers offers with `answer`, reads as many requests as `script` says and
    /// writes what it says. The entry has an endpoint of its own.
    async fn scripted(
        answer: Option<Result<(), Decline>>,
        script: Vec<Step>,
    ) -> (Self, Endpoint, Rc<Cell<usize>>) {
        let listener = bind().await;
        let done = vec![Step::Read, Step::Write(self::answer("a1", "", "own"))];
        let endpoint = Endpoint::start(vec![done.clone(), done]).await;
        let records = vec![record("e-1", ORDERS, endpoint.address)];
        let pair = Self::with(&listener, records, Vec::new()).await;
        let offers: Rc<Cell<usize>> = Rc::default();
        let counted = offers.clone();
        spawn_local(async move {
            loop {
                let (mut stream, _) = listener.accept().await.expect("accept");
                read_offer(&mut stream).await.expect("an offer");
                counted.set(counted.get() + 1);
                if let Some(answer) = answer {
                    let sent = answer_offer(&mut stream, answer).await;
                    sent.expect("answered");
                }
                run_script(stream, script.clone(), Rc::default(), Rc::default()).await;
            }
        });
        (pair, endpoint, offers)
    }
}

/// Hand-overs of an instance with a result.
fn count(gate: &Gate, result: &str) -> u64 {
    gate.metrics.handovers.with_label_values(&[result]).get()
}

/// Reads until `text` is there.
async fn read_until(stream: &mut TcpStream, text: &str) -> String {
    let mut read = Vec::new();
    while !String::from_utf8_lossy(&read).contains(text) {
        let count = timeout(TEST_TIMEOUT, stream.read_buf(&mut read)).await;
        let count = count.expect("bytes in time").expect("no reset");
        assert!(count > 0, "closed after {}", String::from_utf8_lossy(&read));
    }
    String::from_utf8_lossy(&read).into_owned()
}

/// Reads to the end. Returns whether it was an orderly one.
async fn read_end(stream: &mut TcpStream) -> (String, bool) {
    let mut text = Vec::new();
    let end = timeout(TEST_TIMEOUT, stream.read_to_end(&mut text)).await;
    let end = end.expect("the connection ends");
    (String::from_utf8_lossy(&text).into_owned(), end.is_ok())
}

async fn send(address: SocketAddr, text: &str) -> TcpStream {
    let mut caller = connect(address).await;
    caller.write_all(text.as_bytes()).await.expect("sent");
    caller
}

async fn until(holds: impl Fn() -> bool) {
    let deadline = Instant::now() + TEST_TIMEOUT;
    while !holds() {
        assert!(Instant::now() < deadline, "in time");
        sleep(STEP).await;
    }
}

#[tokio::test]
async fn requests_on_a_handed_over_connection_are_served_by_the_neighbour() {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(answer("a1", "", "first")),
            Step::Read,
            Step::Write(answer("a2", "", "second")),
        ];
        let (pair, endpoint) = Pair::start(ORDERS, vec![script]).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nfirst").await;
        let second = request("/book/2", "a2");
        caller.write_all(second.as_bytes()).await.expect("sent");
        read_until(&mut caller, "\r\n\r\nsecond").await;
        assert_eq!(pair.entry.metrics.requests.get(), 0);
        assert_eq!(pair.neighbour.metrics.requests.get(), 2);
        assert_eq!(count(&pair.entry, "handed_over"), 1);
        assert_eq!(count(&pair.neighbour, "taken"), 1);
        assert_eq!(endpoint.count(), 2);
        drop(caller);
        until(|| pair.entry.active.get() == 0 && pair.entry.connections.get() == 0).await;
        until(|| pair.neighbour.connections.get() == 0).await;
    })
    .await;
}

#[tokio::test]
async fn a_connection_of_an_entry_with_many_is_closed_after_its_response() {
    run_local(async {
        let script = vec![Step::Read, Step::Write(answer("a1", "", "done"))];
        let (pair, _endpoint) = Pair::start(ORDERS, vec![script]).await;
        pair.entry.connections.set(2_700);
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        let (text, is_orderly) = read_end(&mut caller).await;
        let is_closing = text.to_lowercase().contains("connection: close\r\n");
        assert!(
            text.ends_with("\r\n\r\ndone") && is_closing && is_orderly,
            "{text}"
        );
    })
    .await;
}

#[tokio::test]
async fn a_kept_connection_is_handed_over_between_requests() {
    run_local(async {
        let listener = bind().await;
        let own = vec![Step::Read, Step::Write(answer("a1", "", "own"))];
        let own = Endpoint::start(vec![own]).await;
        let other = vec![Step::Read, Step::Write(answer("a2", "", "other"))];
        let other = Endpoint::start(vec![other]).await;
        let record = |e: &Endpoint| vec![record("e-1", ORDERS, e.address)];
        let pair = Pair::with(&listener, record(&own), record(&other)).await;
        spawn_local(accept(pair.neighbour.clone(), listener));
        pair.entry.handover.balance.borrow_mut().is_pressed = false;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nown").await;
        press(&pair.entry);
        let second = request("/book/2", "a2");
        caller.write_all(second.as_bytes()).await.expect("sent");
        read_until(&mut caller, "\r\n\r\nother").await;
        assert_eq!((own.count(), other.count()), (1, 1));
    })
    .await;
}

#[rstest]
#[case::whole_in_chunks("HTTP/1.1", true)]
#[case::whole_until_close("HTTP/1.0", true)]
#[case::cut_in_chunks("HTTP/1.1", false)]
#[case::cut_until_close("HTTP/1.0", false)]
#[tokio::test]
async fn a_stream_ends_as_at_the_neighbour(#[case] version: &str, #[case] is_whole: bool) {
    run_local(async {
        let mut script = vec![Step::Read, Step::Write(stream_head("a1"))];
        for number in 1..=20 {
            script.push(Step::Write(chunk(&event(number))));
            script.push(Step::Pause(2));
        }
        script.push(if is_whole {
            Step::Write("0\r\n\r\n".to_owned())
        } else {
            Step::Reset
        });
        let (pair, _engine) = Pair::start(MODELS, vec![script]).await;
        let request = request("/digest/1", "a1")
            .replacen("HTTP/1.1", version, 1)
            .replacen("Host:", "Connection: close\r\nHost:", 1);
        let mut caller = send(pair.address, &request).await;
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(text.contains("piece 20") || !is_whole, "{text}");
        assert_eq!(is_orderly, is_whole, "{text}");
        assert_eq!(text.matches("HTTP/1.").count(), 1, "{text}");
        assert_eq!(count(&pair.entry, "handed_over"), 1);
    })
    .await;
}

#[rstest]
#[case::close(false)]
#[case::reset(true)]
#[tokio::test]
async fn a_caller_that_leaves_is_gone_at_the_neighbour(#[case] is_reset: bool) {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(stream_head("a1") + &chunk(&event(1))),
            Step::AwaitClose,
        ];
        let (pair, engine) = Pair::start(MODELS, vec![script]).await;
        let mut caller = send(pair.address, &request("/digest/1", "a1")).await;
        read_until(&mut caller, "piece 1").await;
        if is_reset {
            let linger = SockRef::from(&caller).set_linger(Some(Duration::ZERO));
            linger.expect("a socket option");
        }
        drop(caller);
        until(|| engine.closes.get() == 1).await;
        until(|| pair.entry.active.get() == 0 && pair.neighbour.active.get() == 0).await;
    })
    .await;
}

/// A large request and a large response, which fill the buffers of both connections.
#[tokio::test]
async fn a_slow_side_gets_all_bytes() {
    run_local(async {
        let body = "y".repeat(3_000_000);
        let script = vec![Step::Read, Step::Write(answer("a1", "", &body))];
        let (pair, endpoint) = Pair::start(ORDERS, vec![script]).await;
        let length = format!("Content-Length: {}\r\n\r\n{body}", body.len());
        let request = request("/book/1", "a1")
            .replacen("Content-Length: 4\r\n\r\nbody", &length, 1)
            .replacen("Host:", "Connection: close\r\nHost:", 1);
        let mut caller = send(pair.address, &request).await;
        sleep(Duration::from_millis(200)).await;
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(text.ends_with(&body) && is_orderly);
        assert!(endpoint.requests.borrow()[0].ends_with(&body));
    })
    .await;
}

#[rstest]
#[case::closed(None, vec![])]
#[case::reset(None, vec![Step::Reset])]
#[case::silent(None, vec![Step::AwaitClose])]
#[case::busy(Some(Err(Decline::Busy)), vec![])]
#[case::other_view(Some(Err(Decline::OtherView)), vec![])]
#[tokio::test]
async fn a_connection_that_is_not_taken_is_served_by_the_entry(
    #[case] reply: Option<Result<(), Decline>>,
    #[case] script: Vec<Step>,
) {
    run_local(async {
        let (pair, endpoint, offers) = Pair::scripted(reply, script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nown").await;
        assert_eq!((offers.get(), endpoint.count()), (1, 1));
        // It is not asked again at once.
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nown").await;
        assert_eq!((offers.get(), endpoint.count()), (1, 2));
    })
    .await;
}

#[tokio::test]
async fn a_neighbour_that_does_not_listen_costs_no_request() {
    run_local(async {
        let (pair, endpoint, _) = Pair::scripted(None, Vec::new()).await;
        pair.neighbour.settings.borrow_mut().peer_ports = 1..=1;
        send_heartbeat(&pair.neighbour, &pair.entry);
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nown").await;
        assert_eq!(endpoint.count(), 1);
        assert_eq!(count(&pair.entry, "unanswered"), 1);
    })
    .await;
}

const HALF: &str = "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhalf";

/// The entry sends nothing to an endpoint of its own after a connection was taken.
#[rstest]
#[case::before_the_request(vec![Step::Reset], "502", true)]
#[case::with_the_request(vec![Step::Read, Step::Reset], "502", true)]
#[case::during_the_response(vec![Step::Read, Step::Write(HALF.into()), Step::Pause(100), Step::Reset], "200", false)]
#[case::after_the_response(vec![Step::Read, Step::Write(answer("a1", "", "done")), Step::Pause(100), Step::Reset], "200", false)]
#[tokio::test]
async fn a_request_is_not_sent_again_when_the_neighbour_dies(
    #[case] script: Vec<Step>,
    #[case] expected: &str,
    #[case] is_orderly: bool,
) {
    run_local(async {
        let (pair, endpoint, offers) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        let (text, has_closed) = read_end(&mut caller).await;
        assert_eq!(status(&text), expected, "{text}");
        assert_eq!(has_closed, is_orderly, "{text}");
        assert_eq!(text.matches("HTTP/1.").count(), 1, "{text}");
        assert_eq!((offers.get(), endpoint.count()), (1, 0));
        until(|| pair.entry.active.get() == 0).await;
    })
    .await;
}

/// A request that the caller pipelines behind a running response gets none into the middle of it.
#[rstest]
#[case::in_chunks(vec![stream_head("a1") + &chunk(&event(1))], "piece 1")]
#[case::of_a_length(vec![HALF.into()], "half")]
#[case::until_close(vec!["HTTP/1.1 200 OK\r\n\r\nhalf".into()], "half")]
#[case::half_a_head(vec!["HTTP/1.1 200 OK\r\nContent-".into(), "Length: 9\r\n\r\nhalf".into()], "half")]
#[case::after_a_chunk_like_the_last(vec![stream_head("a1") + "a\r\nhalf 0\r\n\r\n"], "half")]
#[tokio::test]
async fn a_response_with_a_request_behind_it_is_cut_when_the_neighbour_dies(
    #[case] parts: Vec<String>,
    #[case] end: &str,
) {
    run_local(async {
        let mut script = vec![Step::Read];
        for part in parts {
            script.extend([Step::Write(part), Step::Pause(50)]);
        }
        script.extend([Step::Read, Step::Reset]);
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/digest/1", "a1")).await;
        read_until(&mut caller, end).await;
        sleep(STEP * 10).await;
        let next = request("/digest/1", "a2");
        caller.write_all(next.as_bytes()).await.expect("sent");
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(!text.contains("HTTP/1.") && !is_orderly, "{text}");
    })
    .await;
}

/// Between responses the framing is told apart from what follows.
#[rstest]
#[case::of_a_length(vec![answer("a1", "", "done")])]
#[case::in_chunks(vec![stream_head("a1") + &chunk(&event(1)), "0\r\n".into(), "\r\n".into()])]
#[case::interim(vec!["HTTP/1.1 100 Continue\r\n\r\n".into(), answer("a1", "", "done")])]
#[tokio::test]
async fn a_request_after_a_response_is_answered_when_the_neighbour_dies(
    #[case] parts: Vec<String>,
) {
    run_local(async {
        let mut script = vec![Step::Read];
        for part in parts {
            script.extend([Step::Write(part), Step::Pause(50)]);
        }
        script.extend([Step::Read, Step::Reset]);
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/digest/1", "a1")).await;
        sleep(STEP * 50).await;
        let next = request("/digest/1", "a2");
        caller.write_all(next.as_bytes()).await.expect("sent");
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(text.contains("HTTP/1.1 502") && is_orderly, "{text}");
    })
    .await;
}

#[tokio::test]
async fn a_request_after_an_interim_response_is_answered_when_the_neighbour_dies() {
    run_local(async {
        let interim = Step::Write("HTTP/1.1 100 Continue\r\n\r\n".into());
        let script = vec![Step::Read, interim, Step::Pause(50), Step::Reset];
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(text.contains("HTTP/1.1 502") && is_orderly, "{text}");
    })
    .await;
}

/// The rest of a refused body is no further request.
#[rstest]
#[case::reset(vec![Step::Reset])]
#[case::close(vec![])]
#[tokio::test]
async fn a_last_response_is_followed_by_no_other(#[case] end: Vec<Step>) {
    run_local(async {
        let refusal =
            "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nContent-Length: 0\r\n\r\n";
        let mut script = vec![Step::Read, Step::Write(refusal.into()), Step::Pause(100)];
        script.extend(end);
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\n").await;
        caller.write_all(b"more of the body").await.expect("sent");
        let mut text = Vec::new();
        // The connection may be reset.
        let _ = timeout(TEST_TIMEOUT, caller.read_to_end(&mut text)).await;
        assert_eq!(String::from_utf8_lossy(&text), "");
    })
    .await;
}

#[tokio::test]
async fn a_response_to_the_head_only_has_no_body_when_the_neighbour_dies() {
    run_local(async {
        let script = vec![Step::Read, Step::Reset];
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let request = request("/book/1", "a1").replacen("POST", "HEAD", 1);
        let mut caller = send(pair.address, &request).await;
        let (text, _) = read_end(&mut caller).await;
        assert!(
            status(&text) == "502" && text.ends_with("\r\n\r\n"),
            "{text}"
        );
    })
    .await;
}

#[tokio::test]
async fn an_orderly_close_of_the_neighbour_is_one_for_the_caller() {
    run_local(async {
        let whole = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nwhole";
        let script = vec![Step::Read, Step::Write(whole.into())];
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(text.ends_with("\r\n\r\nwhole") && is_orderly, "{text}");
    })
    .await;
}

/// The neighbour closes in order after it has read a second request, or because its response says so.
#[rstest]
#[case::kept("", "502")]
#[case::not_kept("Connection: close\r\n", "none")]
#[tokio::test]
async fn a_request_that_an_orderly_close_leaves_open_gets_an_answer(
    #[case] extra: &str,
    #[case] expected: &str,
) {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(answer("a1", extra, "done")),
            Step::Read,
        ];
        let (pair, endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "done").await;
        let next = request("/book/2", "a2");
        caller.write_all(next.as_bytes()).await.expect("sent");
        let (text, is_orderly) = read_end(&mut caller).await;
        assert!(status(&text) == expected && is_orderly, "{text}");
        assert_eq!(endpoint.count(), 0);
    })
    .await;
}

/// Parts of requests that come before and after the neighbour's response has ended, while the entry
/// stands still, and the end of what the caller gets.
#[rstest]
#[case::whole_request(0, false, "\r\n\r\nown")]
#[case::while_stopping(0, true, "\r\n\r\nown")]
#[case::rest_of_a_request(20, false, " done")]
#[tokio::test]
async fn a_request_that_crosses_an_orderly_close_is_served_by_the_entry(
    #[case] before: usize,
    #[case] is_stopping: bool,
    #[case] expected: &str,
) {
    run_local(async {
        let listener = bind().await;
        let own = vec![Step::Read, Step::Write(answer("a1", "", "own"))];
        let own = Endpoint::start(vec![own]).await;
        let records = vec![record("e-1", ORDERS, own.address)];
        let pair = Pair::with(&listener, records, Vec::new()).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        let (mut neighbour, _) = listener.accept().await.expect("accept");
        read_offer(&mut neighbour).await.expect("an offer");
        answer_offer(&mut neighbour, Ok(())).await.expect("sent");
        read_until(&mut neighbour, "body").await;
        let (begin, end) = HALF.split_at(HALF.len() - 4);
        neighbour.write_all(begin.as_bytes()).await.expect("sent");
        read_until(&mut caller, "\r\n\r\n").await;
        let next = request("/book/2", "a1");
        let (first, rest) = next.as_bytes().split_at(before);
        caller.write_all(first).await.expect("sent");
        if before > 0 {
            read_until(&mut neighbour, "/book/2").await;
        }
        let end = format!("{end} done");
        neighbour.write_all(end.as_bytes()).await.expect("sent");
        read_until(&mut caller, " done").await;
        if is_stopping {
            pair.entry.stop.begin(Duration::from_secs(8));
        }
        drop(neighbour);
        assert_eq!(caller.try_write(rest).expect("sent"), rest.len());
        if before > 0 {
            let (text, _) = read_end(&mut caller).await;
            assert_eq!((text.as_str(), own.count()), ("", 0));
            return;
        }
        let text = read_until(&mut caller, expected).await.to_lowercase();
        assert_eq!(text.contains("connection: close\r\n"), is_stopping);
        drop(caller);
        until(|| pair.entry.active.get() == 0 && pair.entry.connections.get() == 0).await;
    })
    .await;
}

/// Lets paused time run five times as fast as the clock at most: the kernel may deliver bytes late.
fn pace() {
    spawn_local(async {
        loop {
            sleep(Duration::from_millis(1)).await;
            std::thread::sleep(Duration::from_micros(200));
        }
    });
}

#[tokio::test(start_paused = true)]
async fn a_neighbour_whose_bytes_arrive_is_not_lost() {
    run_local(async {
        pace();
        let mut script = vec![Step::Read, Step::Write(stream_head("a1"))];
        for number in 1..=10 {
            script.extend([Step::Pause(500), Step::Write(chunk(&event(number)))]);
        }
        script.extend([Step::Write("0\r\n\r\n".to_owned()), Step::AwaitClose]);
        let (pair, _endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/digest/1", "a1")).await;
        read_until(&mut caller, "HTTP/1.1 200").await;
        pair.is_silent.set(true);
        let text = read_until(&mut caller, "\r\n0\r\n\r\n").await;
        assert!(text.contains("piece 10"), "{text}");
    })
    .await;
}

#[rstest]
#[case::waits(vec![Step::Read, Step::AwaitClose], "502", true)]
#[case::half(vec![Step::Read, Step::Write(HALF.into()), Step::AwaitClose], "200", false)]
#[tokio::test(start_paused = true)]
async fn a_neighbour_that_is_not_heard_loses_its_connections(
    #[case] script: Vec<Step>,
    #[case] expected: &str,
    #[case] is_orderly: bool,
) {
    run_local(async {
        pace();
        let (pair, endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        until(|| pair.entry.connections.get() > 1).await;
        sleep(Duration::from_millis(50)).await;
        pair.is_silent.set(true);
        let (text, has_closed) = read_end(&mut caller).await;
        assert_eq!(
            (status(&text), has_closed),
            (expected, is_orderly),
            "{text}"
        );
        assert_eq!(endpoint.count(), 0);
    })
    .await;
}

/// Three kept connections: one that stays idle, one with a response on its way, and one with a
/// request after the stop has begun.
#[rstest]
#[case::entry(true)]
#[case::neighbour(false)]
#[tokio::test]
async fn a_stop_closes_handed_over_connections_after_their_responses(#[case] of_entry: bool) {
    run_local(async {
        let slow = vec![
            Step::Read,
            Step::Pause(600),
            Step::Write(answer("a2", "", "slow")),
        ];
        let quick = vec![Step::Read, Step::Write(answer("a1", "", "quick"))];
        let last = vec![Step::Read, Step::Write(answer("a3", "", "last"))];
        let scripts = vec![quick.clone(), quick, slow, last];
        let (pair, endpoint) = Pair::start(ORDERS, scripts).await;
        let mut idle = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut idle, "\r\n\r\nquick").await;
        let mut kept = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut kept, "\r\n\r\nquick").await;
        let mut busy = send(pair.address, &request("/book/2", "a2")).await;
        until(|| endpoint.count() == 3).await;
        let stopping = if of_entry {
            &pair.entry
        } else {
            &pair.neighbour
        };
        stopping.stop.begin(Duration::from_secs(8));
        sleep(STEP * 20).await;
        let request = request("/book/3", "a3");
        kept.write_all(request.as_bytes()).await.expect("sent");
        let (text, is_orderly) = read_end(&mut kept).await;
        let is_closing = text.to_lowercase().contains("connection: close\r\n");
        assert!(
            text.ends_with("\r\n\r\nlast") && is_closing && is_orderly,
            "{text}"
        );
        read_until(&mut busy, "\r\n\r\nslow").await;
        if of_entry {
            for mut connection in [idle, busy] {
                let (text, is_orderly) = read_end(&mut connection).await;
                assert!(text.is_empty() && is_orderly, "{text}");
            }
            until(|| pair.entry.active.get() == 0).await;
        }
    })
    .await;
}

/// A kept connection that was handed over, some time after a stop of its entry began.
struct Stopped {
    pair: Pair,
    endpoint: Endpoint,
    caller: TcpStream,
    begun: Instant,
}

impl Stopped {
    /// The endpoint answers a first request, and then runs `scripts`.
    async fn start(mut scripts: Vec<Vec<Step>>, after_ms: u64) -> Self {
        pace();
        let first = vec![Step::Read, Step::Write(answer("a1", "", "first"))];
        scripts.insert(0, first);
        let (pair, endpoint) = Pair::start(ORDERS, scripts).await;
        for gate in [&pair.entry, &pair.neighbour] {
            let mut catalog = catalog(2);
            for route in &mut catalog.routes {
                Arc::make_mut(route).timeout = Duration::from_secs(30);
            }
            gate.state.borrow_mut().directory.set_catalog(catalog);
        }
        sleep(STEP * 10).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nfirst").await;
        pair.entry.stop.begin(Duration::from_secs(8));
        let entry = pair.entry.clone();
        spawn_local(async move { drain(&entry).await });
        let begun = Instant::now();
        sleep(Duration::from_millis(after_ms)).await;
        Self {
            pair,
            endpoint,
            caller,
            begun,
        }
    }

    /// Sends a request with a time limit, without its last `left` bytes, and reads to the end.
    async fn ask(&mut self, limit_ms: u64, left: usize) -> String {
        let request = request("/book/2", "a2").replacen("5000", &limit_ms.to_string(), 1);
        let sent = &request.as_bytes()[..request.len() - left];
        self.caller.write_all(sent).await.expect("sent");
        let (text, is_orderly) = read_end(&mut self.caller).await;
        assert!(is_orderly, "{text}");
        text
    }
}

/// Requests on a handed-over connection get what those of the entry's own callers get: what may
/// outlast the entry is not begun, and what is open gets a response before the entry has ended.
#[rstest]
#[case::late_and_long(3_500, 20_000, 0, "503", 1)]
#[case::late_and_short(3_500, 400, 0, "200", 2)]
#[case::body_too_slow(1_000, 20_000, 2, "503", 1)]
#[case::open_at_the_end(100, 20_000, 0, "502", 2)]
#[tokio::test(start_paused = true)]
async fn the_stop_of_the_entry_binds_requests_at_the_neighbour(
    #[case] after_ms: u64,
    #[case] limit_ms: u64,
    #[case] left: usize,
    #[case] expected: &str,
    #[case] sent: usize,
) {
    run_local(async {
        let pause = if limit_ms > 1_000 { 9_000 } else { 200 };
        let script = vec![
            Step::Read,
            Step::Pause(pause),
            Step::Write(answer("a2", "", "second")),
        ];
        let mut stopped = Stopped::start(vec![script], after_ms).await;
        let text = stopped.ask(limit_ms, left).await;
        assert_eq!(status(&text), expected, "{text}");
        assert_eq!(stopped.endpoint.count(), sent);
        let elapsed = stopped.begun.elapsed().as_millis();
        assert!(elapsed < 7_500, "{elapsed}");
        until(|| stopped.pair.entry.active.get() == 0).await;
        let state = stopped.pair.neighbour.state.borrow();
        assert_eq!(state.endpoints.get(0).map(|e| e.own.running), Some(0));
    })
    .await;
}

/// The neighbour answers nothing, or nothing more, until the entry has ended.
#[rstest]
#[case::open_at_the_end(vec![Step::Read, Step::AwaitClose], 100, 7_400..7_800)]
#[case::sent_at_the_end(vec![Step::Read, Step::AwaitClose], 7_600, 7_600..7_800)]
#[tokio::test(start_paused = true)]
async fn a_request_that_the_neighbour_does_not_answer_gets_an_answer_at_the_end_of_the_stop(
    #[case] silent: Vec<Step>,
    #[case] after_ms: u64,
    #[case] expected: std::ops::Range<u128>,
) {
    run_local(async {
        pace();
        let mut script = vec![Step::Read, Step::Write(answer("a1", "", "first"))];
        script.extend(silent);
        let (pair, endpoint, _) = Pair::scripted(Some(Ok(())), script).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nfirst").await;
        pair.entry.stop.begin(Duration::from_secs(8));
        let begun = Instant::now();
        let entry = pair.entry.clone();
        spawn_local(async move { drain(&entry).await });
        sleep(Duration::from_millis(after_ms)).await;
        let request = request("/book/2", "a2");
        caller.write_all(request.as_bytes()).await.expect("sent");
        let (text, is_orderly) = read_end(&mut caller).await;
        let elapsed = begun.elapsed().as_millis();
        assert!(expected.contains(&elapsed), "{elapsed}");
        assert!(status(&text) == "502" && is_orderly, "{text}");
        assert_eq!(endpoint.count(), 0);
    })
    .await;
}

/// An entry of an older build, whose heartbeats say that it stops, but not until when.
#[tokio::test(start_paused = true)]
async fn a_stop_without_times_binds_requests_at_the_neighbour() {
    run_local(async {
        let mut stopped = Stopped::start(Vec::new(), 0).await;
        stopped.pair.is_silent.set(true);
        let (one, two) = (stopped.pair.entry.clone(), stopped.pair.neighbour.clone());
        spawn_local(async move {
            loop {
                let blocks: Vec<_> = report_block(&one).into_iter().collect();
                let heartbeat = Message::Heartbeat(one.heartbeat());
                let bytes = extensions::write(&heartbeat, &blocks).expect("a heartbeat");
                let address = peer_address(&one.settings.borrow());
                handle_datagram(&two, address, &bytes);
                send_heartbeat(&two, &one);
                sleep(STEP).await;
            }
        });
        sleep(Duration::from_millis(3_500)).await;
        let text = stopped.ask(20_000, 0).await;
        assert_eq!((status(&text), stopped.endpoint.count()), ("503", 1));
    })
    .await;
}

/// A connection that is taken from a new process is not bound by the stop of the one before.
#[tokio::test]
async fn a_new_process_of_a_stopped_entry_is_not_bound_by_its_stop() {
    run_local(async {
        let first = vec![Step::Read, Step::Write(answer("a1", "", "first"))];
        let second = vec![Step::Read, Step::Write(answer("a2", "", "second"))];
        let (pair, _endpoint) = Pair::start(ORDERS, vec![first, second]).await;
        let mut old = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut old, "\r\n\r\nfirst").await;
        pair.entry.stop.begin(Duration::from_secs(8));
        sleep(STEP * 20).await;
        pair.is_silent.set(true);
        let metrics = GatewayMetrics::new().expect("metrics are defined once");
        let entry = Rc::new(Gate::new(pair.entry.settings.borrow().clone(), metrics, 2));
        entry.state.borrow_mut().directory.set_catalog(catalog(1));
        list(&entry, Vec::new());
        for number in 0..12 {
            let name = format!("other-{number}");
            let address = SocketAddr::new(own_loopback().into(), 9);
            let peers = &mut entry.state.borrow_mut().peers;
            peers.list(name.as_str().into(), address, "south".into(), 0.25);
        }
        send_heartbeat(&pair.neighbour, &entry);
        send_heartbeat(&entry, &pair.neighbour);
        press(&entry);
        let address = listen(&entry).await;
        let mut caller = send(address, &request("/book/2", "a2")).await;
        let text = read_until(&mut caller, "\r\n\r\n").await;
        assert!(!text.to_lowercase().contains("connection: close"), "{text}");
        assert_eq!(count(&pair.neighbour, "taken"), 2);
    })
    .await;
}

#[tokio::test]
async fn nothing_is_offered_to_a_stopping_neighbour() {
    run_local(async {
        let (pair, _endpoint) = Pair::start(ORDERS, Vec::new()).await;
        pair.neighbour.stop.begin(Duration::from_secs(8));
        sleep(STEP * 20).await;
        let mut caller = send(pair.address, &request("/book/2", "a2")).await;
        read_until(&mut caller, "HTTP/1.1 503").await;
        assert_eq!(count(&pair.entry, "no_neighbour"), 1);
    })
    .await;
}

/// Changes one of the instances so that nothing is handed over.
#[rstest]
#[case::entry_is_not_pressed(|p: &Pair| p.entry.handover.balance.borrow_mut().is_pressed = false)]
#[case::entry_stops(|p: &Pair| p.entry.stop.begin(Duration::from_secs(8)))]
#[case::entry_has_few_descriptors(|p: &Pair| p.entry.connections.set(3_000))]
#[case::neighbour_has_few_descriptors(|p: &Pair| p.neighbour.connections.set(1_700))]
#[case::neighbour_is_busy(|p: &Pair| press(&p.neighbour))]
#[case::neighbour_has_an_older_configuration(|p: &Pair| {
    p.entry.state.borrow_mut().directory.set_catalog(catalog(2));
})]
#[case::neighbour_has_a_newer_configuration(|p: &Pair| {
    p.neighbour.state.borrow_mut().directory.set_catalog(catalog(2));
})]
#[case::neighbour_is_in_another_centre(|p: &Pair| {
    p.neighbour.settings.borrow_mut().centre = "south".into();
    // A restart of the entry, which had heard it in its own data centre.
    p.entry.state.borrow_mut().peers = Peers::default();
    send_heartbeat(&p.neighbour, &p.entry);
})]
#[tokio::test]
async fn nothing_is_handed_over(#[case] change: fn(&Pair)) {
    run_local(async {
        let (pair, endpoint) = Pair::start(ORDERS, vec![vec![Step::Read, Step::AwaitClose]]).await;
        change(&pair);
        sleep(STEP * 10).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "HTTP/1.1 503").await;
        assert_eq!(endpoint.count(), 0);
        assert_eq!(count(&pair.neighbour, "taken"), 0);
    })
    .await;
}

#[tokio::test]
async fn a_taken_connection_is_not_handed_on() {
    run_local(async {
        let script = vec![
            Step::Read,
            Step::Write(answer("a1", "", "first")),
            Step::Read,
            Step::Write(answer("a2", "", "second")),
        ];
        let (pair, endpoint) = Pair::start(ORDERS, vec![script]).await;
        let mut caller = send(pair.address, &request("/book/1", "a1")).await;
        read_until(&mut caller, "\r\n\r\nfirst").await;
        press(&pair.neighbour);
        let second = request("/book/2", "a2");
        caller.write_all(second.as_bytes()).await.expect("sent");
        read_until(&mut caller, "\r\n\r\nsecond").await;
        assert_eq!(endpoint.count(), 2);
        assert_eq!(count(&pair.neighbour, "handed_over"), 0);
        assert_eq!(count(&pair.neighbour, "no_neighbour"), 0);
    })
    .await;
}

#[rstest]
#[case::stranger(true)]
#[case::small_fleet(false)]
#[tokio::test]
async fn a_connection_of_no_neighbour_is_closed_unread(#[case] is_large: bool) {
    run_local(async {
        let listener = bind().await;
        let address = listener.local_addr().expect("bound");
        let gate = if is_large {
            instance("two", address, Vec::new())
        } else {
            gate("two", Vec::new())
        };
        let known = IpAddr::from([127, 0, 0, 1]);
        if !is_large {
            let mut state = gate.state.borrow_mut();
            let address = SocketAddr::new(known, 9);
            state
                .peers
                .list("one".into(), address, "north".into(), 0.25);
        }
        spawn_local(accept(gate.clone(), listener));
        let mut stream = connect(address).await;
        let (text, _) = read_end(&mut stream).await;
        assert!(text.is_empty());
        let closed = gate.metrics.handovers.with_label_values(&["closed"]);
        assert_eq!(closed.get(), 1);
    })
    .await;
}

#[tokio::test]
async fn a_neighbour_that_sends_no_offer_is_closed() {
    run_local(async {
        let (pair, _endpoint) = Pair::start(ORDERS, Vec::new()).await;
        let source = pair.entry.settings.borrow().callers.ip();
        let target = peer_address(&pair.neighbour.settings.borrow());
        for bytes in [&b"GET / HTTP/1.1\r\n\r\n"[..], b"\x00\x04abcd", b"\x00"] {
            let socket = tokio::net::TcpSocket::new_v4().expect("a socket");
            socket.bind(SocketAddr::new(source, 0)).expect("bound");
            let mut stream = socket.connect(target).await.expect("accepted");
            stream.write_all(bytes).await.expect("sent");
            let (text, _) = read_end(&mut stream).await;
            assert!(text.is_empty());
        }
        assert_eq!(pair.neighbour.metrics.requests.get(), 0);
    })
    .await;
}
