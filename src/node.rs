//! A node: all slices of an entry host, wired together.

use std::future::Future;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, OnceLock};
use std::time::Duration;

use slog::{Logger, info, o};
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::task::JoinSet;
use uuid::Uuid;

use crate::api::listener::{self, Answer};
use crate::api::{Body, Context};
use crate::clock::{Monotonic, System};
use crate::config::{Renewal, Watch};
use crate::document::Active;
use crate::error::Error;
use crate::gate::remote::Remote;
use crate::lifecycle::{Control, Event};
use crate::metrics::Instruments;
use crate::operate::Operate;
use crate::peer::Quic;
use crate::settings::Settings;
use crate::{
    backend, claim, engine, hosts, limit, log, member, owner, peer, report, resume, retry,
};
use handler::{Handler, Late};
use owned::Owned;

mod handler;
mod owned;

/// Time between two rounds of upkeep of the claims.
const CLAIMS_INTERVAL: Duration = Duration::from_secs(20);

/// Time at the end in which outcomes of calls may still reach the log.
const CLAIMS_DRAIN_TIME: Duration = Duration::from_secs(30);

/// Age of keys that are accepted before a document says otherwise, in milliseconds.
const CLAIM_WINDOW_MS: u64 = 86_400_000;

type Documents = Watch<log::Http, Quic>;
type Claims = claim::Service<log::Http, Quic, Owned, System>;

/// The parts of a node.
struct Parts;

impl crate::api::Parts for Parts {
    type Gate = Remote<Quic, Owned>;
    type Log = log::Http;
    type Link = Quic;
    type View = Owned;
    type Clock = System;
}

/// A running node.
pub struct Node {
    control: Arc<Control>,
    settings: Settings,
    caller_address: SocketAddr,
    operator_address: SocketAddr,
    members: member::Service,
    claims: Claims,
    quic: Quic,
    stop: watch::Sender<bool>,
    listeners: JoinSet<()>,
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
        let terminated = terminated()?;
        terminated.await;
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
        let callers = bind(settings.caller_address).await?;
        let operators = bind(settings.operator_address).await?;
        let instruments = Instruments::new()?;
        let control = Arc::new(Control::new());
        let incarnation = now_ms();

        let late = Arc::new(Late::default());
        let members = members(&settings, incarnation, &instruments)?;
        let owned = Owned::new(members.view());
        let quic = link(&settings, Handler::new(members.clone(), Arc::clone(&late)))?;
        let log = log::Http::new(settings.log_address);
        let documents = Watch::new(
            settings.environment.clone(),
            log.clone(),
            quic.clone(),
            members.neighbours(),
            instruments.clone(),
            Renewal::default(),
            logger.clone(),
        );
        let active = documents.documents();
        let engines = engine::Client::new();
        let desks = owner::Service::new(active.clone(), engines.clone(), instruments.clone());
        let holder = claim::Holder { host: settings.name.clone(), incarnation };
        let claims: Claims = claim::Service::new(
            holder,
            log,
            quic.clone(),
            owned.clone(),
            System::new(),
            CLAIM_WINDOW_MS,
        );
        for collector in claims.counter().collectors() {
            instruments.registry().register(collector)?;
        }
        let (leaving_sender, leaving) = watch::channel(hosts::Leaving::default());
        let gate = Remote::new(
            settings.name.clone(),
            quic.clone(),
            owned.clone(),
            desks.clone(),
            leaving.clone(),
            instruments.clone(),
        );
        late.fill(documents.clone(), desks.clone(), claims.clone());
        members.start(quic.clone(), settings.hosts_address.map(member::Address::from));

        let context = Arc::new(Context::<Parts> {
            control: Arc::clone(&control),
            active: active.clone(),
            engines,
            key: resume::Key::new(&settings.fleet_key),
            instruments: instruments.clone(),
            open: limit::Open::new(),
            gate: gate.clone(),
            claims: claims.clone(),
            backends: backend::Client::new(),
            servers: Mutex::new(backend::State::new(Uuid::new_v4().as_u64_pair().0)),
            leaving,
            retries: retry::Budget::new(),
            clock: Monotonic::new(),
        });

        let sampler = report::Sampler::new(instruments.clone(), active.clone());
        let mut background = JoinSet::new();
        background.spawn(spread(members.clone(), documents.clone()));
        background.spawn(async move { documents.run().await });
        background.spawn(async move { gate.run().await });
        background.spawn({
            let own = settings.name.clone();
            async move { desks.run(owned, own).await }
        });
        background.spawn(keep_claims(claims.clone(), active.clone()));
        background.spawn(configure(
            Arc::clone(&control),
            members.clone(),
            active,
            instruments.clone(),
        ));
        background.spawn({
            let sampler = sampler.clone();
            async move { sampler.run().await }
        });
        if let Some(address) = settings.hosts_address {
            background.spawn(hosts::follow(address, leaving_sender));
        }

