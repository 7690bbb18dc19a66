//! Checks of limits, names and cross-references.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::{
    Document, Engine, Kind, Measure, Model, Objective, Organisation, Path, Problem, Service,
};
use crate::name;

/// Most violations reported for one document.
const MAX_VIOLATIONS: usize = 32;

/// Most routes of one plain service.
const MAX_ROUTES: usize = 256;

/// Largest share of an organisation, its weight in fair sharing.
const MAX_SHARE: f64 = 1e6;

/// Least urgent priority.
const MAX_PRIORITY: u64 = 9;

/// Longest timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Longest time for which idempotency keys are retained, in seconds.
const MAX_CLAIM_WINDOW_S: u64 = 30 * 86_400;

/// Checks `document` and returns its violations, at most [`MAX_VIOLATIONS`].
pub(super) fn violations(document: &Document) -> Vec<(Path, Problem)> {
    let mut checker = Checker::new(document);
    checker.check_settings();
    checker.check_workloads();
    checker.check_organisations();
    checker.check_models();
    checker.check_engines();
    checker.check_services();
    checker.check_objectives();
    checker.violations
}

/// The address and failure domain of each backend server.
type Locations<'a> = HashMap<&'a name::Server, (SocketAddr, &'a name::Domain)>;

struct Checker<'a> {
    document: &'a Document,
    workloads: HashSet<&'a name::Workload>,
    models: HashSet<&'a name::Model>,
    violations: Vec<(Path, Problem)>,
}

impl<'a> Checker<'a> {
    fn new(document: &'a Document) -> Self {
        Self {
            document,
            workloads: document.workloads.iter().map(|w| &w.name).collect(),
            models: document.models.iter().map(|m| &m.name).collect(),
            violations: Vec::new(),
        }
    }

    fn fail_unless(&mut self, holds: bool, path: Path, problem: Problem) {
        if !holds && self.violations.len() < MAX_VIOLATIONS {
            self.violations.push((path, problem));
        }
    }

    fn check_range(&mut self, value: u64, range: RangeInclusive<u64>, path: Path) {
        let problem = Problem::Range { min: *range.start(), max: *range.end() };
        self.fail_unless(range.contains(&value), path, problem);
    }

    fn check_not_empty<T>(&mut self, list: &[T], path: Path) {
        self.fail_unless(!list.is_empty(), path, Problem::Empty);
    }

    fn check_unique<T: Eq + Hash + ToString>(
        &mut self,
        seen: &mut HashSet<T>,
        item: T,
        kind: Kind,
        path: Path,
    ) {
        let name = item.to_string();
        self.fail_unless(seen.insert(item), path, Problem::Duplicate { kind, name });
    }

    fn check_workload_exists(&mut self, name: &name::Workload, path: Path) {
        let problem = Problem::Missing { kind: Kind::Workload, name: name.to_string() };
        self.fail_unless(self.workloads.contains(name), path, problem);
    }

    fn check_address(&mut self, seen: &mut HashSet<SocketAddr>, address: SocketAddr, path: Path) {
        self.fail_unless(address.port() != 0, path.clone(), Problem::Port);
        self.check_unique(seen, address, Kind::Address, path);
    }

    fn check_settings(&mut self) {
        let policy = &self.document.policy;
        let path = |key| Path::new("policy").with_key(key);
        let headroom = (0.0..=0.9).contains(&policy.urgent_headroom);
        let problem = Problem::Fraction { range: "from 0.0 to 0.9" };
        self.fail_unless(headroom, path("urgent_headroom"), problem);
        self.check_range(policy.max_wait_ms, 1..=MAX_TIMEOUT_MS, path("max_wait_ms"));
        self.check_range(policy.max_running.into(), 1..=65_536, path("max_running"));

        let limits = &self.document.limits;
        let path = |key| Path::new("limits").with_key(key);
        self.check_range(limits.max_body_bytes as u64, 1..=64 << 20, path("max_body_bytes"));
        self.check_range(limits.max_tokens.into(), 1..=16 << 20, path("max_tokens"));
        self.check_range(limits.request_timeout_ms, 1..=MAX_TIMEOUT_MS, path("request_timeout_ms"));
        self.check_range(limits.slow_caller_ms, 1..=MAX_TIMEOUT_MS, path("slow_caller_ms"));
        self.check_range(limits.claim_window_s, 1..=MAX_CLAIM_WINDOW_S, path("claim_window_s"));
    }

