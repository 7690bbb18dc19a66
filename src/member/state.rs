//! The decisions of membership: events and the time go in, actions come out.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::contact::Contacts;
use super::message::{self, Kind, Message};
use super::probe::{Probes, Step};
use super::record::{Health, Record};
use super::ring::{self, Neighbours};
use super::table::Table;
use super::view::View;
use super::{Condition, Member};
use crate::name;

mod gossip;
mod merge;

/// Time in which a suspect can speak up, in milliseconds.
const SUSPICION_MS: u64 = 1_500;

/// Time after which a suspect counts as one in views, in milliseconds.
const GRACE_MS: u64 = 500;

/// Time for which dead members are remembered, in milliseconds.
const DEAD_RETENTION_MS: u64 = 2 * 3_600 * 1_000;

/// Lateness of a wake-up from which time limits are moved, in milliseconds.
const LAG_MS: u64 = 100;

/// Largest number of hosts asked to ping a host that does not answer.
const MAX_CHECKERS: usize = 3;

/// Settings of membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The name of this host.
    pub host: name::Host,
    /// Number of this process, larger than those of earlier processes of the host: its start in milliseconds since the
    /// Unix epoch.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Its peer address.
    pub address: SocketAddr,
    /// Peer addresses to try first.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Something that happened.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time passed.
    Tick,
    /// A datagram came.
    Received(name::Host, Message),
    /// A table came, as a call or as the answer to one.
    Exchanged(name::Host, message::Table),
    /// An exchange of tables with whoever has this address failed.
    Unanswered(SocketAddr),
    /// The host list was fetched.
    Listed(Vec<SocketAddr>),
    /// This host has a document with this version.
    Version(u64),
    /// This host takes no new work.
    Leave,
    /// This process is about to exit.
    Depart,
}

/// Something to do.
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    Send(name::Host, Message),
    /// Exchange tables with a host.
    Exchange(name::Host),
    /// Exchange tables with whoever has this address.
    Contact(SocketAddr),
    /// A member has this address.
    Address(name::Host, SocketAddr),
    /// A member is gone, so close its connections.
    Forget(name::Host),
    /// The view changed.
    Publish(Arc<View>),
    /// The hosts that this one keeps connections to have changed.
    Regroup(Vec<name::Host>),
    /// This host has a document with a newer version.
    Newer(name::Host, u64),
    /// Another process took over this host's name; this one is no longer a member.
    Superseded,
}

/// Events since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Probes begun.
    pub probes: u64,
    /// Suspicions that this host raised.
    pub suspicions: u64,
    /// Suspicions of this host that it spoke up against.
    pub refutations: u64,
    /// Members that this host declared dead.
    pub deaths: u64,
    /// Exchanges of tables begun.
    pub exchanges: u64,
    /// Times that this process did not run for a while.
    pub lags: u64,
}

#[derive(Clone, Debug)]
struct Relay {
    number: u32,
    target: name::Host,
    asker: name::Host,
    asker_number: u32,
}

/// Membership at one host.
#[derive(Debug)]
pub struct State {
    own: Record,
    rng: StdRng,
    table: Table,
    probes: Probes,
    neighbours: Neighbours,
    contacts: Contacts,
    version: u64,
    relays: Vec<Relay>,
    /// Records to pass on.
    changed: BTreeSet<name::Host>,
    flood_due: bool,
    flood_ms: u64,
    /// Since when neighbours' tables differ.
    mismatches: BTreeMap<name::Host, u64>,
    sync_ms: u64,
    purge_ms: u64,
    regroup: bool,
    reviewed: bool,
    departed: bool,
    superseded: bool,
    view: Arc<View>,
    counts: Counts,
    now_ms: u64,
    wake_ms: u64,
    actions: Vec<Action>,
}

impl State {
    /// Starts membership with this host as the only member.
    pub fn new(settings: Settings) -> Self {
        let own = Record {
            host: settings.host,
            incarnation: settings.incarnation,
            revision: 0,
            leaving: false,
            health: Health::Alive,
            domain: settings.domain,
            region: settings.region,
            address: settings.address,
        };
        let mut state = Self {
            own: own.clone(),
            rng: StdRng::seed_from_u64(settings.seed),
            table: Table::default(),
            probes: Probes::default(),
            neighbours: Neighbours::default(),
            contacts: Contacts::new(settings.seeds),
            version: 0,
            relays: Vec::new(),
            changed: BTreeSet::new(),
            flood_due: false,
            flood_ms: 0,
            mismatches: BTreeMap::new(),
            sync_ms: 0,
            purge_ms: 0,
            regroup: false,
            reviewed: true,
            departed: false,
            superseded: false,
            view: Arc::default(),
            counts: Counts::default(),
            now_ms: 0,
            wake_ms: 0,
            actions: Vec::new(),
        };
        state.table.put(own, 0);
        state.view = Arc::new(state.current_view());
        state
    }

