//! UDP datagrams between instances.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep, timeout};

use crate::gateway::exchange::Sender;
use crate::gateway::extensions::{self, Extension};
use crate::gateway::gate::Gate;
use crate::gateway::number::to_f64;
use crate::gateway::peers::Message;

/// Heartbeat interval in a small fleet, which bounds the age of the state behind peers' decisions.
const HEARTBEAT_PERIOD: Duration = Duration::from_millis(40);
/// Longest heartbeat interval; well below the silence after which a peer counts as lost.
const HEARTBEAT_PERIOD_MAX: Duration = Duration::from_millis(500);
/// Datagrams that an instance handles per second from its data centre: some 2% of a small CPU.
const DATAGRAMS_PER_S: f64 = 150.0;
/// Digest interval of a data centre.
pub(crate) const DIGEST_PERIOD: Duration = Duration::from_millis(80);
const MAX_DATAGRAM_BYTES: usize = 60 * 1024;
/// Most datagrams that are handled at once, so that a peer that sends without pause leaves time to
/// everything else.
const MAX_BATCH: usize = 64;

/// Sends heartbeats until the process ends.
pub(crate) async fn send_heartbeats(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    loop {
        let period = heartbeat_period(&gate);
        sleep(HEARTBEAT_PERIOD).await;
        // A timeout is the usual case: there was nothing urgent.
        let _ = timeout(
            period.saturating_sub(HEARTBEAT_PERIOD),
            gate.heartbeat_trigger.notified(),
        )
        .await;
        send_heartbeat(&gate, &socket);
    }
}

/// Time until the next heartbeat. The instances of a data centre share a fixed total rate; busier
/// ones send more often, because their state matters more to others.
pub(crate) fn heartbeat_period(gate: &Gate) -> Duration {
    let centre = gate.settings.borrow().centre.clone();
    let state = gate.state.borrow();
    let targets = state.peers.heartbeat_targets(&centre).len();
    if !state.peers.is_large() || targets == 0 {
        return HEARTBEAT_PERIOD;
    }
    let own = gate.activity.get() + 1.0;
    let all = state.peers.activity(gate.now(), &centre) + own + to_f64(targets);
    let rate = DATAGRAMS_PER_S * own / all;
    Duration::from_secs_f64(1.0 / rate).clamp(HEARTBEAT_PERIOD, HEARTBEAT_PERIOD_MAX)
}

/// A message and its receivers.
#[derive(Debug)]
pub(crate) struct Packet {
    pub(crate) bytes: Vec<u8>,
    pub(crate) addresses: Vec<SocketAddr>,
}

impl Packet {
    fn new(
        message: &Message,
        extensions: &[Extension],
        addresses: Vec<SocketAddr>,
    ) -> Option<Self> {
        match extensions::write(message, extensions) {
            Ok(bytes) => Some(Self { bytes, addresses }),
            Err(error) => {
                tracing::error!(event = "message_unwritten", %error);
                None
            }
        }
    }
}

/// The heartbeat to send now.
pub(crate) fn heartbeat_packet(gate: &Gate) -> Option<Packet> {
    let heartbeat = gate.heartbeat();
    let extensions = gate.heartbeat_extensions();
    let targets = gate
        .state
        .borrow()
        .peers
        .heartbeat_targets(&heartbeat.centre);
    Packet::new(&Message::Heartbeat(heartbeat), &extensions, targets)
}

/// The digest to send now, if this instance is the leader of its data centre in a large fleet.
pub(crate) fn digest_packet(gate: &Gate) -> Option<Packet> {
    if !gate.state.borrow().peers.is_large() || !gate.is_leader() {
        let now = gate.now();
        gate.state
            .borrow_mut()
            .suspicion_updates
            .digests
            .drop_expired(now);
        return None;
    }
    let digest = gate.digest();
    let extensions = gate.digest_extensions();
    let state = gate.state.borrow();
    let targets = state
        .peers
        .digest_targets(gate.now(), &digest.centre, digest.order.1);
    Packet::new(&Message::Digest(digest), &extensions, targets)
}

