//! A node: the process of one entry host, with all its components.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::api::listener::{self, Connections, Limits, MAX_CONNECTIONS, Responder};
use crate::api::problem::{Kind, Problem};
use crate::api::{Body, Context};
use crate::error::Error;
use crate::lifecycle::{Control, Event};
use crate::operator_api;
use crate::settings::Settings;
use crate::supervisor::Supervisor;
use components::{Components, Types};

mod background;
mod components;
mod handler;
mod ownership;

/// Timeout for releasing the leases of engines on shutdown.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time allowed on shutdown for appending the outcomes of calls to the log.
const CLAIMS_DRAIN_TIMEOUT: Duration = Duration::from_secs(30);

/// A running node.
pub struct Node {
    components: Components,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    /// Stops the listener for callers.
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    background: Supervisor,
    logger: Logger,
}

/// Runs a node until SIGTERM or SIGINT, or until another process takes over its name. `workers` is the number of
/// threads, 0 for one per core.
///
/// # Errors
///
/// Returns an [`enum@Error`] if the node cannot be started.
pub fn run(settings: Settings, workers: usize, logger: Logger) -> Result<(), Error> {
    let mut runtime = tokio::runtime::Builder::new_multi_thread();
    if workers > 0 {
        runtime.worker_threads(workers);
    }
    let runtime = runtime.enable_all().build().map_err(Error::Runtime)?;
    runtime.block_on(async {
        let mut node = Node::start(settings, logger).await?;
        let ended = tokio::select! {
            () = shutdown_signal()? => Ok(()),
            () = node.superseded() => Ok(()),
            () = node.task_ended() => Err(Error::TaskEnded),
        };
        node.stop().await;
        ended
    })
}

/// Registers handlers for SIGTERM and SIGINT, and returns a future that waits for either.
fn shutdown_signal() -> Result<impl Future<Output = ()>, Error> {
    use tokio::signal::unix::{SignalKind, signal};
    let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
    let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
    Ok(async move {
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
    })
}

impl Node {
    /// Starts a node. It accepts work from callers as soon as a document is in force.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if an address cannot be bound or a counter cannot be registered.
    pub async fn start(settings: Settings, logger: Logger) -> Result<Self, Error> {
        let logger = logger.new(o!("host" => settings.name.to_string()));
        let (caller_listener, caller_address) = bind(settings.caller_address).await?;
        let (operator_listener, operator_address) = bind(settings.operator_address).await?;
        let components = Components::new(settings, &logger)?;
        let mut background = Supervisor::new(components.instruments.clone(), logger.clone());
        components.spawn(&mut background);
        let connections = Connections::new(MAX_CONNECTIONS);
        let operators = operator_api::Handler::new(
            Arc::clone(&components.control),
            components.instruments.clone(),
            components.recorder.clone(),
            connections.clone(),
        );
        let limits = Limits::default();
        background.spawn_once(listener::serve(
            operator_listener,
            operators,
            limits,
            Connections::new(MAX_CONNECTIONS),
            never(),
        ));
        let stop = watch::Sender::new(false);
        let mut callers = JoinSet::new();
        let handler = CallerHandler(Arc::new(components.context()));
        callers.spawn(listener::serve(
            caller_listener,
            handler,
            limits,
            connections,
            stop.subscribe(),
        ));
        info!(logger, "started"; "callers" => caller_address, "operators" => operator_address);
        Ok(Self { components, caller_address, operator_address, stop, callers, background, logger })
    }

    /// The address that callers connect to.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// The address that operators connect to.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// Lifecycle of the node.
    pub fn control(&self) -> &Arc<Control> {
        &self.components.control
    }

    /// Waits until another process has taken over the name of this host.
    fn superseded(&self) -> impl Future<Output = ()> + use<> {
        let mut superseded = self.components.members.superseded();
        async move {
            // Cannot fail: the node owns the sender.
            let _ = superseded.wait_for(|superseded| *superseded).await;
        }
    }

    /// Waits until a listener or a background task has ended, which happens only by a panic.
    async fn task_ended(&mut self) {
        tokio::select! {
            _ = self.callers.join_next() => {}
            () = self.background.ended() => {}
        }
    }

    /// Shuts the node down gracefully: waits for all open streams and calls to end.
    pub async fn stop(mut self) {
        let control = Arc::clone(&self.components.control);
        let phase = control.apply(Event::Terminate);
        info!(self.logger, "leaving"; "phase" => format!("{phase:?}"), "open" => control.open());
        self.components.members.announce_leaving();
        tokio::time::sleep(self.components.settings.drain_delay).await;
        control.apply(Event::DrainDelayElapsed);
        self.stop.send_replace(true);
        control.wait_idle().await;
        while self.callers.join_next().await.is_some() {}
        let drained =
            tokio::time::timeout(CLAIMS_DRAIN_TIMEOUT, self.components.claims.drain()).await;
        let phase = control.apply(Event::Idle);
        info!(self.logger, "stopped"; "phase" => format!("{phase:?}"), "outcomes_kept" => drained.is_ok());
        self.background.shut_down().await;
        self.release_leases().await;
        self.components.members.announce_exit().await;
        self.components.quic.close().await;
    }

    /// Releases the leases of engines, so that other hosts need not wait for them to expire.
    async fn release_leases(&self) {
        let active = self.components.active.borrow().clone();
        let Some(active) = active else { return };
        let desired = background::desired(&self.components.settings.environment, &active);
        let release = self.components.orders.release(&desired);
        // A lease that is not released expires.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
    }
}

/// Handles requests of callers.
#[derive(Clone)]
struct CallerHandler(Arc<Context<Types>>);

impl Responder for CallerHandler {
    type Body = Body;

    async fn respond(&self, request: http::Request<hyper::body::Incoming>) -> http::Response<Body> {
        let mut response = self.0.handle(request).await;
        if self.0.control.phase().is_stopping() {
            listener::request_close(&mut response);
        }
        response
    }

    async fn decline(&self, request: http::Request<hyper::body::Incoming>) -> http::Response<Body> {
        listener::discard(request.into_body());
        Problem::new(Kind::Crowded).to_response()
    }
}

/// Binds `requested` and returns the listener with its actual address, which differs if the requested port is 0.
async fn bind(requested: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let failed = |source| Error::Listen { address: requested, source };
    let listener = listener::bind(requested).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// A stop signal that is never sent.
fn never() -> watch::Receiver<bool> {
    static NEVER: OnceLock<watch::Sender<bool>> = OnceLock::new();
    NEVER.get_or_init(|| watch::Sender::new(false)).subscribe()
}