    /// Takes an event in. `now_ms` is a monotonic clock in milliseconds.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        if self.departed {
            return Vec::new();
        }
        self.allow_for_lag(now_ms);
        self.now_ms = now_ms;
        match event {
            Event::Tick => {}
            Event::Received(from, message) => self.receive(&from, message),
            Event::Exchanged(from, table) => self.exchanged(&from, table),
            Event::Unanswered(address) => self.contacts.fail(address, now_ms),
            Event::Listed(addresses) => self.contacts.list(addresses),
            Event::Version(version) => self.set_version(version),
            Event::Leave => self.declare(|own| own.leaving = true),
            Event::Depart => self.depart(),
        }
        self.run_due();
        self.settle();
        self.wake_ms = self.next_wake_ms();
        std::mem::take(&mut self.actions)
    }

    /// When [`Event::Tick`] is due next, in milliseconds.
    pub fn wake_ms(&self) -> u64 {
        self.wake_ms
    }

    fn next_wake_ms(&self) -> u64 {
        let suspects = self.table.rows().filter(|row| row.record.health == Health::Suspect);
        let suspicion = suspects.map(|row| {
            let shown_ms = row.since_ms + GRACE_MS;
            if shown_ms > self.now_ms { shown_ms } else { row.since_ms + SUSPICION_MS }
        });
        let flood = if self.flood_due { self.flood_ms } else { u64::MAX };
        suspicion
            .chain([self.probes.wake_ms(), self.contacts.wake_ms(), flood])
            .min()
            .unwrap_or(u64::MAX)
    }

    /// The members as seen now.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Events since the start.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Moves time limits if this process did not run for a while, so that it blames nobody for its own pause.
    fn allow_for_lag(&mut self, now_ms: u64) {
        let lag_ms = now_ms.saturating_sub(self.wake_ms);
        if self.now_ms == 0 || lag_ms < LAG_MS {
            return;
        }
        self.counts.lags += 1;
        self.probes.delay(lag_ms);
        self.table.delay(lag_ms);
    }

    fn set_version(&mut self, version: u64) {
        if version > self.version {
            self.version = version;
            self.flood_due = true;
        }
    }

    fn depart(&mut self) {
        self.declare(|own| own.health = Health::Left);
        self.flood_ms = self.now_ms;
        self.flood();
        self.departed = true;
    }

    fn run_due(&mut self) {
        if self.departed {
            return;
        }
        for step in self.probes.due(self.now_ms) {
            self.probe(step);
        }
        self.expire_suspicions();
        let own = self.own.address;
        if let Some(address) = self.contacts.due(&self.table, own, self.now_ms, &mut self.rng) {
            self.actions.push(Action::Contact(address));
        }
        if self.now_ms >= self.purge_ms {
            self.purge_ms = self.now_ms + DEAD_RETENTION_MS / 100;
            self.table.purge(self.now_ms.saturating_sub(DEAD_RETENTION_MS));
        }
    }

    fn probe(&mut self, step: Step) {
        match step {
            Step::Ping(host, number) => {
                self.counts.probes += 1;
                self.send(&host, Kind::Ping(number));
            }
            Step::Check(host, number) => {
                let watchers = ring::watchers(&ring::rings(self.table.rows()), &host);
                let own = self.own.host.clone();
                let others = watchers.into_iter().filter(|w| *w != own && *w != host);
                for other in others.take(MAX_CHECKERS) {
                    self.send(&other, Kind::Check(number, host.clone()));
                }
            }
            Step::Fail(host) => self.suspect(&host),
        }
    }

    fn suspect(&mut self, host: &name::Host) {
        let Some(row) = self.table.get(host).filter(|r| r.record.health == Health::Alive) else {
            return;
        };
        let record = Record { health: Health::Suspect, ..row.record.clone() };
        self.counts.suspicions += 1;
        self.accept(record);
    }

    fn expire_suspicions(&mut self) {
        let expired: Vec<Record> = self
            .table
            .rows()
            .filter(|row| row.record.health == Health::Suspect)
            .filter(|row| row.since_ms + SUSPICION_MS <= self.now_ms)
            .map(|row| Record { health: Health::Dead, ..row.record.clone() })
            .collect();
        for record in expired {
            self.counts.deaths += 1;
            self.accept(record);
        }
    }

    /// Follows up changes of the table: neighbours, changes to pass on, the view.
    fn settle(&mut self) {
        if self.regroup {
            self.regroup = false;
            let rings = ring::rings(self.table.rows());
            self.neighbours = ring::neighbours(&rings, &self.own.host);
            self.probes.watch(&self.neighbours.watched, self.now_ms, &mut self.rng);
            self.mismatches.retain(|host, _| self.neighbours.all.contains(host));
            self.actions.push(Action::Regroup(self.neighbours.all.iter().cloned().collect()));
        }
        self.flood();
        self.review();
    }

    fn review(&mut self) {
        if self.reviewed {
            return;
        }
        // A suspect changes its condition with time alone.
        self.reviewed = !self.has_suspects();
        let view = self.current_view();
        if view != *self.view {
            self.view = Arc::new(view);
            self.actions.push(Action::Publish(self.view.clone()));
        }
    }

    fn has_suspects(&self) -> bool {
        self.table.records().any(|record| record.health == Health::Suspect)
    }

    fn current_view(&self) -> View {
        let rows = self.table.rows().filter(|row| row.record.is_present());
        View::new(
            rows.map(|row| {
                let record = &row.record;
                let shown = row.since_ms + GRACE_MS <= self.now_ms;
                let condition = match (record.leaving, record.health) {
                    (_, Health::Suspect) if shown => Condition::Suspect,
                    (true, _) => Condition::Leaving,
                    _ => Condition::Alive,
                };
                Member {
                    host: record.host.clone(),
                    incarnation: record.incarnation,
                    domain: record.domain.clone(),
                    region: record.region.clone(),
                    address: record.address,
                    condition,
                }
            })
            .collect(),
        )
    }
}
