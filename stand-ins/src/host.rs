//! Listener and runtime of one fake.
//!
//! A fake runs on a runtime of its own. Killing the runtime closes all its connections in the
//! middle of whatever they do, while the port stays bound and the next runtime takes new ones.

use std::io;
use std::net::{SocketAddr, TcpListener};
use std::sync::{Mutex, PoisonError};

use snafu::{ResultExt, Snafu};
use tokio::runtime::{Builder, Runtime};
use tracing::info;
use warp::Filter;
use warp::filters::BoxedFilter;
use warp::reply::Response;

/// Error of starting a fake.
#[derive(Debug, Snafu)]
pub enum StartError {
    /// The listener could not be set up.
    #[snafu(display("cannot listen at {listen}"))]
    Listen {
        /// Where to listen.
        listen: SocketAddr,
        /// Error of the system.
        source: io::Error,
    },
    /// The runtime could not be set up.
    #[snafu(display("cannot start a thread"))]
    Thread {
        /// Error of the system.
        source: io::Error,
    },
}

#[derive(Debug)]
pub(crate) struct Host {
    address: SocketAddr,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    listener: Option<TcpListener>,
    runtime: Option<Runtime>,
}

impl Host {
    pub(crate) fn bind(listen: SocketAddr) -> Result<Self, StartError> {
        let listener = bind(listen)?;
        let address = listener.local_addr().context(ListenSnafu { listen })?;
        Ok(Self {
            address,
            state: Mutex::new(State {
                listener: Some(listener),
                runtime: None,
            }),
        })
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.address
    }

    /// Closes all connections and serves `filter` on a new runtime, beside `task`.
    ///
    /// Does nothing after [`Host::stop`].
    pub(crate) fn serve<T>(
        &self,
        filter: BoxedFilter<(Response,)>,
        task: T,
    ) -> Result<(), StartError>
    where
        T: Future<Output = ()> + Send + 'static,
    {
        let mut state = self.lock();
        if let Some(runtime) = state.runtime.take() {
            runtime.shutdown_background();
        }
        let Some(listener) = &state.listener else {
            return Ok(());
        };
        let listen = self.address;
        let listener = listener.try_clone().context(ListenSnafu { listen })?;
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .thread_name("stand-in")
            .build()
            .context(ThreadSnafu)?;
        let entered = runtime.enter();
        let listener =
            tokio::net::TcpListener::from_std(listener).context(ListenSnafu { listen })?;
        drop(entered);
        runtime.spawn(warp::serve(filter).incoming(listener).run());
        runtime.spawn(task);
        state.runtime = Some(runtime);
        Ok(())
    }

    /// Listens again at the same address after [`Host::stop`].
    pub(crate) fn listen(&self) -> Result<(), StartError> {
        self.lock().listener = Some(bind(self.address)?);
        Ok(())
    }

    /// Closes the listener and all connections, until [`Host::listen`].
    pub(crate) fn stop(&self) {
        let mut state = self.lock();
        if state.listener.take().is_some() {
            info!(address = %self.address, "stopped");
        }
        if let Some(runtime) = state.runtime.take() {
            runtime.shutdown_background();
        }
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn bind(listen: SocketAddr) -> Result<TcpListener, StartError> {
    let listener = TcpListener::bind(listen).context(ListenSnafu { listen })?;
    listener
        .set_nonblocking(true)
        .context(ListenSnafu { listen })?;
    Ok(listener)
}

impl Drop for Host {
    fn drop(&mut self) {
        self.stop();
    }
}

/// Boxes a filter for [`Host::serve`].
pub(crate) fn boxed<F>(filter: F) -> BoxedFilter<(Response,)>
where
    F: Filter<Extract = (Response,), Error = warp::Rejection> + Send + Sync + 'static,
{
    filter.boxed()
}
