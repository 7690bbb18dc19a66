//! The components of a node and their dependencies.

use std::sync::{Arc, Mutex};

use slog::Logger;
use tokio::sync::watch;
use uuid::Uuid;

use super::background;
use super::handler::{Handler, Services};
use super::ownership::Ownership;
use crate::api::Context;
use crate::clock::{Monotonic, System};
use crate::config::{Renewal, Watch};
use crate::document::Active;
use crate::error::Error;
use crate::lifecycle::Control;
use crate::metrics::Instruments;
use crate::peer::Quic;
use crate::permits::remote::Remote;
use crate::settings::Settings;
use crate::supervisor::Supervisor;
use crate::{
    backend, claim, engine, hosts, limit, log, member, order, owner, peer, quarantine, report,
    resume, retry,
};

/// Maximum age of idempotency keys until a document is in force, in milliseconds.
const DEFAULT_CLAIM_WINDOW_MS: u64 = 86_400_000;

pub(super) type Documents = Watch<log::Http, Quic>;
pub(super) type Claims = claim::Service<log::Http, Quic, Ownership, System>;
pub(super) type Quarantine = quarantine::Service<Quic>;
pub(super) type Orders = order::Service<log::Http, order::Http, Ownership, System>;

/// The concrete types that a node uses to handle requests.
pub(super) struct Types;

impl crate::api::Components for Types {
    type Issuer = Remote<Quic, Ownership>;
    type Log = log::Http;
    type Link = Quic;
    type Ownership = Ownership;
    type Clock = System;
}

/// The components of a node.
pub(super) struct Components {
    pub(super) settings: Settings,
    pub(super) control: Arc<Control>,
    pub(super) instruments: Instruments,
    pub(super) members: member::Service,
    pub(super) quic: Quic,
    pub(super) active: watch::Receiver<Option<Arc<Active>>>,
    pub(super) claims: Claims,
    pub(super) orders: Orders,
    pub(super) recorder: report::Recorder,
    ownership: Ownership,
    documents: Documents,
    engines: engine::Client,
    owner: owner::Service,
    issuer: Remote<Quic, Ownership>,
    quarantine: Quarantine,
    leaving: watch::Sender<hosts::Leaving>,
}

impl Components {
    /// Creates the components. The QUIC endpoint starts here, so other entry hosts can connect from now on.
    pub(super) fn new(settings: Settings, logger: &Logger) -> Result<Self, Error> {
        let instruments = Instruments::new()?;
        let incarnation = now_ms();
        let holder = claim::Holder { host: settings.name.clone(), incarnation };
        let services = Arc::new(Services::default());
        let members = new_membership(&settings, incarnation, &instruments)?;
        let ownership = Ownership::new(members.view());
        let quic = start_quic(&settings, Handler::new(members.clone(), Arc::clone(&services)))?;
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
        let owner = owner::Service::new(active.clone(), engines.clone(), instruments.clone());
        let claims: Claims = claim::Service::new(
            holder.clone(),
            log.clone(),
            quic.clone(),
            ownership.clone(),
            System::new(),
            DEFAULT_CLAIM_WINDOW_MS,
        );
        let quarantine = Quarantine::new(
            settings.name.clone(),
            quic.clone(),
            members.view(),
            members.neighbours(),
            logger.clone(),
        );
        services.set(documents.clone(), owner.clone(), claims.clone(), quarantine.clone());
        let target = order::Http::new(settings.weights_address);
        let orders: Orders =
            order::Service::new(holder, log, target, ownership.clone(), System::new());
        claims.counter().register(instruments.registry())?;
        orders.counter().register(instruments.registry())?;
        let leaving = watch::Sender::new(hosts::Leaving::default());
        let issuer = Remote::new(
            settings.name.clone(),
            quic.clone(),
            ownership.clone(),
            owner.clone(),
            leaving.subscribe(),
            instruments.clone(),
            random_seed(),
        );
        Ok(Self {
            control: Arc::new(Control::new()),
            recorder: report::Recorder::new(instruments.clone(), active.clone()),
            settings,
            instruments,
            members,
            quic,
            active,
            claims,
            orders,
            ownership,
            documents,
            engines,
            owner,
            issuer,
            quarantine,
            leaving,
        })
    }

