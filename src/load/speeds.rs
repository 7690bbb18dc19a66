//! What the tracker records of the speed of servers, and how it changes the fit and the cost of a request there.

use std::collections::HashMap;

use super::{Capacity, Class, Load, Requirement, Stated, Tracker};
use crate::directory::{Incarnation, Server};
use crate::name;
use crate::speed::{Change, Sample, Service, Window};

/// Time for which the requests that a server stated are used, in milliseconds.
const STATED_TTL_MS: u64 = 500;

/// Cost of the longest expected interval between events for a long generation, as a fraction of a server's capacity: if
/// it equals the longest pause that the caller accepts. Among servers that are fast enough, faster ones fill first.
const INTERVAL_COST: f64 = 0.2;

/// Cost of an expected interval beyond the caller's longest pause for a long generation, per pause beyond it. Above the
/// difference between a full and an empty server for one that takes half as long again.
const EXCESS_COST: f64 = 3.0;

/// The same for a short generation with a longest pause. Below that of a long one: where memory is nearly full, it is left
/// for long generations.
const SHORT_EXCESS_COST: f64 = 1.0;

/// Gain of a server that takes twice as long, for a request that needs no short pauses, as a fraction of its capacity:
/// memory of faster servers is left for long generations.
const SLOW_GAIN: f64 = 0.6;

/// Cost of a call that waits for a slot, above any other.
const QUEUE_COST: f64 = 10.0;

/// The last statement of a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Statement {
    stated: Stated,
    at_ms: u64,
    /// Requests of this host since.
    sent: u32,
}

/// Statements of servers that state their passing slowdown.
pub(super) type Statements = HashMap<name::Server, Statement>;

/// How the speed of a server changes the fit and the cost of a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Terms {
    /// Time that prefill takes, relative to the usual time.
    pub(super) prefill: f64,
    /// Cost to add.
    pub(super) cost: f64,
    /// Whether the server is fast enough.
    pub(super) is_fast_enough: bool,
}

impl Default for Terms {
    fn default() -> Self {
        Self { prefill: 1.0, cost: 0.0, is_fast_enough: true }
    }
}

impl Tracker {
    /// Records what `server` stated of its load.
    pub fn state(&mut self, server: &Server, stated: Stated, now_ms: u64) {
        let Some(slowdown) = stated.slowdown else { return };
        let Incarnation { id, .. } = server.entry.incarnation();
        self.statements.insert(id, Statement { stated, at_ms: now_ms, sent: 0 });
        self.meter.state(server, slowdown);
        self.speeds.state(&server.entry.service, &server.entry.incarnation(), slowdown, now_ms);
    }

    /// Records `events` of a generation at `server` that arrived `elapsed_ms` after the one before them.
    pub fn measure(&mut self, server: &Server, events: u64, elapsed_ms: u64, now_ms: u64) {
        if self.speeds.service(&server.entry.service, now_ms).is_none() {
            return;
        }
        let mut meter = std::mem::take(&mut self.meter);
        let load = || self.total(&server.entry.id, now_ms);
        meter.measure(server, events, elapsed_ms, now_ms, load);
        self.meter = meter;
    }

    /// Takes what was measured and stated since the last call, for at most `count` servers, and applies the measurements.
    pub fn take_windows(&mut self, count: usize, now_ms: u64) -> Vec<Window> {
        let windows = self.meter.take(count);
        for window in &windows {
            if let Some(sample) = window.sample() {
                self.speeds.measure(&window.service, &window.server, sample, now_ms);
            }
        }
        windows
    }

    /// Applies what another host measured and heard of `server`.
    pub fn apply_speed(
        &mut self,
        server: &Server,
        sample: Option<Sample>,
        stated: &[f64],
        now_ms: u64,
    ) {
        let (service, incarnation) = (&server.entry.service, server.entry.incarnation());
        for slowdown in stated {
            self.speeds.state(service, &incarnation, *slowdown, now_ms);
        }
        if let Some(sample) = sample {
            self.speeds.measure(service, &incarnation, sample, now_ms);
        }
    }

    /// The servers that became slow or usual since the last call.
    pub fn speed_changes(&mut self, now_ms: u64) -> Vec<Change> {
        self.speeds.changes(now_ms)
    }

    /// Speeds of a service whose servers state their passing slowdown.
    pub(super) fn speeds(&self, service: &name::Service, now_ms: u64) -> Option<&Service> {
        self.speeds.service(service, now_ms)
    }

    /// Counts a request to `server` towards the last statement of the server.
    pub(super) fn count_sent(&mut self, server: &name::Server) {
        if let Some(statement) = self.statements.get_mut(server) {
            statement.sent += 1;
        }
    }

    /// Removes old statements and speeds.
    pub(super) fn expire_speeds(&mut self, now_ms: u64) {
        let is_current =
            |statement: &Statement| now_ms.saturating_sub(statement.at_ms) <= STATED_TTL_MS;
        self.statements.retain(|_, statement| is_current(statement));
        self.speeds.expire(now_ms);
    }

    /// How the speed of `server` with `load` changes the fit and the cost of a further request.
    pub(super) fn speed_terms(
        &self,
        service: &Service,
        server: &Server,
        load: Load,
        capacity: Capacity,
        requirement: Requirement,
        now_ms: u64,
    ) -> Terms {
        if capacity.tokens == 0 {
            let cost = self.call_cost(service, server, load, capacity, now_ms);
            return Terms { cost, ..Terms::default() };
        }
        let lasting = service.lasting(server, now_ms);
        let prefill = lasting * service.mean_passing().max(service.passing(server, now_ms));
        let interval_ms = service.longest_interval_ms(server, load.requests + 1, now_ms);
        let pauses = requirement.max_pause_ms.zip(interval_ms);
        let pauses = pauses.map(|(pause_ms, interval_ms)| interval_ms / pause_ms.max(1) as f64);
        let excess = pauses.map_or(0.0, |pauses| (pauses - 1.0).max(0.0));
        let cost = match requirement.class {
            Class::Long | Class::Migrating => {
                INTERVAL_COST * pauses.unwrap_or(lasting) + EXCESS_COST * excess
            }
            Class::Short if excess > 0.0 => SHORT_EXCESS_COST * excess,
            Class::Short => -SLOW_GAIN * (lasting - 1.0).clamp(-1.0, 1.0),
        };
        Terms { prefill, cost, is_fast_enough: excess == 0.0 }
    }

    /// Cost of a call beyond that of the requests that this host knows of: by the statement of the server, and by the
    /// time that work takes there.
    fn call_cost(
        &self,
        service: &Service,
        server: &Server,
        load: Load,
        capacity: Capacity,
        now_ms: u64,
    ) -> f64 {
        let statement = self.statements.get(&server.entry.id);
        let is_current =
            |statement: &&Statement| now_ms.saturating_sub(statement.at_ms) < STATED_TTL_MS;
        let (requests, slots) = match statement.filter(is_current) {
            Some(Statement { stated, sent, .. }) => {
                (stated.running.saturating_add(stated.waiting).saturating_add(*sent), stated.slots)
            }
            None => (load.requests, capacity.requests.max(1)),
        };
        let known = f64::from(load.requests + 1) / f64::from(capacity.requests.max(1));
        let stated = f64::from(requests.saturating_add(1)) / f64::from(slots);
        let queue = if requests >= slots { QUEUE_COST } else { 0.0 };
        stated * service.stated(server, now_ms) - known + queue
    }
}