        let (stop, stopped) = watch::channel(false);
        let caller_address = address(&callers, settings.caller_address)?;
        let operator_address = address(&operators, settings.operator_address)?;
        let mut listeners = JoinSet::new();
        listeners.spawn(listener::serve(callers, Callers(context), stopped));
        let operate = Operate::new(Arc::clone(&control), instruments, sampler);
        background.spawn(listener::serve(operators, operate, never()));
        info!(logger, "started"; "callers" => caller_address, "operators" => operator_address);
        Ok(Self {
            control,
            settings,
            caller_address,
            operator_address,
            members,
            claims,
            quic,
            stop,
            listeners,
            background,
            logger,
        })
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
        &self.control
    }

    /// Ends the node gracefully: no open stream or call is cut off.
    pub async fn stop(mut self) {
        let phase = self.control.apply(Event::Terminate);
        info!(self.logger, "leaving"; "phase" => format!("{phase:?}"), "open" => self.control.open());
        self.members.leave();
        tokio::time::sleep(self.settings.drain_delay).await;
        self.control.apply(Event::DelayOver);
        self.stop.send_replace(true);
        self.control.idle().await;
        while self.listeners.join_next().await.is_some() {}
        let drained = tokio::time::timeout(CLAIMS_DRAIN_TIME, self.claims.drain()).await;
        let phase = self.control.apply(Event::Idle);
        info!(self.logger, "stopped"; "phase" => format!("{phase:?}"), "outcomes_kept" => drained.is_ok());
        self.members.depart().await;
        self.background.shutdown().await;
        self.quic.close().await;
    }
}

/// Answers callers.
#[derive(Clone)]
struct Callers(Arc<Context<Parts>>);

impl Answer for Callers {
    async fn answer(&self, request: http::Request<hyper::body::Incoming>) -> http::Response<Body> {
        self.0.handle(request).await
    }
}

async fn bind(address: SocketAddr) -> Result<TcpListener, Error> {
    listener::bind(address).await.map_err(|source| Error::Listen { address, source })
}

fn address(listener: &TcpListener, wanted: SocketAddr) -> Result<SocketAddr, Error> {
    listener.local_addr().map_err(|source| Error::Listen { address: wanted, source })
}

fn link(settings: &Settings, handler: Handler) -> Result<Quic, Error> {
    let key = peer::Key::new(settings.fleet_key);
    let link = peer::Settings::new(settings.name.clone(), settings.peer_address, key);
    Ok(Quic::start(link, handler)?)
}

fn members(
    settings: &Settings,
    incarnation: u64,
    instruments: &Instruments,
) -> Result<member::Service, Error> {
    let member = member::Settings {
        host: settings.name.clone(),
        incarnation,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        address: settings.peer_address,
        seeds: settings.seeds.iter().map(|seed| seed.address).collect(),
        seed: Uuid::new_v4().as_u64_pair().0,
    };
    Ok(member::Service::new(member, instruments.registry())?)
}

/// Tells the documents' watch of hosts that have a newer document.
async fn spread(members: member::Service, documents: Documents) {
    let mut newer = members.newer();
    while newer.changed().await.is_ok() {
        let heard = newer.borrow_and_update().clone();
        if let Some(heard) = heard {
            documents.hear(&heard.host, heard.version);
        }
    }
}

/// Makes the node ready with its first document and tells other hosts of each new version.
async fn configure(
    control: Arc<Control>,
    members: member::Service,
    mut active: watch::Receiver<Option<Arc<Active>>>,
    instruments: Instruments,
) {
    loop {
        let version = active.borrow_and_update().as_ref().map(|active| active.version());
        if let Some(version) = version {
            instruments.document_version.set(version as i64);
            members.set_version(version);
            control.apply(Event::Configured);
        }
        if active.changed().await.is_err() {
            return;
        }
    }
}

async fn keep_claims(claims: Claims, active: watch::Receiver<Option<Arc<Active>>>) {
    let mut ticks = tokio::time::interval(CLAIMS_INTERVAL);
    loop {
        ticks.tick().await;
        let window_s = active.borrow().as_ref().map(|a| a.document().limits.claim_window_s);
        if let Some(window_s) = window_s {
            claims.set_window_ms(window_s.saturating_mul(1_000));
        }
        claims.maintain().await;
    }
}

/// A signal that never comes.
fn never() -> watch::Receiver<bool> {
    static NEVER: OnceLock<watch::Sender<bool>> = OnceLock::new();
    NEVER.get_or_init(|| watch::Sender::new(false)).subscribe()
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}
