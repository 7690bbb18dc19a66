//! Tracks the load of engines and backend servers, and chooses a server for each request.
//!
//! Each entry host knows its own open requests exactly, and those of other hosts from their last load reports. An
//! engine holds only a few long generations, so a choice by local requests alone would fill some engines beyond
//! their memory and leave others half empty.

use std::collections::{BTreeSet, HashMap};
use std::sync::Arc;

use crate::directory::{Phase, Server};
use crate::name;
use crate::speed;

mod contention;
mod growth;
mod prefill;
mod profile;
mod reporter;
mod selection;
mod speeds;
mod stated;

pub use contention::{Goal, RETRY_SPREAD, SETTLE_TIME};
pub use growth::Outputs;
pub use prefill::Rate;
pub use profile::Profile;
pub use reporter::{Loads, Report, Reporter, Stamp};
pub use selection::{Choice, Preference, return_ms, wait_ms};
pub use stated::Stated;

/// Shortest time after which the last load report of a host is ignored, in milliseconds: five report intervals of a
/// small deployment.
pub const REPORT_TTL_MS: u64 = 1_500;

/// Report intervals after which the last load report of a host is ignored, where many hosts make the interval long: two
/// lost datagrams in a row do not remove the host's load.
const REPORT_TTL_INTERVALS: u64 = 3;

/// Half-life of a server's failure score, in milliseconds. A failing server is tried again after a few half-lives.
const FAILURE_HALF_LIFE_MS: f64 = 1_500.0;

/// Cost of a server in another failure domain for a new request, as a fraction of its capacity: ties go to the host's
/// own domain.
pub const REMOTE_DOMAIN_COST: f64 = 0.02;

/// Random part of the cost for a new request, as a fraction of capacity: about half of one long generation.
pub const REQUEST_JITTER: f64 = 0.08;

/// Random part of the cost for a running generation, as a fraction of capacity.
pub const MIGRATION_JITTER: f64 = 0.1;

/// Engines of the same failure domain compared for a running generation. All generations of several engines migrate at
/// the same moment and would all choose the emptiest engine; the best of a few random ones is nearly as good.
pub const MIGRATION_CANDIDATES: usize = 3;

/// Cost of an engine in another failure domain for a running generation, as a fraction of its capacity: the copy of the
/// generation's KV cache takes twice as long, and a leaving engine has little time to migrate all its generations.
pub const MIGRATION_REMOTE_DOMAIN_COST: f64 = 0.4;

/// Load of one server.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Open requests.
    pub requests: u32,
    /// Tokens that the open requests occupy in memory, prompts awaiting prefill included.
    pub tokens: u64,
    /// Prompt tokens awaiting prefill.
    pub prefill_tokens: u64,
}

impl Load {
    fn add(&mut self, other: Self) {
        self.requests += other.requests;
        self.tokens += other.tokens;
        self.prefill_tokens += other.prefill_tokens;
    }
}

/// Class of a generation, which determines how full an engine's memory may be for the generation to be admitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// It ends within a second or so.
    Short,
    /// It runs for seconds and grows.
    Long,
    /// It is running and migrates from an engine that is leaving.
    Migrating,
}

/// What a request requires of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Requirement {
    /// Memory, in tokens; 0 for a plain service, which has no engines.
    pub tokens: u64,
    /// Class of the generation; not used for a plain service.
    pub class: Class,
    /// Whether it may be sent to another server if its response is lost.
    pub may_repeat: bool,
    /// Time until its first event or its response is due, in milliseconds.
    pub objective_ms: u64,
    /// Longest pause between two events that the caller accepts, in milliseconds.
    pub max_pause_ms: Option<u64>,
}

/// Capacity of a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Capacity {
    /// Concurrent requests.
    pub requests: u32,
    /// Tokens; 0 for a plain service.
    pub tokens: u64,
}

/// The current load of another host, from its reports.
struct Peer {
    /// Arrival of the last full report, or of the first report of this incarnation.
    full_ms: u64,
    /// Arrival of the last report.
    heard_ms: u64,
    stamp: Stamp,
    loads: Loads,
}

#[derive(Clone, Copy, Default)]
struct FailureScore {
    score: f64,
    at_ms: u64,
}

impl FailureScore {
    fn score_at(self, now_ms: u64) -> f64 {
        let elapsed = now_ms.saturating_sub(self.at_ms) as f64;
        self.score * (-elapsed / FAILURE_HALF_LIFE_MS).exp2()
    }
}

