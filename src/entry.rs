//! An entry host on the users' platform: it forwards requests to engines and backend servers.
//!
//! The command `nutmeghead entry` calls [`run`], which starts the listeners and background tasks and shuts them down. A
//! request is admitted in `handler`, its attempts are made in `attempt`, each of them in `exchange`, and a stream of
//! events is forwarded in `relay`.

use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::sync::{Arc, OnceLock};
use std::time::Duration;

use slog::{Logger, info, o, warn};
use tokio::net::{TcpListener, UdpSocket};
use tokio::signal::unix::{SignalKind, signal};
use tokio::sync::{Mutex, mpsc, watch};
use tokio::task::JoinSet;

use crate::api::listener::{self, Connections, Limits, Responder};
use crate::clock::boot_ms;
use crate::error::Error;
use crate::freshness;
use crate::lifecycle::{Control, Event, Phase};
use crate::metrics::Instruments;
use crate::platform::{self, store};
use crate::supervisor::Supervisor;
use cache::Cache;
use context::Context;
use handler::Handler;
use settings::Settings;
use status::{Metrics, Readiness};

mod attempt;
pub mod body;
mod broadcast;
mod cache;
mod cold_start;
mod context;
mod crash;
mod error_response;
mod evacuations;
mod exchange;
mod facts;
mod forward;
mod freshness_query;
mod full_server;
mod handler;
mod hedge;
mod homes;
mod host_list;
mod job;
mod links;
mod memory;
mod migrate;
mod origins;
mod place;
mod probe;
mod queue;
mod receive;
mod relay;
mod relocate;
pub(crate) mod request;
mod server_limit;
mod server_speeds;
pub mod settings;
mod status;
mod suspects;
mod transfers;
mod watch_store;

/// Time after SIGTERM during which connections are still accepted. The load balancer checks readiness once a second and
/// removes a host after two failed checks.
const DRAIN_DELAY: Duration = Duration::from_millis(2_600);

/// Time reserved before SIGKILL for closing connections that are still open.
const STOP_MARGIN: Duration = Duration::from_millis(300);

/// Time before the connections are closed at which requests that are still open end, so that their callers get a response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(200);

/// Time between two reads of the settings file, which may change without a signal.
const SETTINGS_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two removals of expired load reports, and between two checks whether the host is ready.
const MAINTENANCE_INTERVAL: Duration = Duration::from_millis(100);

/// Unsent bytes of one connection that the system buffers, if the host's memory is limited: they count toward that memory, and
/// the progress of a slow caller is seen only once a part of them is sent.
const MAX_UNSENT_BYTES: u32 = 16 << 10;

/// Time after which the system closes the connection of a caller that reads nothing, if the host's memory is limited. Callers
/// that read slowly may pause for longer than the 8 s after which peers count as gone otherwise.
const READER_TIMEOUT: Duration = Duration::from_secs(15);

/// Size limit of a request's head. Documents state 16 KiB; larger heads are accepted up to this size.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Notices of changes in the store that may be queued for the other hosts. Each is for all changes of one read.
const MAX_QUEUED_STORE_CHANGES: usize = 64;

/// Starts and ends of generations that may be queued for the other hosts: those of one second if all callers use one
/// host.
const MAX_QUEUED_LOAD_CHANGES: usize = 256;

/// Messages of requests that may be queued for other hosts: more than a host hands over when it shuts down.
const MAX_QUEUED_MESSAGES: usize = 4_096;

/// Other hosts that are asked to serve a request which this host cannot serve: with most of nine hosts cut off, all others.
pub(crate) const MAX_ASKED_HOSTS: usize = 8;

/// Shares of the file descriptors of the process, in sixteenths, for connections of callers and for those on which other hosts
/// forward requests. As many are left for connections to servers on behalf of them, and two for everything else.
const CALLER_DESCRIPTORS: u64 = 6;
const HOST_DESCRIPTORS: u64 = 1;
const DESCRIPTOR_SHARES: u64 = 16;

