//! An entry host on the users' platform: it passes requests on to engines and backend servers.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use slog::{Logger, info, o, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{Signal, SignalKind, signal};
use tokio::sync::{mpsc, watch};
use tokio::task::JoinSet;

use crate::api::listener::{self, Limits};
use crate::clock::boot_ms;
use crate::error::Error;
use crate::freshness::Bounds;
use crate::lifecycle::{Control, Event, Phase};
use crate::metrics::Instruments;
use crate::platform::{self, store};
use belief::Beliefs;
use context::Context;
use handler::Callers;
use operators::{Metrics, Readiness};
use settings::Settings;

mod answer;
mod ask;
mod attempt;
mod belief;
pub mod body;
mod context;
mod exchange;
mod handler;
mod job;
mod migrate;
mod operators;
mod probe;
mod relay;
pub(crate) mod request;
pub mod settings;
mod share;
mod watch_store;

/// Time after SIGTERM in which connections are still accepted. The balancer asks once a second and takes a host out
/// after two misses.
const LEAVE_DELAY: Duration = Duration::from_millis(2_600);

/// Time kept before SIGKILL for closing what is still open.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time between two looks at the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two clean-ups of beliefs that have lapsed.
const UPKEEP_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which an unused connection of a caller is kept. Documents let callers keep them for 15 s; a longer time here
/// means that callers close them and never meet one that is being closed.
const CALLER_IDLE_TIMEOUT: Duration = Duration::from_secs(120);

/// Largest head of a request, in bytes. Documents state 16 KiB; anything up to this is read.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Finds in the store that wait to be told to other hosts. A service has some dozen servers.
const QUEUED_FINDS: usize = 64;

/// Begins and ends of generations that wait to be told to other hosts: a second's worth where all callers come to one host.
const QUEUED_CHANGES: usize = 256;

/// Descriptors kept for connections to engines, the store and operators, as a part of all.
const OUTGOING_PART: u64 = 2;

/// Runs an entry host with the settings file at `path` until the platform asks it to end.
///
/// # Errors
///
/// Returns an [`enum@Error`] if the settings cannot be used or the host cannot be started.
pub fn run(path: &Path, metrics_port: u16, logger: &Logger) -> Result<(), Error> {
    let settings = platform::settings::read(path, metrics_port)?;
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build();
    runtime.map_err(Error::Runtime)?.block_on(async {
        let mut terminate = signal(SignalKind::terminate()).map_err(Error::Runtime)?;
        let mut interrupt = signal(SignalKind::interrupt()).map_err(Error::Runtime)?;
        let hangup = signal(SignalKind::hangup()).map_err(Error::Runtime)?;
        let host = Host::start(settings, logger).await?;
        let file = File { path: path.to_owned(), metrics_port };
        let reload =
            tokio::spawn(reload(file, host.context.settings.clone(), hangup, logger.clone()));
        tokio::select! {
            _ = terminate.recv() => {}
            _ = interrupt.recv() => {}
        }
        reload.abort();
        host.stop().await;
        Ok(())
    })
}

/// A running entry host.
struct Host {
    context: Arc<Context>,
    /// Tells the callers' listener to end.
    stop: watch::Sender<bool>,
    callers: JoinSet<()>,
    background: JoinSet<()>,
    logger: Logger,
}

