//! Beats between instances, as datagrams.

use std::rc::Rc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::{MissedTickBehavior, interval, sleep};

use crate::gateway::gate::Gate;
use crate::gateway::peers::Beat;

/// Time between two beats in a small fleet: what decisions of peers are based on is this old.
const BEAT_PERIOD: Duration = Duration::from_millis(40);
/// Time between two beats for each peer in a larger fleet, which bounds the datagrams of an
/// instance to 150 a second each way.
const PEER_TIME: Duration = Duration::from_micros(6_600);
/// Largest datagram, in bytes.
const DATAGRAM_BYTES: usize = 60 * 1024;

/// Sends beats until the process ends.
pub(crate) async fn send_beats(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    loop {
        let peers = gate.state.borrow().peers.count() - 1;
        let peers = u32::try_from(peers).unwrap_or(u32::MAX);
        sleep(BEAT_PERIOD.max(PEER_TIME * peers)).await;
        send_beat(&gate, &socket);
    }
}

/// Sends one beat to all peers.
pub(crate) fn send_beat(gate: &Gate, socket: &UdpSocket) {
    let beat = gate.beat();
    let bytes = match postcard::to_stdvec(&beat) {
        Ok(bytes) => bytes,
        Err(error) => {
            tracing::error!(event = "beat_unwritten", %error);
            return;
        }
    };
    let addresses: Vec<_> = gate.state.borrow().peers.addresses().collect();
    for address in addresses {
        // The next beat replaces one that is lost.
        if let Err(error) = socket.try_send_to(&bytes, address) {
            tracing::debug!(event = "beat_unsent", %address, %error);
        }
    }
}

/// Takes in beats until the process ends.
pub(crate) async fn hear_beats(gate: Rc<Gate>, socket: Rc<UdpSocket>) {
    let mut buffer = vec![0; DATAGRAM_BYTES];
    let mut ticks = interval(BEAT_PERIOD / 2);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        if let Err(error) = socket.readable().await {
            tracing::warn!(event = "beats_unread", %error);
            sleep(BEAT_PERIOD).await;
            continue;
        }
        let mut is_any = false;
        while let Ok((length, address)) = socket.try_recv_from(&mut buffer) {
            match postcard::from_bytes::<Beat>(&buffer[..length]) {
                Ok(beat) => {
                    gate.hear(address, beat);
                    is_any = true;
                }
                Err(error) => tracing::warn!(event = "beat_unreadable", %address, %error),
            }
        }
        if is_any {
            gate.count_peers();
            gate.serve_queue();
            // Beats that come close together are taken in at once.
            ticks.tick().await;
        }
    }
}