/// Connections of the load balancer, and of operators who read metrics.
const MAX_STATUS_CONNECTIONS: usize = 32;

/// Runs an entry host with the settings file at `path` until it receives SIGTERM or SIGINT.
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
        // Registered before the task that uses it starts, as the signal ends the process otherwise.
        let _hangup = signal(SignalKind::hangup()).map_err(Error::Runtime)?;
        let mut host = Host::start(settings, logger).await?;
        let file = Arc::new(SettingsFile { path: path.to_owned(), metrics_port });
        let settings = host.context.settings.clone();
        let log = logger.clone();
        host.background.spawn("settings", move || {
            log_settings_changes(Arc::clone(&file), settings.clone(), log.clone())
        });
        let ended = tokio::select! {
            _ = terminate.recv() => Ok(()),
            _ = interrupt.recv() => Ok(()),
            () = host.task_ended() => Err(Error::TaskEnded),
        };
        host.stop().await;
        ended
    })
}

/// A running entry host.
struct Host {
    context: Arc<Context>,
    /// Set to `true` to stop the callers' listener.
    stop_listener: watch::Sender<bool>,
    serving: JoinSet<()>,
    background: Supervisor,
    logger: Logger,
}

impl Host {
    async fn start(settings: Settings, logger: &Logger) -> Result<Self, Error> {
        let logger = logger.new(o!("host" => settings.host.to_string()));
        let callers = bind(settings.caller_address).await?;
        let readiness = bind(settings.readiness_address).await?;
        let metrics = bind(settings.metrics_address).await?;
        let hosts = bind(settings.peer_address).await?;
        let address = settings.peer_address;
        let socket = UdpSocket::bind(address).await;
        let socket = Arc::new(socket.map_err(|source| Error::Listen { address, source })?);
        let bounds =
            freshness::Bounds::new(settings.bounds.revocation, settings.bounds.configuration);
        let limits = Limits {
            max_head_bytes: MAX_HEAD_BYTES,
            max_unsent_bytes: settings.memory_bytes.map(|_| MAX_UNSENT_BYTES),
            unacknowledged_timeout: match settings.memory_bytes {
                Some(_) => READER_TIMEOUT,
                None => Limits::default().unacknowledged_timeout,
            },
        };
        let caller_connections = connections(&settings, CALLER_DESCRIPTORS);
        let host_connections = connections(&settings, HOST_DESCRIPTORS);
        let (load_sender, load_changes) = mpsc::channel(MAX_QUEUED_LOAD_CHANGES);
        let (outbox, messages) = mpsc::channel(MAX_QUEUED_MESSAGES);
        let context = Arc::new(Context::new(
            settings,
            Arc::new(Cache::new(bounds)),
            Arc::new(Control::new()),
            Instruments::new()?,
            logger.clone(),
            load_sender,
            outbox,
        ));
        let mut background = Supervisor::new(context.instruments.clone(), logger.clone());
        let callers_of_readiness = caller_connections.clone();
        let handler = Readiness { context: Arc::clone(&context), callers: callers_of_readiness };
        background.spawn_once(serve_status(readiness, handler));
        background.spawn_once(serve_status(metrics, Metrics(Arc::clone(&context))));
        let (notices, store_changes) = mpsc::channel(MAX_QUEUED_STORE_CHANGES);
        spawn_store_tasks(&context, &notices, &mut background);
        let updates = broadcast::Updates { store_changes, load_changes, messages };
        spawn_message_tasks(&context, &socket, updates, &notices, &mut background);
        let shared = Arc::clone(&context);
        background.spawn("probe", move || probe::run(Arc::clone(&shared)));
        let shared = Arc::clone(&context);
        background.spawn("links", move || links::run(Arc::clone(&shared)));
        let shared = Arc::clone(&context);
        background.spawn("server_speeds", move || server_speeds::run(Arc::clone(&shared)));
        let shared = Arc::clone(&context);
        background.spawn("homes", move || homes::run(Arc::clone(&shared)));
        let (shared, connections) = (Arc::clone(&context), caller_connections.clone());
        background.spawn("maintenance", move || maintain(Arc::clone(&shared), connections.clone()));
        let stop_listener = watch::Sender::new(false);
        let mut serving = JoinSet::new();
        let handler = Handler::new(Arc::clone(&context));
        let stop = stop_listener.subscribe();
        serving.spawn(listener::serve(callers, handler, limits, caller_connections, stop));
        let handler = Handler::for_hosts(Arc::clone(&context));
        let stop = stop_listener.subscribe();
        serving.spawn(listener::serve(hosts, handler, limits, host_connections, stop));
        info!(logger, "started"; "callers" => context.settings.caller_address,
            "domain" => context.settings.domain.as_str());
        Ok(Self { context, stop_listener, serving, background, logger })
    }