impl Host {
    async fn start(settings: Settings, logger: &Logger) -> Result<Self, Error> {
        let logger = logger.new(o!("host" => settings.host.to_string()));
        let callers = bind(settings.caller_address).await?;
        let readiness = bind(settings.readiness_address).await?;
        let metrics = bind(settings.metrics_address).await?;
        let peers = settings.peer_address;
        let socket = UdpSocket::bind(peers).await;
        let socket = Arc::new(socket.map_err(|source| Error::Listen { address: peers, source })?);
        let bounds = Bounds::new(settings.bounds.revocation, settings.bounds.configuration);
        let limits = Limits {
            head_timeout: CALLER_IDLE_TIMEOUT,
            head_bytes: MAX_HEAD_BYTES,
            connections: usize::try_from(settings.max_descriptors / OUTGOING_PART).unwrap_or(1),
        };
        let (changes, changed) = mpsc::channel(QUEUED_CHANGES);
        let context = Arc::new(Context::new(
            settings,
            Arc::new(Beliefs::new(bounds)),
            Arc::new(Control::new()),
            Instruments::new()?,
            logger.clone(),
            changes,
        ));
        let mut background = JoinSet::new();
        let answer = Readiness(Arc::clone(&context));
        background.spawn(listener::serve(readiness, answer, Limits::default(), never()));
        let answer = Metrics(Arc::clone(&context));
        background.spawn(listener::serve(metrics, answer, Limits::default(), never()));
        let (finds, found) = mpsc::channel(QUEUED_FINDS);
        follow_store(&context, finds, &mut background);
        let urgent = share::Urgent { found, changed };
        background.spawn(share::tell(Arc::clone(&context), Arc::clone(&socket), urgent));
        background.spawn(ask::ask(Arc::clone(&context), Arc::clone(&socket)));
        background.spawn(share::hear(Arc::clone(&context), socket));
        background.spawn(probe::watch_engines(Arc::clone(&context)));
        background.spawn(upkeep(Arc::clone(&context)));
        let stop = watch::Sender::new(false);
        let answer = Callers(Arc::clone(&context));
        let mut serving = JoinSet::new();
        serving.spawn(listener::serve(callers, answer, limits, stop.subscribe()));
        info!(logger, "started"; "callers" => context.settings.caller_address,
            "domain" => context.settings.domain.as_str());
        Ok(Self { context, stop, callers: serving, background, logger })
    }

    /// Ends the host: no new callers once the balancer knows, and open requests for as long as the platform allows.
    async fn stop(mut self) {
        let control = &self.context.control;
        let started_ms = boot_ms();
        control.apply(Event::Terminate);
        info!(self.logger, "leaving"; "open" => control.open());
        tokio::time::sleep(LEAVE_DELAY).await;
        control.apply(Event::DrainDelayElapsed);
        self.stop.send_replace(true);
        let allowed = self.context.settings.bounds.shutdown.saturating_sub(STOP_MARGIN);
        let drained = async {
            control.wait_idle().await;
            while self.callers.join_next().await.is_some() {}
        };
        let whole = tokio::time::timeout(context::time_left(started_ms, allowed), drained).await;
        control.apply(Event::Idle);
        info!(self.logger, "stopped"; "open" => control.open(), "whole" => whole.is_ok());
        self.background.shutdown().await;
    }
}

fn follow_store(
    context: &Arc<Context>,
    finds: mpsc::Sender<share::Message>,
    background: &mut JoinSet<()>,
) {
    let client = store::Client::new(context.settings.store_address);
    let logger = || context.logger.clone();
    let documents = watch_store::Documents { context: Arc::clone(context), found: finds.clone() };
    let servers = watch_store::Servers { context: Arc::clone(context), found: finds };
    let hosts = watch_store::Hosts { beliefs: Arc::clone(&context.beliefs), logger: logger() };
    background.spawn(watch_store::follow(client.clone(), documents));
    background.spawn(watch_store::follow(client.clone(), servers));
    background.spawn(watch_store::follow(client.clone(), hosts));
    let host = context.settings.host.clone();
    let address = context.settings.peer_address;
    background.spawn(watch_store::announce(client, host, address, logger()));
}

/// Forgets what has lapsed and declares the host ready once it knows what it needs.
async fn upkeep(context: Arc<Context>) {
    loop {
        let starting = context.control.phase() == Phase::Starting;
        if starting && context.beliefs.complete() {
            context.control.apply(Event::Configured);
            info!(context.logger, "ready");
        }
        context.ledger().expire(boot_ms());
        tokio::time::sleep(UPKEEP_INTERVAL).await;
    }
}

/// The settings file and what is added to it.
struct File {
    path: PathBuf,
    metrics_port: u16,
}

/// Logs changes of the settings file. Addresses are fixed for the life of a process, and the bounds in it belong to
/// the deployment, so a change needs no action on requests.
async fn reload(file: File, mut settings: Settings, mut hangup: Signal, logger: Logger) {
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        match platform::settings::read(&file.path, file.metrics_port) {
            Ok(read) if read != settings => {
                info!(logger, "settings reloaded"; "signalled" => signalled);
                settings = read;
            }
            Ok(_) if signalled => info!(logger, "settings reloaded"; "changed" => false),
            Ok(_) => {}
            Err(error) => warn!(logger, "settings not reloaded"; "error" => error.to_string()),
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    listener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// A signal that never comes.
fn never() -> watch::Receiver<bool> {
    static NEVER: OnceLock<watch::Sender<bool>> = OnceLock::new();
    NEVER.get_or_init(|| watch::Sender::new(false)).subscribe()
}
