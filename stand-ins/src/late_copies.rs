//! A proxy in front of an endpoint that harms connections: it writes answers a second time, late,
//! and stops forwarding answers on open connections.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

/// Most bytes forwarded at once.
const BUFFER_BYTES: usize = 16 * 1024;

/// Faults of a proxy, switchable while it runs.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct ProxyFaults {
    /// An answer is written again as the next request on its connection arrives.
    pub before_next: bool,
    /// An answer is written again behind the first bytes of the next answer on its connection.
    pub within_next: bool,
    /// Connections that are open now forward no answers any more; later ones do.
    pub silent: bool,
}

#[derive(Debug, Default)]
struct State {
    faults: ProxyFaults,
    /// Connections with a lower number are silent.
    silent_below: u64,
    connections: u64,
}

/// A proxy in front of one endpoint.
#[derive(Debug)]
pub struct LateCopies {
    address: SocketAddr,
    state: Arc<Mutex<State>>,
    task: JoinHandle<()>,
}

impl LateCopies {
    /// Starts a proxy before `endpoint` on a free port, in the current runtime.
    ///
    /// # Errors
    ///
    /// If no listener can be bound.
    pub async fn start(endpoint: SocketAddr) -> std::io::Result<Self> {
        let listener = TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).await?;
        let address = listener.local_addr()?;
        let state: Arc<Mutex<State>> = Arc::default();
        let task = tokio::spawn(accept(listener, endpoint, state.clone()));
        Ok(Self {
            address,
            state,
            task,
        })
    }

    /// Where it listens.
    #[must_use]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Replaces the faults in force.
    pub fn set_faults(&self, faults: ProxyFaults) {
        let mut state = lock(&self.state);
        state.faults = faults;
        if faults.silent {
            state.silent_below = state.connections;
        }
    }
}

impl Drop for LateCopies {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, endpoint: SocketAddr, state: Arc<Mutex<State>>) {
    loop {
        let Ok((caller, _)) = listener.accept().await else {
            return;
        };
        let number = {
            let mut state = lock(&state);
            state.connections += 1;
            state.connections - 1
        };
        tokio::spawn(forward(caller, endpoint, number, state.clone()));
    }
}

/// Forwards between a caller and the endpoint until either side ends.
async fn forward(
    mut caller: TcpStream,
    endpoint: SocketAddr,
    number: u64,
    state: Arc<Mutex<State>>,
) {
    let Ok(mut endpoint) = TcpStream::connect(endpoint).await else {
        // A listener that is down refuses the connection; a proxy can only reset it.
        reset(&caller);
        return;
    };
    let (mut request, mut answer) = (vec![0; BUFFER_BYTES], vec![0; BUFFER_BYTES]);
    let (mut previous, mut running) = (Vec::new(), Vec::new());
    let mut is_copied = false;
    loop {
        let forwarded = tokio::select! {
            read = caller.read(&mut request) => match read {
                Ok(count) if count > 0 => {
                    if !running.is_empty() {
                        previous = std::mem::take(&mut running);
                        is_copied = false;
                        if lock(&state).faults.before_next && caller.write_all(&previous).await.is_err() {
                            return;
                        }
                    }
                    endpoint.write_all(&request[..count]).await
                }
                _ => return,
            },
            read = endpoint.read(&mut answer) => match read {
                Ok(count) if count > 0 => {
                    let faults = lock(&state).faults;
                    if number < lock(&state).silent_below {
                        continue;
                    }
                    running.extend_from_slice(&answer[..count]);
                    let sent = caller.write_all(&answer[..count]).await;
                    if faults.within_next && !is_copied && !previous.is_empty() {
                        is_copied = true;
                        caller.write_all(&previous).await
                    } else {
                        sent
                    }
                }
                Ok(_) => return,
                Err(_) => {
                    reset(&caller);
                    return;
                }
            },
        };
        if forwarded.is_err() {
            return;
        }
    }
}

/// Makes the close of a connection reset it.
fn reset(stream: &TcpStream) {
    if let Err(error) = stream.set_zero_linger() {
        tracing::error!(%error, "a connection is closed in order instead of being reset");
    }
}

fn lock(state: &Mutex<State>) -> MutexGuard<'_, State> {
    state.lock().unwrap_or_else(PoisonError::into_inner)
}
