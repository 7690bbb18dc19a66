//! Selection of a server for a request, in three steps: which servers may get it at all, on which it fits, and what each
//! costs.

use std::sync::Arc;

use super::speeds::Terms;
use super::{Capacity, Class, Load, Profile, Requirement, Tracker};
use crate::directory::{Phase, Server};
use crate::name;
use crate::placement::Random;
use crate::suspicion::max_set_aside;

/// Most servers compared for one request, from a random start. Bounds the cost where a service has hundreds.
const MAX_COMPARED: usize = 32;

/// Callers that wait for a server return within this part of the wait after its end.
const RETURN_SPREAD_DIVISOR: u64 = 4;

/// Cost of one recent failure, as a fraction of a server's capacity.
const FAILURE_COST: f64 = 0.6;

/// Cost of a server that is still slow after its start, as a fraction of its capacity.
const COLD_COST: f64 = 0.3;

/// The server chosen for a request.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The server.
    pub server: Arc<Server>,
    /// Fraction of its capacity in use, the new request included.
    pub occupancy: f64,
    /// Milliseconds until the new request's prefill ends.
    pub prefill_ms: u64,
    /// Whether it has free capacity for the request. Always true for a plain service.
    pub fits: bool,
}

/// Preference among servers with similar load.
#[derive(Clone, Copy, Debug)]
pub struct Preference<'a> {
    /// The preferred failure domain.
    pub domain: &'a name::Domain,
    /// Cost of a server in another failure domain, as a fraction of its capacity.
    pub remote_cost: f64,
    /// Random part of the cost, as a fraction of capacity. Hosts that choose at the same moment do not know each
    /// other's choices yet and would all choose the emptiest server.
    pub jitter: f64,
    /// The comparison ends after this many servers with free capacity in the preferred failure domain.
    pub max_candidates: usize,
    /// Seed of the random choices.
    pub seed: u64,
}

/// How a request fits on a server.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Fit {
    /// Fraction of the server's capacity in use, the request included.
    occupancy: f64,
    /// Milliseconds until the request's prefill ends.
    prefill_ms: u64,
    /// Whether the server has free capacity for it.
    fits: bool,
}

impl Tracker {
    /// Chooses the server of lowest cost for a further request, among the servers with free capacity if there are any.
    pub fn choose(
        &self,
        servers: &[Arc<Server>],
        excluded: &[name::Server],
        capacity: impl Fn(&Server) -> Capacity,
        requirement: Requirement,
        preference: Preference<'_>,
        now_ms: u64,
    ) -> Option<Choice> {
        if servers.is_empty() {
            return None;
        }
        let mut random = Random::new(preference.seed);
        let totals = self.totals(now_ms);
        let incoming_tokens = match requirement.class {
            Class::Migrating => 0,
            Class::Short | Class::Long => self.incoming_tokens(servers, &totals),
        };
        let profile = self.profile(&servers[0].entry.service);
        let speeds = self.speeds(&servers[0].entry.service, now_ms);
        let mut best: Option<(f64, Choice)> = None;
        let mut candidates = 0;
        for server in self.candidates(servers, excluded, requirement, preference.seed, now_ms) {
            let load = totals.get(&server.entry.id).copied().unwrap_or_default();
            let capacity = capacity(server);
            let terms = speeds.map_or_else(Terms::default, |speeds| {
                self.speed_terms(speeds, server, load, capacity, requirement, now_ms)
            });
            let fit = fit(load, capacity, requirement, incoming_tokens, (profile, terms));
            let mut cost = self.cost(server, fit, terms, now_ms);
            cost += pending_cost(load, requirement, profile, terms);
            if server.entry.domain == *preference.domain {
                candidates += usize::from(fit.fits && terms.is_fast_enough);
            } else {
                cost += preference.remote_cost;
            }
            cost += preference.jitter * random.unit();
            if is_better(cost, fit.fits, best.as_ref()) {
                let Fit { occupancy, prefill_ms, fits } = fit;
                let server = Arc::clone(server);
                best = Some((cost, Choice { server, occupancy, prefill_ms, fits }));
            }
            if candidates == preference.max_candidates {
                break;
            }
        }
        best.map(|(_, choice)| choice)
    }

    /// The servers to compare, in turn from a random start. Those that are set aside or not preferred are left out if there are
    /// others.
    fn candidates<'a>(
        &self,
        servers: &'a [Arc<Server>],
        excluded: &[name::Server],
        requirement: Requirement,
        seed: u64,
        now_ms: u64,
    ) -> Vec<&'a Arc<Server>> {
        let (before, after) = servers.split_at((seed % servers.len() as u64) as usize);
        let in_turn = after.iter().chain(before);
        let eligible = in_turn.filter(|server| self.is_eligible(server, excluded, now_ms));
        let mut candidates: Vec<_> = eligible.collect();
        let set_aside = set_aside(servers, requirement.may_repeat, now_ms);
        retain_if_any(&mut candidates, |server| !set_aside.contains(&&server.entry.id));
        retain_if_any(&mut candidates, |server| is_preferred(server, requirement.class, now_ms));
        candidates.truncate(MAX_COMPARED);
        candidates
    }

    /// Whether what was sent to `server` or reserved there fits, the request of `requirement` included.
    pub fn still_fits(
        &self,
        server: &Server,
        capacity: Capacity,
        requirement: Requirement,
        now_ms: u64,
    ) -> bool {
        let Server { entry, .. } = server;
        let load = self.total(&entry.id, now_ms);
        let others = Load { requests: load.requests.saturating_sub(1), ..load };
        let profile = self.profile(&entry.service);
        let terms = self.speeds(&entry.service, now_ms).map_or_else(Terms::default, |speeds| {
            self.speed_terms(speeds, server, others, capacity, requirement, now_ms)
        });
        let counted = Requirement { tokens: 0, ..requirement };
        fit(others, capacity, counted, 0, (profile, terms)).fits
    }

    /// Whether `server` may get a further request of this host at all.
    fn is_eligible(&self, server: &Server, excluded: &[name::Server], now_ms: u64) -> bool {
        let running = self.own_requests(&server.entry.id);
        is_available(server, excluded)
            && !self.evacuated.contains(&server.entry.domain)
            && server.busy_until_ms(now_ms).is_none()
            && server.room().has_room(running, now_ms)
    }

    /// Cost of a further request at `server`, as a fraction of its capacity.
    fn cost(&self, server: &Server, fit: Fit, terms: Terms, now_ms: u64) -> f64 {
        let failures = self.failure_score(&server.entry.id, now_ms);
        // A cold server with a limit gets what the limit allows.
        let has_cost = server.is_cold(now_ms) && server.pace().cold_limit(now_ms).is_none();
        let cold = if has_cost { COLD_COST } else { 0.0 };
        fit.occupancy + FAILURE_COST * failures + cold + terms.cost
    }
}

