//! Speed of servers: how long work takes on each, compared with the others of its service.
//!
//! The lasting speed is learnt from the time between the events of generations, as this host and the others relay them.
//! The passing slowdown is what servers state of themselves. Both are known only for services whose servers state it.

use std::collections::{BTreeMap, HashMap};

use crate::directory::{Incarnation, Server};
use crate::name;

mod curve;
mod meter;
mod passing;
mod sample;
mod tail;

use curve::Curve;
pub use meter::{MAX_STATED, Meter, Window};
use passing::{Figures, Passing};
use sample::Evidence;
pub use sample::Sample;
use tail::Tail;

/// Time after the last statement of a passing slowdown by any server of a service for which the speeds of its servers
/// are used, in milliseconds.
const ACTIVE_MS: u64 = 30_000;

/// Time after the last sample in which a lasting speed returns to the usual one, in milliseconds.
const AGEING_MS: u64 = 30_000;

/// Time after the last sample for which a server counts towards the median, in milliseconds. Longer than the ageing, so
/// that the median does not shift to slow servers while only these have work.
const RETENTION_MS: u64 = 120_000;

/// Shortest time between two updates of the curve and the lasting speeds of a service, in milliseconds.
const REFRESH_MS: u64 = 250;

/// Fewest servers with samples from which speeds are derived.
const MIN_SERVERS: usize = 3;

/// Fewest events with which a server counts towards the median.
const MIN_EVENTS: f64 = 8.0;

/// Events of usual speed that are assumed beside the measured ones, so that a few slow events do not make a server slow.
const PRIOR_EVENTS: f64 = 10.0;

/// Range of lasting speeds, relative to the median server.
const LASTING_RANGE: (f64, f64) = (0.25, 16.0);

/// Lasting speed at which a server is logged as slow.
const SLOW: f64 = 1.5;

/// Lasting speed at which a slow server is logged as usual.
const USUAL: f64 = 1.25;

/// A server that became slow, or usual again.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// The server.
    pub server: name::Server,
    /// Time that work takes there, relative to the median server.
    pub lasting: f64,
    /// Whether it is slow now.
    pub is_slow: bool,
}

/// What is known of one server.
#[derive(Debug, Default)]
struct Record {
    started_ms: u64,
    evidence: Evidence,
    /// Time that work takes, relative to the median server, at the last update.
    lasting: f64,
    passing: Passing,
    heard_ms: u64,
    is_slow: bool,
}

impl Record {
    /// Time that work takes, relative to the median server; 1 once the last sample is [`AGEING_MS`] old.
    fn lasting(&self, now_ms: u64) -> f64 {
        let Some(at_ms) = self.evidence.at_ms() else { return 1.0 };
        let age_ms = now_ms.saturating_sub(at_ms).min(AGEING_MS);
        1.0 + (self.lasting - 1.0) * (1.0 - age_ms as f64 / AGEING_MS as f64)
    }
}

/// Speeds of the servers of one service.
#[derive(Debug, Default)]
pub struct Service {
    stated_ms: Option<u64>,
    figures: Figures,
    curve: Option<Curve>,
    tail: Tail,
    refreshed_ms: u64,
    /// In a fixed order, so that sums over them are the same each time.
    records: BTreeMap<name::Server, Record>,
}