    /// Waits until a listener or a background task has ended, which happens only by a panic.
    async fn task_ended(&mut self) {
        tokio::select! {
            _ = self.serving.join_next() => {}
            () = self.background.ended() => {}
        }
    }

    /// Shuts the host down: accepts callers until the load balancer has removed it, then waits for open requests for as
    /// long as the platform allows.
    async fn stop(mut self) {
        let control = &self.context.control;
        let started_ms = boot_ms();
        let allowed = self.context.settings.bounds.shutdown.saturating_sub(STOP_MARGIN);
        let response_time = allowed.saturating_sub(RESPONSE_MARGIN);
        control.set_end(started_ms + response_time.as_millis() as u64);
        control.apply(Event::Terminate);
        info!(self.logger, "shutting down"; "open" => control.open());
        origins::hand_over(&self.context);
        tokio::time::sleep(DRAIN_DELAY).await;
        control.apply(Event::DrainDelayElapsed);
        self.stop_listener.send_replace(true);
        let drained = async {
            control.wait_idle().await;
            while self.serving.join_next().await.is_some() {}
        };
        let finished =
            tokio::time::timeout(context::remaining_time(started_ms, allowed), drained).await;
        control.apply(Event::Idle);
        info!(self.logger, "stopped"; "open" => control.open(), "whole" => finished.is_ok());
        self.background.shut_down().await;
    }
}

/// Spawns the tasks that exchange messages with the other entry hosts.
fn spawn_message_tasks(
    context: &Arc<Context>,
    socket: &Arc<UdpSocket>,
    updates: broadcast::Updates,
    notices: &mpsc::Sender<broadcast::Notice>,
    background: &mut Supervisor,
) {
    let (shared, shared_socket) = (Arc::clone(context), Arc::clone(socket));
    let updates = Arc::new(Mutex::new(updates));
    background.spawn("broadcast", move || {
        let (context, socket) = (Arc::clone(&shared), Arc::clone(&shared_socket));
        let updates = Arc::clone(&updates);
        async move { broadcast::run(context, socket, &mut *updates.lock().await).await }
    });
    let (shared, shared_socket) = (Arc::clone(context), Arc::clone(socket));
    background.spawn("freshness_query", move || {
        freshness_query::run(Arc::clone(&shared), Arc::clone(&shared_socket))
    });
    let (shared, shared_socket) = (Arc::clone(context), Arc::clone(socket));
    let notices = notices.clone();
    background.spawn("receive", move || {
        broadcast::receive(Arc::clone(&shared), Arc::clone(&shared_socket), notices.clone())
    });
}

