//! The slices of a node and how they hang together.

use std::sync::{Arc, Mutex};

use slog::Logger;
use tokio::sync::watch;
use tokio::task::JoinSet;
use uuid::Uuid;

use super::handler::{Handler, Late};
use super::owned::Owned;
use super::upkeep;
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
use crate::{
    backend, claim, engine, hosts, limit, log, member, order, owner, peer, report, resume, retry,
};

/// Age of keys that are accepted before a document says otherwise, in milliseconds.
const CLAIM_WINDOW_MS: u64 = 86_400_000;

pub(super) type Documents = Watch<log::Http, Quic>;
pub(super) type Claims = claim::Service<log::Http, Quic, Owned, System>;
pub(super) type Orders = order::Service<log::Http, order::Http, Owned, System>;

/// The kinds of a node's parts.
pub(super) struct Parts;

impl crate::api::Parts for Parts {
    type Issuer = Remote<Quic, Owned>;
    type Log = log::Http;
    type Link = Quic;
    type View = Owned;
    type Clock = System;
}

/// The slices of a node.
pub(super) struct Slices {
    pub(super) settings: Settings,
    pub(super) control: Arc<Control>,
    pub(super) instruments: Instruments,
    pub(super) members: member::Service,
    pub(super) quic: Quic,
    pub(super) active: watch::Receiver<Option<Arc<Active>>>,
    pub(super) claims: Claims,
    pub(super) orders: Orders,
    pub(super) sampler: report::Sampler,
    owned: Owned,
    documents: Documents,
    engines: engine::Client,
    desks: owner::Service,
    issuer: Remote<Quic, Owned>,
    leaving: watch::Sender<hosts::Leaving>,
}

impl Slices {
    /// Makes the slices. Other entry hosts can call this one from now on.
    pub(super) fn new(settings: Settings, logger: &Logger) -> Result<Self, Error> {
        let instruments = Instruments::new()?;
        let incarnation = now_ms();
        let holder = claim::Holder { host: settings.name.clone(), incarnation };
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
        let claims: Claims = claim::Service::new(
            holder.clone(),
            log.clone(),
            quic.clone(),
            owned.clone(),
            System::new(),
            CLAIM_WINDOW_MS,
        );
        late.fill(documents.clone(), desks.clone(), claims.clone());
        let target = order::Http::new(settings.weights_address);
        let orders: Orders = order::Service::new(holder, log, target, owned.clone(), System::new());
        claims.counter().register(instruments.registry())?;
        orders.counter().register(instruments.registry())?;
        let leaving = watch::Sender::new(hosts::Leaving::default());
        let issuer = Remote::new(
            settings.name.clone(),
            quic.clone(),
            owned.clone(),
            desks.clone(),
            leaving.subscribe(),
            instruments.clone(),
            random_seed(),
        );
        Ok(Self {
            control: Arc::new(Control::new()),
            sampler: report::Sampler::new(instruments.clone(), active.clone()),
            settings,
            instruments,
            members,
            quic,
            active,
            claims,
            orders,
            owned,
            documents,
            engines,
            desks,
            issuer,
            leaving,
        })
    }

    /// What requests of callers need.
    pub(super) fn context(&self) -> Context<Parts> {
        Context {
            control: Arc::clone(&self.control),
            active: self.active.clone(),
            engines: self.engines.clone(),
            key: resume::Key::new(&self.settings.fleet_key),
            instruments: self.instruments.clone(),
            open: limit::Counter::new(),
            issuer: self.issuer.clone(),
            claims: self.claims.clone(),
            backends: backend::Client::new(),
            servers: Mutex::new(backend::State::new(random_seed())),
            leaving: self.leaving.subscribe(),
            retries: retry::Budget::new(),
            clock: Monotonic::new(),
        }
    }

    /// Starts the tasks that run as long as the node.
    pub(super) fn spawn(&self, tasks: &mut JoinSet<()>) {
        let host_list =
            self.settings.hosts_address.and_then(|a| format!("http://{a}").parse().ok());
        self.members.start(self.quic.clone(), host_list);
        tasks.spawn(upkeep::spread(self.members.clone(), self.documents.clone()));
        let documents = self.documents.clone();
        tasks.spawn(async move { documents.run().await });
        let issuer = self.issuer.clone();
        tasks.spawn(async move { issuer.run().await });
        let (desks, owned) = (self.desks.clone(), self.owned.clone());
        let own = self.settings.name.clone();
        tasks.spawn(async move { desks.run(owned, own).await });
        let sampler = self.sampler.clone();
        tasks.spawn(async move { sampler.run().await });
        tasks.spawn(upkeep::keep_claims(self.claims.clone(), self.active.clone()));
        let environment = self.settings.environment.clone();
        tasks.spawn(upkeep::keep_orders(self.orders.clone(), environment, self.active.clone()));
        tasks.spawn(upkeep::configure(
            Arc::clone(&self.control),
            self.members.clone(),
            self.active.clone(),
            self.instruments.clone(),
        ));
        if let Some(address) = self.settings.hosts_address {
            tasks.spawn(hosts::poll_leaving(address, self.leaving.clone()));
        }
    }
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
        seed: random_seed(),
    };
    Ok(member::Service::new(member, instruments.registry())?)
}

fn now_ms() -> u64 {
    let now = std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH);
    now.map_or(0, |now| now.as_millis() as u64)
}

fn random_seed() -> u64 {
    Uuid::new_v4().as_u64_pair().0
}