/// How a request fits on a server with `capacity` and `load`, where `incoming_tokens` are about to migrate.
fn fit(
    load: Load,
    capacity: Capacity,
    requirement: Requirement,
    incoming_tokens: u64,
    (profile, terms): (Profile, Terms),
) -> Fit {
    let occupancy = occupancy(load, capacity, requirement.tokens + incoming_tokens);
    let prefill_ms = profile.prefill.time_ms(load.prefill_tokens + requirement.tokens);
    let prefill_ms = (prefill_ms as f64 * terms.prefill) as u64;
    let Requirement { class, objective_ms, .. } = requirement;
    let fits = capacity.tokens == 0
        || profile.fits(class, capacity.tokens, occupancy, prefill_ms, objective_ms);
    Fit { occupancy, prefill_ms, fits }
}

/// Cost of the prompts that await prefill at a server with `load`, as a fraction of its capacity: as much as full memory if
/// they delay the first event until it is due. Without it, a newly started, empty engine would get all new prompts at once.
fn pending_cost(load: Load, requirement: Requirement, profile: Profile, terms: Terms) -> f64 {
    let pending_ms = profile.prefill.time_ms(load.prefill_tokens) as f64 * terms.prefill;
    pending_ms / requirement.objective_ms.max(1) as f64
}

/// Whether a server of `cost` is a better choice than `best`: free capacity counts before cost.
fn is_better(cost: f64, fits: bool, best: Option<&(f64, Choice)>) -> bool {
    match best {
        None => true,
        Some((_, choice)) if choice.fits != fits => fits,
        Some((least, _)) => cost < *least,
    }
}

/// Keeps the servers for which `keep` returns true, or all if there is none.
fn retain_if_any(servers: &mut Vec<&Arc<Server>>, keep: impl Fn(&Server) -> bool) {
    if servers.iter().any(|server| keep(server)) {
        servers.retain(|server| keep(server));
    }
}

/// Whether `server` is chosen before others for a request of `class`: a cold one gets a migrating generation, which is sent
/// regardless of its limit, only if all eligible ones are such.
fn is_preferred(server: &Server, class: Class, now_ms: u64) -> bool {
    class != Class::Migrating || server.pace().cold_limit(now_ms).is_none()
}

/// The servers that get no request now as they break off requests; none if there are too many of them.
fn set_aside(servers: &[Arc<Server>], may_repeat: bool, now_ms: u64) -> Vec<&name::Server> {
    let ready = || servers.iter().filter(|server| server.phase() == Phase::Ready);
    let suspected = ready().filter(|server| server.suspicion().is_suspected()).count();
    if suspected == 0 || suspected > max_set_aside(ready().count()) {
        return Vec::new();
    }
    let set_aside = ready().filter(|server| server.suspicion().is_set_aside(may_repeat, now_ms));
    set_aside.map(|server| &server.entry.id).collect()
}

/// Whether `server` accepts requests, apart from a wait that it asked for and its limit.
fn is_available(server: &Server, excluded: &[name::Server]) -> bool {
    server.phase() == Phase::Ready && !excluded.contains(&server.entry.id)
}

/// Time until the first of `servers` takes requests again, in milliseconds; `None` if one takes requests now or none is
/// available outside `excluded`.
pub fn wait_ms(servers: &[Arc<Server>], excluded: &[name::Server], now_ms: u64) -> Option<u64> {
    let available = servers.iter().filter(|server| is_available(server, excluded));
    let waits = available.map(|server| server.busy_until_ms(now_ms).unwrap_or(now_ms));
    waits.min().map(|until_ms| until_ms - now_ms).filter(|wait_ms| *wait_ms > 0)
}

/// When a caller that was refused because all servers asked for `wait_ms` may return: then or up to a quarter later, as
/// selected by the random number `sample`, so that the callers do not all return at once.
///
/// ```
/// use nutmeghead::load::return_ms;
/// assert!((1_000..=1_250).contains(&return_ms(1_000, u64::MAX)));
/// ```
pub fn return_ms(wait_ms: u64, sample: u64) -> u64 {
    wait_ms + sample % (wait_ms / RETURN_SPREAD_DIVISOR + 1)
}

/// Fraction of a server's capacity in use with a further request: of its memory or its slots, whichever is higher.
fn occupancy(total: Load, capacity: Capacity, tokens: u64) -> f64 {
    let slots = f64::from(total.requests + 1) / f64::from(capacity.requests.max(1));
    if capacity.tokens == 0 {
        return slots;
    }
    slots.max((total.tokens + tokens) as f64 / capacity.tokens as f64)
}
