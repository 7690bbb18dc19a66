//! State machine of membership, without I/O: takes events and the time, returns actions.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::Arc;

use rand::SeedableRng;
use rand::rngs::StdRng;

use super::discovery::Candidates;
use super::message::{self, Kind, Message};
use super::probe::{Probes, Step};
use super::record::{Health, Record};
use super::ring::{self, Neighbours};
use super::table::Table;
use super::view::View;
use super::{Member, Status};
use crate::name;

mod gossip;
mod merge;

/// Time that a suspect has to refute the suspicion before it is declared dead, in milliseconds.
const SUSPICION_TIMEOUT_MS: u64 = 1_500;

/// Time after which views show a suspect as `Status::Suspect`, in milliseconds.
const SUSPECT_VIEW_DELAY_MS: u64 = 500;

/// Time for which the records of dead and left members are kept, in milliseconds.
const DEAD_RETENTION_MS: u64 = 2 * 3_600 * 1_000;

/// Smallest delay of a wake-up that counts as a pause of this process, for which deadlines are extended, in
/// milliseconds.
const MIN_LAG_MS: u64 = 100;

/// Largest number of hosts asked to ping the probed host in one probe.
const MAX_PING_REQUESTS: usize = 3;

/// Settings of membership.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this host.
    pub host: name::Host,
    /// Number of this process, larger than those of earlier processes of the host: its start time in milliseconds since
    /// the Unix epoch.
    pub incarnation: u64,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Its peer address.
    pub address: SocketAddr,
    /// Peer addresses to try, besides those of the host list.
    pub seeds: Vec<SocketAddr>,
    /// Seed of the random number generator.
    pub seed: u64,
}

/// An input of [`State::handle`].
#[derive(Clone, Debug)]
pub enum Event {
    /// Only time has passed.
    Tick,
    /// A datagram arrived from the named host.
    Datagram(name::Host, Message),
    /// A table arrived from the named host, as a call or as the response to one.
    Table(name::Host, message::Table),
    /// An exchange of tables with the host at this address failed.
    ExchangeFailed(SocketAddr),
    /// The host list was fetched and has these peer addresses.
    HostList(Vec<SocketAddr>),
    /// This process has a document with this version.
    DocumentVersion(u64),
    /// This process no longer takes new work.
    Leaving,
    /// This process is about to exit.
    Exit,
}

/// An output of [`State::handle`].
#[derive(Clone, Debug)]
pub enum Action {
    /// Send a datagram.
    Send(name::Host, Message),
    /// Exchange tables with a host.
    Exchange(name::Host),
    /// Exchange tables with the host at this address.
    ExchangeWithAddress(SocketAddr),
    /// Set the address of a member.
    SetAddress(name::Host, SocketAddr),
    /// Remove the address of a member that is gone or has another address, and close its connection.
    RemoveAddress(name::Host),
    /// Publish a changed view.
    PublishView(Arc<View>),
    /// Set the ring neighbours, to which this host keeps connections.
    SetNeighbours(Vec<name::Host>),
    /// The named host has a document with this version, which is newer than the version here.
    NewerDocument(name::Host, u64),
    /// Another process took over this host's name; this one is no longer a member.
    Superseded,
}

/// Counts of events since the process started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Pings sent to hosts that this host probes.
    pub probes: u64,
    /// Suspicions that this host raised.
    pub suspicions: u64,
    /// Suspicions of this host that it refuted.
    pub refutations: u64,
    /// Members that this host declared dead.
    pub deaths: u64,
    /// Exchanges of tables that this host started.
    pub exchanges: u64,
    /// Pauses in which this process did not run.
    pub lags: u64,
}

/// A ping sent for another host's [`Kind::PingRequest`] and not answered yet.
#[derive(Clone, Debug)]
struct IndirectPing {
    number: u32,
    target: name::Host,
    requester: name::Host,
    requester_number: u32,
}

/// Membership state of one host.
#[derive(Debug)]
pub struct State {
    own: Record,
    rng: StdRng,
    table: Table,
    probes: Probes,
    neighbours: Neighbours,
    candidates: Candidates,
    /// Newest version of the document at this host.
    document_version: u64,
    indirect_pings: Vec<IndirectPing>,
    /// Hosts whose records are to be flooded.
    changed_hosts: BTreeSet<name::Host>,
    flood_pending: bool,
    next_flood_ms: u64,
    /// Since when the digest of each host has differed from the digest here, in milliseconds.
    mismatches: BTreeMap<name::Host, u64>,
    next_exchange_ms: u64,
    next_purge_ms: u64,
    neighbours_stale: bool,
    view_current: bool,
    exited: bool,
    superseded: bool,
    view: Arc<View>,
    counts: Counts,
    /// Time of the last event; 0 before the first.
    now_ms: u64,
    wake_ms: u64,
    /// Actions resulting from the current event.
    actions: Vec<Action>,
}

impl State {
    /// Creates the state with this host as the only member.
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
            candidates: Candidates::new(settings.seeds),
            document_version: 0,
            indirect_pings: Vec::new(),
            changed_hosts: BTreeSet::new(),
            flood_pending: false,
            next_flood_ms: 0,
            mismatches: BTreeMap::new(),
            next_exchange_ms: 0,
            next_purge_ms: 0,
            neighbours_stale: false,
            view_current: true,
            exited: false,
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