impl Service {
    /// Whether a server stated its passing slowdown recently.
    fn is_active(&self, now_ms: u64) -> bool {
        self.stated_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) < ACTIVE_MS)
    }

    fn record(&self, server: &Server) -> Option<&Record> {
        let record = self.records.get(&server.entry.id)?;
        (record.started_ms == server.entry.started_ms).then_some(record)
    }

    /// The record of a server incarnation. That of an earlier one is replaced.
    fn record_mut(&mut self, incarnation: &Incarnation) -> &mut Record {
        let record = self.records.entry(incarnation.id.clone()).or_default();
        if record.started_ms != incarnation.started_ms || record.lasting == 0.0 {
            let started_ms = incarnation.started_ms;
            *record = Record { started_ms, lasting: 1.0, ..Record::default() };
        }
        record
    }

    /// Lasting time that work takes at `server`, relative to the median server of the service: 2 if it takes twice as
    /// long, 1 if nothing is known.
    pub fn lasting(&self, server: &Server, now_ms: u64) -> f64 {
        self.record(server).map_or(1.0, |record| record.lasting(now_ms))
    }

    /// Time that work takes at `server` now, as it stated in the last 2 s; 1 if it did not.
    pub fn stated(&self, server: &Server, now_ms: u64) -> f64 {
        self.record(server).map_or(1.0, |record| record.passing.stated(now_ms))
    }

    /// Passing slowdown of `server`, relative to its lasting speed; 1 if it stated none in the last 2 s.
    pub fn passing(&self, server: &Server, now_ms: u64) -> f64 {
        self.record(server).map_or(1.0, |record| record.passing.relative(now_ms))
    }

    /// Mean passing slowdown of the servers of the service.
    pub fn mean_passing(&self) -> f64 {
        self.figures.mean()
    }

    /// Longest interval between two events to expect at `server` while it runs `generations`, in milliseconds: in the
    /// worst tenth of its passing slowdowns and while it processes a prompt. `None` before enough was measured.
    ///
    /// Measured pauses show both, and how often they coincide. Before there are enough of them, it is estimated from what
    /// servers state.
    pub fn longest_interval_ms(
        &self,
        server: &Server,
        generations: u32,
        now_ms: u64,
    ) -> Option<f64> {
        let (curve, generations) = (self.curve?, f64::from(generations));
        let interval_ms = match self.tail.ratio() {
            Some(ratio) => curve.mean_interval_ms(generations) * ratio,
            None => curve.interval_ms(generations, 1.0) * self.figures.worst_to_mean(),
        };
        Some(interval_ms * self.lasting(server, now_ms))
    }

    /// Updates the curve and the lasting speeds.
    fn refresh(&mut self, now_ms: u64) {
        if now_ms.saturating_sub(self.refreshed_ms) < REFRESH_MS {
            return;
        }
        self.refreshed_ms = now_ms;
        self.figures.refresh(now_ms);
        self.tail.refresh(now_ms);
        let known = self.records.values().filter(|record| record.evidence.events() >= MIN_EVENTS);
        let evidence: Vec<&Evidence> = known.map(|record| &record.evidence).collect();
        if evidence.len() < MIN_SERVERS {
            return;
        }
        let curve = Curve::new(&evidence);
        for record in self.records.values_mut() {
            let Some(ratio) = curve.ratio(&record.evidence) else { continue };
            let events = record.evidence.events();
            let lasting = (ratio * events + PRIOR_EVENTS) / (events + PRIOR_EVENTS);
            record.lasting = lasting.clamp(LASTING_RANGE.0, LASTING_RANGE.1);
        }
        self.curve = Some(curve);
    }

    fn changes(&mut self, now_ms: u64) -> Vec<Change> {
        let mut changes = Vec::new();
        for (server, record) in &mut self.records {
            let lasting = record.lasting(now_ms);
            let is_slow = lasting >= if record.is_slow { USUAL } else { SLOW };
            if std::mem::replace(&mut record.is_slow, is_slow) != is_slow {
                changes.push(Change { server: server.clone(), lasting, is_slow });
            }
        }
        changes
    }
}

/// Speeds of the servers of all services.
#[derive(Debug, Default)]
pub struct Table {
    services: HashMap<name::Service, Service>,
}

impl Table {
    /// A table without speeds.
    ///
    /// ```
    /// let service = nutmeghead::name::Service::new("chat")?;
    /// assert!(nutmeghead::speed::Table::new().service(&service, 0).is_none());
    /// # Ok::<(), nutmeghead::name::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// The speeds of a service whose servers state their passing slowdown; `None` for others.
    pub fn service(&self, service: &name::Service, now_ms: u64) -> Option<&Service> {
        self.services.get(service).filter(|service| service.is_active(now_ms))
    }

    /// Records the passing slowdown that a server states of itself.
    pub fn state(
        &mut self,
        service: &name::Service,
        server: &Incarnation,
        slowdown: f64,
        now_ms: u64,
    ) {
        let service = self.services.entry(service.clone()).or_default();
        service.stated_ms = Some(now_ms);
        let record = service.record_mut(server);
        record.heard_ms = now_ms;
        let relative = record.passing.add(slowdown, now_ms);
        service.figures.add(relative, now_ms);
        service.refresh(now_ms);
    }

    /// Records events of generations at a server.
    pub fn measure(
        &mut self,
        service: &name::Service,
        server: &Incarnation,
        sample: Sample,
        now_ms: u64,
    ) {
        let service = self.services.entry(service.clone()).or_default();
        let record = service.record_mut(server);
        record.heard_ms = now_ms;
        record.evidence.add(sample, now_ms);
        if let Some(mean_ms) = record.evidence.mean_interval_ms() {
            service.tail.add(sample.longest_ms / mean_ms, now_ms);
        }
        service.refresh(now_ms);
    }

    /// The servers that became slow or usual since the last call.
    pub fn changes(&mut self, now_ms: u64) -> Vec<Change> {
        self.services.values_mut().flat_map(|service| service.changes(now_ms)).collect()
    }

    /// Removes servers of which nothing was heard for long.
    pub fn expire(&mut self, now_ms: u64) {
        for service in self.services.values_mut() {
            let is_recent = |record: &Record| now_ms.saturating_sub(record.heard_ms) < RETENTION_MS;
            service.records.retain(|_, record| is_recent(record));
        }
        self.services.retain(|_, service| !service.records.is_empty());
    }
}

#[cfg(test)]
mod tests;