    fn check_workloads(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        self.check_not_empty(&document.workloads, Path::new("workloads"));
        for (i, workload) in document.workloads.iter().enumerate() {
            let path = Path::new("workloads").with_index(i);
            self.check_unique(
                &mut seen,
                &workload.name,
                Kind::Workload,
                path.clone().with_key("name"),
            );
            self.check_range(workload.priority.into(), 0..=MAX_PRIORITY, path.with_key("priority"));
        }
    }

    fn check_organisations(&mut self) {
        let document = self.document;
        let mut names = HashSet::new();
        let mut keys = HashSet::new();
        self.check_not_empty(&document.organisations, Path::new("organisations"));
        for (i, organisation) in document.organisations.iter().enumerate() {
            let path = Path::new("organisations").with_index(i);
            let name = path.clone().with_key("name");
            self.check_unique(&mut names, &organisation.name, Kind::Organisation, name);
            self.check_organisation(organisation, &mut keys, &path);
        }
    }

    fn check_organisation(
        &mut self,
        organisation: &'a Organisation,
        keys: &mut HashSet<&'a str>,
        path: &Path,
    ) {
        for (i, key) in organisation.key_sha256.iter().enumerate() {
            let entry = path.clone().with_key("key_sha256").with_index(i);
            self.fail_unless(is_hash(key), entry.clone(), Problem::Hash);
            self.check_unique(keys, key.as_str(), Kind::Key, entry);
        }
        let share = organisation.share > 0.0 && organisation.share <= MAX_SHARE;
        let problem = Problem::Fraction { range: "above 0.0 and at most 1000000.0" };
        self.fail_unless(share, path.clone().with_key("share"), problem);
        self.check_range(
            organisation.max_open.into(),
            1..=1_000_000,
            path.clone().with_key("max_open"),
        );
        for (workload, priority) in &organisation.priorities {
            let entry = path.clone().with_key("priorities").with_key(workload.as_str());
            self.check_workload_exists(workload, entry.clone());
            self.check_range((*priority).into(), 0..=MAX_PRIORITY, entry);
        }
    }

    fn check_models(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        for (i, model) in document.models.iter().enumerate() {
            let path = Path::new("models").with_index(i);
            self.check_unique(&mut seen, &model.name, Kind::Model, path.clone().with_key("name"));
            self.check_model(model, &path);
        }
    }

    fn check_model(&mut self, model: &'a Model, path: &Path) {
        self.check_workload_exists(&model.workload, path.clone().with_key("workload"));
        let version = model.version.as_deref().is_none_or(is_version);
        self.fail_unless(version, path.clone().with_key("version"), Problem::Version);
        let mut seen = HashSet::new();
        for (i, adapter) in model.adapters.iter().enumerate() {
            let entry = path.clone().with_key("adapters").with_index(i);
            self.check_unique(&mut seen, adapter, Kind::Adapter, entry);
        }
    }

    fn check_engines(&mut self) {
        let document = self.document;
        let mut names = HashSet::new();
        let mut addresses = HashSet::new();
        for (i, engine) in document.engines.iter().enumerate() {
            let path = Path::new("engines").with_index(i);
            self.check_unique(
                &mut names,
                &engine.name,
                Kind::Engine,
                path.clone().with_key("name"),
            );
            self.check_address(&mut addresses, engine.address, path.clone().with_key("address"));
            self.check_engine(engine, &path);
        }
    }

    fn check_engine(&mut self, engine: &'a Engine, path: &Path) {
        let models = path.clone().with_key("models");
        let mut seen = HashSet::new();
        self.check_not_empty(&engine.models, models.clone());
        for (i, model) in engine.models.iter().enumerate() {
            let entry = models.clone().with_index(i);
            let problem = Problem::Missing { kind: Kind::Model, name: model.to_string() };
            self.fail_unless(self.models.contains(model), entry.clone(), problem);
            self.check_unique(&mut seen, model, Kind::Model, entry);
        }
        self.check_range(engine.memory_tokens, 1..=1 << 40, path.clone().with_key("memory_tokens"));
    }