    /// Handles an event and returns the resulting actions. `now_ms` is the time of a monotonic clock in milliseconds.
    pub fn handle(&mut self, now_ms: u64, event: Event) -> Vec<Action> {
        if self.exited {
            return Vec::new();
        }
        self.compensate_for_lag(now_ms);
        self.now_ms = now_ms;
        match event {
            Event::Tick => {}
            Event::Datagram(from, message) => self.handle_datagram(&from, message),
            Event::Table(from, table) => self.handle_table(&from, table),
            Event::ExchangeFailed(address) => self.candidates.record_failure(address, now_ms),
            Event::HostList(addresses) => self.candidates.set_listed(addresses),
            Event::DocumentVersion(version) => self.set_document_version(version),
            Event::Leaving => self.update_own(|own| own.leaving = true),
            Event::Exit => self.exit(),
        }
        self.run_due_tasks();
        self.apply_table_changes();
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
            let visible_ms = row.health_since_ms + SUSPECT_VIEW_DELAY_MS;
            if visible_ms > self.now_ms {
                visible_ms
            } else {
                row.health_since_ms + SUSPICION_TIMEOUT_MS
            }
        });
        let flood = if self.flood_pending { self.next_flood_ms } else { u64::MAX };
        suspicion
            .chain([self.probes.wake_ms(), self.candidates.wake_ms(), flood])
            .min()
            .unwrap_or(u64::MAX)
    }

    /// The current view of the members.
    pub fn view(&self) -> Arc<View> {
        self.view.clone()
    }

    /// Counts of events since the process started.
    pub fn counts(&self) -> Counts {
        self.counts
    }

    /// Extends deadlines by a pause in which this process did not run, so that it suspects no host because of its own
    /// pause.
    fn compensate_for_lag(&mut self, now_ms: u64) {
        let lag_ms = now_ms.saturating_sub(self.wake_ms);
        if self.now_ms == 0 || lag_ms < MIN_LAG_MS {
            return;
        }
        self.counts.lags += 1;
        self.probes.extend_deadlines(lag_ms);
        self.table.extend_suspicions(lag_ms);
    }

    fn set_document_version(&mut self, version: u64) {
        if version > self.document_version {
            self.document_version = version;
            self.flood_pending = true;
        }
    }

    fn exit(&mut self) {
        self.update_own(|own| own.health = Health::Left);
        self.next_flood_ms = self.now_ms;
        self.flood();
        self.exited = true;
    }

    fn run_due_tasks(&mut self) {
        if self.exited {
            return;
        }
        for step in self.probes.due(self.now_ms) {
            self.execute_step(step);
        }
        self.expire_suspicions();
        let own = self.own.address;
        if let Some(address) = self.candidates.due(&self.table, own, self.now_ms, &mut self.rng) {
            self.actions.push(Action::ExchangeWithAddress(address));
        }
        if self.now_ms >= self.next_purge_ms {
            self.next_purge_ms = self.now_ms + DEAD_RETENTION_MS / 100;
            self.table.purge(self.now_ms.saturating_sub(DEAD_RETENTION_MS));
        }
    }

    fn execute_step(&mut self, step: Step) {
        match step {
            Step::Ping(host, number) => {
                self.counts.probes += 1;
                self.send(&host, Kind::Ping(number));
            }
            Step::PingRequest(host, number) => {
                let probers = ring::probers(&ring::rings(self.table.rows()), &host);
                let own = self.own.host.clone();
                let others = probers.into_iter().filter(|prober| *prober != own && *prober != host);
                for other in others.take(MAX_PING_REQUESTS) {
                    self.send(&other, Kind::PingRequest(number, host.clone()));
                }
            }
            Step::Suspect(host) => self.suspect(&host),
        }
    }

    fn suspect(&mut self, host: &name::Host) {
        let Some(row) = self.table.get(host).filter(|r| r.record.health == Health::Alive) else {
            return;
        };
        let record = Record { health: Health::Suspect, ..row.record.clone() };
        self.counts.suspicions += 1;
        self.put(record);
    }

    fn expire_suspicions(&mut self) {
        let expired: Vec<Record> = self
            .table
            .rows()
            .filter(|row| row.record.health == Health::Suspect)
            .filter(|row| row.health_since_ms + SUSPICION_TIMEOUT_MS <= self.now_ms)
            .map(|row| Record { health: Health::Dead, ..row.record.clone() })
            .collect();
        for record in expired {
            self.counts.deaths += 1;
            self.put(record);
        }
    }

    /// Updates what depends on the table: neighbours, changes to flood, the view.
    fn apply_table_changes(&mut self) {
        if self.neighbours_stale {
            self.neighbours_stale = false;
            let rings = ring::rings(self.table.rows());
            self.neighbours = ring::neighbours(&rings, &self.own.host);
            self.probes.set_targets(&self.neighbours.probed, self.now_ms, &mut self.rng);
            self.mismatches.retain(|host, _| self.neighbours.all.contains(host));
            self.actions.push(Action::SetNeighbours(self.neighbours.all.iter().cloned().collect()));
        }
        self.flood();
        self.update_view();
    }

    fn update_view(&mut self) {
        if self.view_current {
            return;
        }
        // While there are suspects, the view can change without a change of the table.
        self.view_current = !self.has_suspects();
        let view = self.current_view();
        if view != *self.view {
            self.view = Arc::new(view);
            self.actions.push(Action::PublishView(self.view.clone()));
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
                let visible = row.health_since_ms + SUSPECT_VIEW_DELAY_MS <= self.now_ms;
                let status = match (record.leaving, record.health) {
                    (_, Health::Suspect) if visible => Status::Suspect,
                    (true, _) => Status::Leaving,
                    _ => Status::Alive,
                };
                Member {
                    host: record.host.clone(),
                    incarnation: record.incarnation,
                    domain: record.domain.clone(),
                    region: record.region.clone(),
                    address: record.address,
                    status,
                }
            })
            .collect(),
        )
    }
}
