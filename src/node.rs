//! A node: all slices of an entry host, wired together.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;

use crate::api::listener::{self, Answer, Limits};
use crate::api::{Body, Context};
use crate::error::Error;
use crate::lifecycle::{Control, Event};
use crate::operate::Operate;
use crate::settings::Settings;
use slices::{Parts, Slices};

mod handler;
mod owned;
mod slices;
mod upkeep;

/// Time at the end for giving leases of engines back.
const RELEASE_TIMEOUT: Duration = Duration::from_secs(2);

/// Time at the end in which outcomes of calls may still reach the log.
const CLAIMS_DRAIN_TIME: Duration = Duration::from_secs(30);

/// A running node.
pub struct Node {
    slices: Slices,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    /// Tells the callers' listener to end.
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    background: JoinSet<()>,
    logger: Logger,
}

/// Runs a node until the platform asks it to end. `workers` is the number of threads, 0 for one a core.
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
        let node = Node::start(settings, logger).await?;
        tokio::select! {
            () = terminated()? => {}
            () = node.superseded() => {}
        }
        node.stop().await;
        Ok(())
    })
}

/// Waits for SIGTERM or SIGINT.
fn terminated() -> Result<impl Future<Output = ()>, Error> {
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
    /// Starts a node. It serves callers as soon as it has a document.
    ///
    /// # Errors
    ///
    /// Returns an [`enum@Error`] if an address cannot be bound or a counter cannot be registered.
    pub async fn start(settings: Settings, logger: Logger) -> Result<Self, Error> {
        let logger = logger.new(o!("host" => settings.name.to_string()));
        let (caller_listener, caller_address) = bind(settings.caller_address).await?;
        let (operator_listener, operator_address) = bind(settings.operator_address).await?;
        let slices = Slices::new(settings, &logger)?;
        let mut background = JoinSet::new();
        slices.spawn(&mut background);
        let operate = Operate::new(
            Arc::clone(&slices.control),
            slices.instruments.clone(),
            slices.sampler.clone(),
        );
        background.spawn(listener::serve(operator_listener, operate, Limits::default(), never()));
        let stop = watch::Sender::new(false);
        let mut callers = JoinSet::new();
        let answer = Callers(Arc::new(slices.context()));
        callers.spawn(listener::serve(
            caller_listener,
            answer,
            Limits::default(),
            stop.subscribe(),
        ));
        info!(logger, "started"; "callers" => caller_address, "operators" => operator_address);
        Ok(Self { slices, caller_address, operator_address, stop, callers, background, logger })
    }

    /// Where callers connect.
    pub fn caller_address(&self) -> SocketAddr {
        self.caller_address
    }

    /// Where operators connect.
    pub fn operator_address(&self) -> SocketAddr {
        self.operator_address
    }

    /// The node's life.
    pub fn control(&self) -> &Arc<Control> {
        &self.slices.control
    }

    /// Waits until another process has taken over this host's name.
    async fn superseded(&self) {
        let mut superseded = self.slices.members.superseded();
        // The sender lives as long as the node.
        let _ = superseded.wait_for(|superseded| *superseded).await;
    }

    /// Ends the node gracefully: no open stream or call is cut off.
    pub async fn stop(mut self) {
        let control = Arc::clone(&self.slices.control);
        let phase = control.apply(Event::Terminate);
        info!(self.logger, "leaving"; "phase" => format!("{phase:?}"), "open" => control.open());
        self.slices.members.announce_leaving();
        tokio::time::sleep(self.slices.settings.drain_delay).await;
        control.apply(Event::DrainDelayElapsed);
        self.stop.send_replace(true);
        control.wait_idle().await;
        while self.callers.join_next().await.is_some() {}
        let drained = tokio::time::timeout(CLAIMS_DRAIN_TIME, self.slices.claims.drain()).await;
        let phase = control.apply(Event::Idle);
        info!(self.logger, "stopped"; "phase" => format!("{phase:?}"), "outcomes_kept" => drained.is_ok());
        self.background.shutdown().await;
        self.release_orders().await;
        self.slices.members.announce_exit().await;
        self.slices.quic.close().await;
    }

    /// Gives leases of engines back, so that another host need not wait for their end.
    async fn release_orders(&self) {
        let in_force = self.slices.active.borrow().clone();
        let Some(in_force) = in_force else { return };
        let document = upkeep::in_force(&self.slices.settings.environment, &in_force);
        let release = self.slices.orders.release(&document);
        // A lease that cannot be given back ends by itself.
        let _ = tokio::time::timeout(RELEASE_TIMEOUT, release).await;
    }
}

/// Answers callers.
#[derive(Clone)]
struct Callers(Arc<Context<Parts>>);

impl Answer for Callers {
    type Body = Body;

    async fn answer(&self, request: http::Request<hyper::body::Incoming>) -> http::Response<Body> {
        self.0.handle(request).await
    }
}

/// Binds `wanted` and tells the address that it got.
async fn bind(wanted: SocketAddr) -> Result<(TcpListener, SocketAddr), Error> {
    let failed = |source| Error::Listen { address: wanted, source };
    let listener = listener::bind(wanted).await.map_err(failed)?;
    let address = listener.local_addr().map_err(failed)?;
    Ok((listener, address))
}

/// A signal that never comes.
fn never() -> watch::Receiver<bool> {
    static NEVER: OnceLock<watch::Sender<bool>> = OnceLock::new();
    NEVER.get_or_init(|| watch::Sender::new(false)).subscribe()
}