    fn check_services(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        let mut locations = HashMap::new();
        for (i, service) in document.services.iter().enumerate() {
            let path = Path::new("services").with_index(i);
            self.check_unique(
                &mut seen,
                &service.name,
                Kind::Service,
                path.clone().with_key("name"),
            );
            self.check_workload_exists(&service.workload, path.clone().with_key("workload"));
            self.check_range(
                service.timeout_ms,
                1..=MAX_TIMEOUT_MS,
                path.clone().with_key("timeout_ms"),
            );
            self.check_servers(service, &mut locations, &path.clone().with_key("servers"));
            self.check_routes(service, &path.with_key("routes"));
        }
    }

    /// Several services may list the same server if its address and failure domain are the same in all of them.
    fn check_servers(&mut self, service: &'a Service, locations: &mut Locations<'a>, path: &Path) {
        let mut names = HashSet::new();
        let mut addresses = HashSet::new();
        self.check_not_empty(&service.servers, path.clone());
        for (i, server) in service.servers.iter().enumerate() {
            let path = path.clone().with_index(i);
            let location = (server.address, &server.domain);
            let same = *locations.entry(&server.name).or_insert(location) == location;
            let inconsistent = Problem::Inconsistent { name: server.name.to_string() };
            self.fail_unless(same, path.clone().with_key("name"), inconsistent);
            self.check_unique(
                &mut names,
                &server.name,
                Kind::Server,
                path.clone().with_key("name"),
            );
            self.check_address(&mut addresses, server.address, path.with_key("address"));
        }
    }

    fn check_routes(&mut self, service: &'a Service, path: &Path) {
        let mut seen = HashSet::new();
        let long = Problem::Long { max: MAX_ROUTES };
        self.fail_unless(service.routes.len() <= MAX_ROUTES, path.clone(), long);
        for (i, route) in service.routes.iter().enumerate() {
            let path = path.clone().with_index(i);
            let identity = format!("{} {}", route.method, route.prefix);
            self.check_unique(&mut seen, identity, Kind::Route, path.clone().with_key("prefix"));
            let method = path.clone().with_key("method");
            self.fail_unless(is_method(&route.method), method, Problem::Method);
            let prefix = route.prefix.starts_with('/');
            self.fail_unless(prefix, path.with_key("prefix"), Problem::Prefix);
        }
    }

    fn check_objectives(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        for (i, objective) in document.objectives.iter().enumerate() {
            let path = Path::new("objectives").with_index(i);
            let identity = identity(objective);
            self.check_unique(
                &mut seen,
                identity,
                Kind::Objective,
                path.clone().with_key("measure"),
            );
            self.check_workload_exists(&objective.workload, path.clone().with_key("workload"));
            let ratio = objective.ratio > 0.0 && objective.ratio < 1.0;
            let problem = Problem::Fraction { range: "above 0.0 and below 1.0" };
            self.fail_unless(ratio, path.clone().with_key("ratio"), problem);
            let least = u64::from(objective.measure != Measure::Refusal);
            self.check_range(
                objective.target_ms,
                least..=MAX_TIMEOUT_MS,
                path.with_key("target_ms"),
            );
        }
    }
}

/// The text that must be unique to each objective.
fn identity(objective: &Objective) -> String {
    let Objective { workload, measure, target_ms, .. } = objective;
    match measure {
        Measure::Refusal => format!("{workload} {measure:?}"),
        _ => format!("{workload} {measure:?} {target_ms} ms"),
    }
}

fn is_hash(text: &str) -> bool {
    text.len() == 64 && text.bytes().all(|b| matches!(b, b'0'..=b'9' | b'a'..=b'f'))
}

fn is_version(text: &str) -> bool {
    (1..=64).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_graphic())
}

fn is_method(text: &str) -> bool {
    (1..=16).contains(&text.len()) && text.bytes().all(|b| b.is_ascii_uppercase())
}