/// Spawns the tasks that follow the topics of the store, and the one that announces this host.
fn spawn_store_tasks(
    context: &Arc<Context>,
    notices: &mpsc::Sender<broadcast::Notice>,
    background: &mut Supervisor,
) {
    let client = store::Client::new(context.settings.store_address);
    let (shared, store, sender) = (Arc::clone(context), client.clone(), notices.clone());
    background.spawn("documents", move || {
        let context = Arc::clone(&shared);
        let documents = watch_store::Documents::new(context, sender.clone());
        watch_store::follow(store.clone(), documents)
    });
    let (shared, store, sender) = (Arc::clone(context), client.clone(), notices.clone());
    background.spawn("servers", move || {
        let context = Arc::clone(&shared);
        let servers = watch_store::Servers { context, notices: sender.clone() };
        watch_store::follow(store.clone(), servers)
    });
    let (announced_sender, announced) = watch::channel(false);
    let (shared, store) = (Arc::clone(context), client.clone());
    background.spawn("hosts", move || {
        let hosts = host_list::Hosts { context: Arc::clone(&shared) };
        host_list::follow_hosts(store.clone(), hosts, announced.clone())
    });
    let shared = Arc::clone(context);
    background.spawn("announcement", move || {
        let (host, address) = (shared.settings.host.clone(), shared.settings.peer_address);
        let (client, logger) = (client.clone(), shared.logger.clone());
        host_list::announce_host(client, host, address, logger, announced_sender.clone())
    });
}

/// Connections that may use `share` sixteenths of the file descriptors of the process.
fn connections(settings: &Settings, share: u64) -> Connections {
    let descriptors = settings.max_descriptors / DESCRIPTOR_SHARES * share;
    Connections::new(usize::try_from(descriptors).unwrap_or(usize::MAX).max(1))
}

/// Serves the load balancer or operators.
async fn serve_status(listener: TcpListener, responder: impl Responder) {
    let connections = Connections::new(MAX_STATUS_CONNECTIONS);
    listener::serve(listener, responder, Limits::default(), connections, never()).await;
}

/// Removes expired load reports and failure scores, and makes the host ready once the document and the servers are
/// known. Logs when `callers`, the connections of callers, fill the host.
async fn maintain(context: Arc<Context>, callers: Connections) {
    let (mut was_full, mut evicted) = (false, 0);
    loop {
        let is_full = callers.is_full();
        if std::mem::replace(&mut was_full, is_full) != is_full {
            info!(context.logger, "connections of callers"; "full" => is_full);
        }
        let total = callers.evicted();
        let closed = total - std::mem::replace(&mut evicted, total);
        (0..closed).for_each(|_| context.instruments.count_action("connection_evicted"));
        let starting = context.control.phase() == Phase::Starting;
        if starting && context.cache.is_complete() {
            context.control.apply(Event::Configured);
            info!(context.logger, "ready");
        }
        context.tracker().expire(boot_ms());
        context.quarantine().expire(boot_ms());
        evacuations::expire(&context);
        tokio::time::sleep(MAINTENANCE_INTERVAL).await;
    }
}

/// The settings file, and the metrics port, which is an option of the command.
struct SettingsFile {
    path: PathBuf,
    metrics_port: u16,
}

/// Logs changes of the settings file. They apply only after a restart: addresses are fixed while the process runs, and
/// the bounds belong to the deployment.
async fn log_settings_changes(file: Arc<SettingsFile>, mut settings: Settings, logger: Logger) {
    let Ok(mut hangup) = signal(SignalKind::hangup()) else { return };
    loop {
        let signalled = tokio::select! {
            _ = hangup.recv() => true,
            () = tokio::time::sleep(SETTINGS_INTERVAL) => false,
        };
        match platform::settings::read(&file.path, file.metrics_port) {
            Ok(new) if new != settings => {
                info!(logger, "settings file changed, restart to apply"; "signalled" => signalled);
                settings = new;
            }
            Ok(_) if signalled => info!(logger, "settings file unchanged"; "changed" => false),
            Ok(_) => {}
            Err(error) => warn!(logger, "settings file not usable"; "error" => error.to_string()),
        }
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    listener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

/// A stop signal that is never sent.
fn never() -> watch::Receiver<bool> {
    static NEVER: OnceLock<watch::Sender<bool>> = OnceLock::new();
    NEVER.get_or_init(|| watch::Sender::new(false)).subscribe()
}