/// Load of servers from the open requests of this host and, from their last reports, of the other hosts. Also recent
/// failures of servers.
#[derive(Default)]
pub struct Tracker {
    /// Number of other hosts, which determines how often each reports.
    peers: usize,
    local: Loads,
    others: HashMap<name::Host, Peer>,
    failures: HashMap<name::Server, FailureScore>,
    profiles: HashMap<name::Service, Profile>,
    /// Failure domains whose servers get no requests.
    evacuated: BTreeSet<name::Domain>,
    speeds: speed::Table,
    meter: speed::Meter,
    statements: speeds::Statements,
}

impl Tracker {
    /// A tracker without open requests.
    ///
    /// ```
    /// assert!(nutmeghead::load::Tracker::new().local().is_empty());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a request of `tokens` that was sent to `server`; `prefill_tokens` of them await prefill.
    pub fn begin(&mut self, server: &name::Server, tokens: u64, prefill_tokens: u64) {
        let load = Load { requests: 1, tokens, prefill_tokens };
        self.local.entry(server.clone()).or_default().add(load);
        self.count_sent(server);
    }

    /// Records that `server` finished the prefill of `prefill_tokens` tokens.
    pub fn mark_prefilled(&mut self, server: &name::Server, prefill_tokens: u64) {
        if let Some(load) = self.local.get_mut(server) {
            load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill_tokens);
        }
    }

    /// Removes a request at `server` that has ended. It occupied `tokens`, and `prefill_tokens` still awaited prefill.
    pub fn end(&mut self, server: &name::Server, tokens: u64, prefill_tokens: u64) {
        let Some(load) = self.local.get_mut(server) else { return };
        load.requests = load.requests.saturating_sub(1);
        load.tokens = load.tokens.saturating_sub(tokens);
        load.prefill_tokens = load.prefill_tokens.saturating_sub(prefill_tokens);
        if load.requests == 0 {
            self.local.remove(server);
        }
    }

    /// Records that a generation at `server` produced `tokens` more.
    pub fn grow(&mut self, server: &name::Server, tokens: u64) {
        if let Some(load) = self.local.get_mut(server) {
            load.tokens += tokens;
        }
    }

    /// Requests of this host at `server`.
    pub fn own_requests(&self, server: &name::Server) -> u32 {
        self.local.get(server).map_or(0, |load| load.requests)
    }

    /// Load from this host's own requests.
    pub fn local(&self) -> &Loads {
        &self.local
    }

    /// Sets the failure domains whose servers get no requests.
    pub fn set_evacuated(&mut self, domains: BTreeSet<name::Domain>) {
        self.evacuated = domains;
    }

    /// The other hosts that have open requests at `server`, by their last reports.
    pub fn other_holders(&self, server: &name::Server, now_ms: u64) -> Vec<name::Host> {
        let ttl_ms = self.report_ttl_ms();
        let is_current = |peer: &Peer| now_ms.saturating_sub(peer.full_ms) <= ttl_ms;
        let is_holder = |peer: &Peer| peer.loads.get(server).is_some_and(|load| load.requests > 0);
        let holders = self.others.iter().filter(|(_, peer)| is_current(peer) && is_holder(peer));
        holders.map(|(host, _)| host.clone()).collect()
    }

    /// Sets the number of other hosts. The more there are, the less often each sends a full report.
    pub fn set_peers(&mut self, peers: usize) {
        self.peers = peers;
    }

    /// Applies the load report of another host. Reports that arrive out of order are ignored. Returns whether it is the
    /// first report of a process of that host.
    pub fn apply_report(&mut self, host: name::Host, report: Report, now_ms: u64) -> bool {
        let Report { stamp, full, loads } = report;
        let known = self.others.get(&host).map(|peer| peer.stamp.incarnation);
        match self.others.get_mut(&host) {
            Some(peer) if !stamp.supersedes(peer.stamp) => {}
            Some(peer) if !full && peer.stamp.incarnation == stamp.incarnation => {
                peer.stamp = stamp;
                peer.heard_ms = now_ms;
                peer.loads.extend(loads);
            }
            _ => {
                let peer = Peer { full_ms: now_ms, heard_ms: now_ms, stamp, loads };
                self.others.insert(host, peer);
            }
        }
        known != Some(stamp.incarnation)
    }

    /// Whether another host has reported recently.
    pub fn is_live(&self, host: &name::Host, now_ms: u64) -> bool {
        let ttl_ms = self.report_ttl_ms();
        self.others.get(host).is_some_and(|peer| now_ms.saturating_sub(peer.heard_ms) <= ttl_ms)
    }

    /// Number of other hosts that have reported recently.
    pub fn live_peers(&self, now_ms: u64) -> usize {
        self.others.keys().filter(|host| self.is_live(host, now_ms)).count()
    }

    fn report_ttl_ms(&self) -> u64 {
        REPORT_TTL_MS.max(REPORT_TTL_INTERVALS * reporter::full_interval_ms(self.peers))
    }

    /// The loads of the other hosts with a current report.
    fn current_loads(&self, now_ms: u64) -> impl Iterator<Item = &Loads> {
        let ttl_ms = self.report_ttl_ms();
        let is_current = move |peer: &&Peer| now_ms.saturating_sub(peer.full_ms) <= ttl_ms;
        self.others.values().filter(is_current).map(|peer| &peer.loads)
    }

    /// Records that `server` failed a request.
    pub fn record_failure(&mut self, server: &name::Server, now_ms: u64) {
        let failures = self.failures.entry(server.clone()).or_default();
        *failures = FailureScore { score: failures.score_at(now_ms) + 1.0, at_ms: now_ms };
    }

    /// The failure score of `server`: 1 for each failure, less for earlier ones.
    pub fn failure_score(&self, server: &name::Server, now_ms: u64) -> f64 {
        self.failures.get(server).map_or(0.0, |failures| failures.score_at(now_ms))
    }

    /// What was learnt of the engines of `service`.
    pub fn profile(&self, service: &name::Service) -> Profile {
        self.profiles.get(service).copied().unwrap_or_default()
    }

    /// Records that the first event of a prompt came from an engine of `service` after `elapsed_ms`. `tokens` awaited prefill
    /// there when it was sent, its own included.
    pub fn record_prefill(&mut self, service: &name::Service, tokens: u64, elapsed_ms: u64) {
        self.profiles.entry(service.clone()).or_default().prefill.record(tokens, elapsed_ms);
    }

    /// Records that an engine of `service` shuts down `ms` after this host learnt of its notice.
    pub fn record_notice(&mut self, service: &name::Service, ms: u64) {
        self.profiles.entry(service.clone()).or_default().notice.record(ms);
    }

    /// Records that a long generation at an engine of `service` ended after `tokens` of output.
    pub fn record_output(&mut self, service: &name::Service, tokens: u64) {
        self.profiles.entry(service.clone()).or_default().outputs.record(tokens);
    }

    /// Removes expired reports and failure scores that have decayed.
    pub fn expire(&mut self, now_ms: u64) {
        let ttl_ms = self.report_ttl_ms();
        self.others.retain(|_, peer| now_ms.saturating_sub(peer.heard_ms) <= ttl_ms);
        self.failures.retain(|_, failures| failures.score_at(now_ms) > 0.01);
        self.expire_speeds(now_ms);
    }

    /// Tokens that will migrate from leaving engines, per remaining engine.
    fn incoming_tokens(
        &self,
        servers: &[Arc<Server>],
        totals: &HashMap<&name::Server, Load>,
    ) -> u64 {
        let (mut leaving, mut ready) = (0, 0);
        for server in servers {
            match server.phase() {
                Phase::Ready => ready += u64::from(!self.evacuated.contains(&server.entry.domain)),
                Phase::Leaving => {
                    leaving += totals.get(&server.entry.id).map_or(0, |load| load.tokens);
                }
            }
        }
        leaving / u64::max(ready, 1)
    }

    /// Load of all servers from all hosts. Cheaper than [`Self::total`] of each server where there are many hosts.
    fn totals(&self, now_ms: u64) -> HashMap<&name::Server, Load> {
        let mut totals: HashMap<&name::Server, Load> = HashMap::new();
        for loads in self.current_loads(now_ms).chain([&self.local]) {
            for (server, load) in loads {
                totals.entry(server).or_default().add(*load);
            }
        }
        totals
    }

    /// Load of `server` from all hosts.
    pub fn total(&self, server: &name::Server, now_ms: u64) -> Load {
        let mut total = self.local.get(server).copied().unwrap_or_default();
        for load in self.current_loads(now_ms).filter_map(|loads| loads.get(server)) {
            total.add(*load);
        }
        total
    }
}

#[cfg(test)]
mod tests;