/// The alarm to send now, if there is any.
pub(crate) fn alarm_packet(gate: &Gate) -> Option<Packet> {
    let news = gate.take_alarms();
    let extensions = gate.alarm_extensions();
    if news.is_empty() && extensions.is_empty() {
        return None;
    }
    let all = gate.state.borrow().peers.addresses();
    Packet::new(&Message::Alarm(news), &extensions, all)
}

/// Handles a datagram. Returns the addresses to which it is forwarded: a new digest of another data
/// centre goes to the instances of this one.
pub(crate) fn handle_datagram(gate: &Gate, address: SocketAddr, bytes: &[u8]) -> Vec<SocketAddr> {
    let (message, extensions) = match extensions::read::<Message>(bytes) {
        Ok(message) => message,
        Err(error) => {
            tracing::warn!(event = "message_unreadable", %address, %error);
            return Vec::new();
        }
    };
    if !message.is_sound() {
        tracing::warn!(event = "message_unreadable", %address, error = "estimate out of range");
        return Vec::new();
    }
    match message {
        Message::Heartbeat(heartbeat) => {
            let sender = Sender::Instance(heartbeat.instance.clone(), heartbeat.centre.clone());
            gate.receive_heartbeat(address, heartbeat);
            gate.receive_extensions(&sender, &extensions);
            Vec::new()
        }
        Message::Digest(digest) => {
            let centre = gate.settings.borrow().centre.clone();
            let mut targets = gate.state.borrow().peers.heartbeat_targets(&centre);
            let is_forwarded = targets.contains(&address);
            let sender = Sender::Centre(digest.centre.clone());
            let is_new = gate.receive_digest(digest);
            if is_new {
                gate.receive_extensions(&sender, &extensions);
            }
            if !is_new || is_forwarded {
                targets.clear();
            }
            targets
        }
        Message::Alarm(news) => {
            gate.receive_alarm(&news);
            if !extensions.is_empty() {
                let state = gate.state.borrow();
                let sender = state.peers.at(address);
                let sender = sender.map(|(name, centre)| (name.clone(), centre.clone()));
                drop(state);
                if let Some((name, centre)) = sender {
                    gate.receive_extensions(&Sender::Instance(name, centre), &extensions);
                }
            }
            Vec::new()
        }
    }
}

/// Sends one heartbeat.
pub(crate) fn send_heartbeat(gate: &Gate, socket: &UdpSocket) {
    if let Some(packet) = heartbeat_packet(gate) {
        send(socket, &packet.bytes, &packet.addresses);
    }
}

/// Sends digests to the other data centres, while this instance leads its own.
pub(crate) async fn send_digests(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    loop {
        sleep(DIGEST_PERIOD).await;
        if let Some(packet) = digest_packet(&gate) {
            send(&socket, &packet.bytes, &packet.addresses);
        }
    }
}

/// Sends alarms to all peers.
pub(crate) async fn send_alarms(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    loop {
        gate.alarm_trigger.notified().await;
        if let Some(packet) = alarm_packet(&gate) {
            send(&socket, &packet.bytes, &packet.addresses);
        }
        sleep(HEARTBEAT_PERIOD).await;
    }
}

fn send(socket: &UdpSocket, bytes: &[u8], addresses: &[SocketAddr]) {
    for address in addresses {
        // No retry: the next message replaces a lost one.
        if let Err(error) = socket.try_send_to(bytes, *address) {
            tracing::debug!(event = "message_unsent", %address, %error);
        }
    }
}

/// Handles messages until the process ends.
pub(crate) async fn receive_messages(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM_BYTES];
    let mut ticks = interval(HEARTBEAT_PERIOD / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        if let Err(error) = socket.readable().await {
            tracing::warn!(event = "beats_unread", %error);
            sleep(HEARTBEAT_PERIOD).await;
            continue;
        }
        let mut has_received = false;
        for _ in 0..MAX_BATCH {
            let Ok((length, address)) = socket.try_recv_from(&mut buffer) else {
                break;
            };
            let bytes = &buffer[..length];
            send(&socket, bytes, &handle_datagram(&gate, address, bytes));
            has_received = true;
        }
        if has_received {
            gate.apply_peer_state();
            gate.serve_queue();
            // Batches heartbeats that arrive close together.
            ticks.tick().await;
        }
    }
}