    /// The context for handling requests of callers.
    pub(super) fn context(&self) -> Context<Types> {
        Context {
            control: Arc::clone(&self.control),
            active: self.active.clone(),
            engines: self.engines.clone(),
            resume_key: resume::Key::new(&self.settings.fleet_key),
            instruments: self.instruments.clone(),
            open_requests: limit::Counter::new(),
            issuer: self.issuer.clone(),
            claims: self.claims.clone(),
            quarantine: self.quarantine.clone(),
            backends: backend::Client::new(),
            servers: Mutex::new(backend::State::new(random_seed())),
            leaving: self.leaving.subscribe(),
            retries: retry::Budget::new(),
            clock: Monotonic::new(),
        }
    }

    /// Spawns the background tasks, which run until the node stops.
    pub(super) fn spawn(&self, tasks: &mut Supervisor) {
        let host_list =
            self.settings.hosts_address.and_then(|a| format!("http://{a}").parse().ok());
        self.members.start(self.quic.clone(), host_list);
        let (members, documents) = (self.members.clone(), self.documents.clone());
        tasks.spawn("newer_documents", move || {
            background::forward_newer_documents(members.clone(), documents.clone())
        });
        let documents = self.documents.clone();
        tasks.spawn("documents", move || {
            let documents = documents.clone();
            async move { documents.run().await }
        });
        let issuer = self.issuer.clone();
        tasks.spawn("permits", move || {
            let issuer = issuer.clone();
            async move { issuer.run().await }
        });
        let quarantine = self.quarantine.clone();
        tasks.spawn("quarantine", move || {
            let quarantine = quarantine.clone();
            async move { quarantine.run().await }
        });
        let (owner, ownership) = (self.owner.clone(), self.ownership.clone());
        let host = self.settings.name.clone();
        tasks.spawn("owner", move || {
            let (owner, ownership, host) = (owner.clone(), ownership.clone(), host.clone());
            async move { owner.run(ownership, host).await }
        });
        let recorder = self.recorder.clone();
        tasks.spawn("recorder", move || {
            let recorder = recorder.clone();
            async move { recorder.run().await }
        });
        let (claims, active) = (self.claims.clone(), self.active.clone());
        tasks.spawn("claims", move || background::maintain_claims(claims.clone(), active.clone()));
        let (orders, active) = (self.orders.clone(), self.active.clone());
        let environment = self.settings.environment.clone();
        tasks.spawn("orders", move || {
            background::reconcile_orders(orders.clone(), environment.clone(), active.clone())
        });
        let (control, members) = (Arc::clone(&self.control), self.members.clone());
        let (active, instruments) = (self.active.clone(), self.instruments.clone());
        tasks.spawn("document_version", move || {
            let (control, members) = (Arc::clone(&control), members.clone());
            background::publish_document_version(
                control,
                members,
                active.clone(),
                instruments.clone(),
            )
        });
        if let Some(address) = self.settings.hosts_address {
            let leaving = self.leaving.clone();
            tasks.spawn("leaving", move || hosts::poll_leaving(address, leaving.clone()));
        }
    }
}

fn start_quic(settings: &Settings, handler: Handler) -> Result<Quic, Error> {
    let key = peer::Key::new(settings.fleet_key);
    let settings = peer::Settings::new(settings.name.clone(), settings.peer_address, key);
    Ok(Quic::start(settings, handler)?)
}

fn new_membership(
    settings: &Settings,
    incarnation: u64,
    instruments: &Instruments,
) -> Result<member::Service, Error> {
    let settings = member::Settings {
        host: settings.name.clone(),
        incarnation,
        domain: settings.domain.clone(),
        region: settings.region.clone(),
        address: settings.peer_address,
        seeds: settings.seeds.iter().map(|seed| seed.address).collect(),
        seed: random_seed(),
    };
    Ok(member::Service::new(settings, instruments.registry())?)
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn random_seed() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}
