//! Checks of limits, names and cross-references.

use std::collections::{HashMap, HashSet};
use std::hash::Hash;
use std::net::SocketAddr;
use std::ops::RangeInclusive;

use super::{
    Document, Engine, Kind, Measure, Model, Objective, Organisation, Path, Problem, Service,
};
use crate::name;

/// Most failed checks that are reported at once.
const MAX_FAULTS: usize = 32;

/// Most routes of one plain service.
const MAX_ROUTES: usize = 256;

/// Largest weight of an organisation in fair sharing.
const MAX_SHARE: f64 = 1e6;

/// Least urgent priority.
const MAX_PRIORITY: u64 = 9;

/// Longest timeout, in milliseconds.
const MAX_TIMEOUT_MS: u64 = 3_600_000;

/// Longest time for which idempotency keys are remembered, in seconds.
const MAX_CLAIM_WINDOW_S: u64 = 30 * 86_400;

/// Checks `document` and returns what fails, at most [`MAX_FAULTS`] places.
pub(super) fn faults(document: &Document) -> Vec<(Path, Problem)> {
    let mut check = Check::new(document);
    check.settings();
    check.workloads();
    check.organisations();
    check.models();
    check.engines();
    check.services();
    check.objectives();
    check.faults
}

/// Address and failure domain of each backend server.
type Places<'a> = HashMap<&'a name::Server, (SocketAddr, &'a name::Domain)>;

struct Check<'a> {
    document: &'a Document,
    workloads: HashSet<&'a name::Workload>,
    models: HashSet<&'a name::Model>,
    faults: Vec<(Path, Problem)>,
}

impl<'a> Check<'a> {
    fn new(document: &'a Document) -> Self {
        Self {
            document,
            workloads: document.workloads.iter().map(|w| &w.name).collect(),
            models: document.models.iter().map(|m| &m.name).collect(),
            faults: Vec::new(),
        }
    }

    fn fail_unless(&mut self, holds: bool, path: Path, problem: Problem) {
        if !holds && self.faults.len() < MAX_FAULTS {
            self.faults.push((path, problem));
        }
    }

    fn range(&mut self, value: u64, range: RangeInclusive<u64>, path: Path) {
        let problem = Problem::Range { min: *range.start(), max: *range.end() };
        self.fail_unless(range.contains(&value), path, problem);
    }

    fn not_empty<T>(&mut self, list: &[T], path: Path) {
        self.fail_unless(!list.is_empty(), path, Problem::Empty);
    }

    fn unique<T: Eq + Hash + ToString>(
        &mut self,
        seen: &mut HashSet<T>,
        item: T,
        kind: Kind,
        path: Path,
    ) {
        let name = item.to_string();
        self.fail_unless(seen.insert(item), path, Problem::Duplicate { kind, name });
    }

    fn workload(&mut self, name: &name::Workload, path: Path) {
        let problem = Problem::Missing { kind: Kind::Workload, name: name.to_string() };
        self.fail_unless(self.workloads.contains(name), path, problem);
    }

    fn address(&mut self, seen: &mut HashSet<SocketAddr>, address: SocketAddr, path: Path) {
        self.fail_unless(address.port() != 0, path.clone(), Problem::Port);
        self.unique(seen, address, Kind::Address, path);
    }

    fn settings(&mut self) {
        let policy = &self.document.policy;
        let at = |key| Path::new("policy").with_key(key);
        let headroom = (0.0..=0.9).contains(&policy.urgent_headroom);
        let problem = Problem::Fraction { range: "from 0.0 to 0.9" };
        self.fail_unless(headroom, at("urgent_headroom"), problem);
        self.range(policy.max_wait_ms, 1..=MAX_TIMEOUT_MS, at("max_wait_ms"));
        self.range(policy.max_running.into(), 1..=65_536, at("max_running"));

        let limits = &self.document.limits;
        let at = |key| Path::new("limits").with_key(key);
        self.range(limits.max_body_bytes as u64, 1..=64 << 20, at("max_body_bytes"));
        self.range(limits.max_tokens.into(), 1..=16 << 20, at("max_tokens"));
        self.range(limits.request_timeout_ms, 1..=MAX_TIMEOUT_MS, at("request_timeout_ms"));
        self.range(limits.slow_caller_ms, 1..=MAX_TIMEOUT_MS, at("slow_caller_ms"));
        self.range(limits.claim_window_s, 1..=MAX_CLAIM_WINDOW_S, at("claim_window_s"));
    }

    fn workloads(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        self.not_empty(&document.workloads, Path::new("workloads"));
        for (i, workload) in document.workloads.iter().enumerate() {
            let at = Path::new("workloads").with_index(i);
            self.unique(&mut seen, &workload.name, Kind::Workload, at.clone().with_key("name"));
            self.range(workload.priority.into(), 0..=MAX_PRIORITY, at.with_key("priority"));
        }
    }

    fn organisations(&mut self) {
        let document = self.document;
        let mut names = HashSet::new();
        let mut keys = HashSet::new();
        self.not_empty(&document.organisations, Path::new("organisations"));
        for (i, organisation) in document.organisations.iter().enumerate() {
            let at = Path::new("organisations").with_index(i);
            let name = at.clone().with_key("name");
            self.unique(&mut names, &organisation.name, Kind::Organisation, name);
            self.organisation(organisation, &mut keys, &at);
        }
    }

    fn organisation(
        &mut self,
        organisation: &'a Organisation,
        keys: &mut HashSet<&'a str>,
        at: &Path,
    ) {
        for (i, key) in organisation.key_sha256.iter().enumerate() {
            let place = at.clone().with_key("key_sha256").with_index(i);
            self.fail_unless(is_hash(key), place.clone(), Problem::Hash);
            self.unique(keys, key.as_str(), Kind::Key, place);
        }
        let share = organisation.share > 0.0 && organisation.share <= MAX_SHARE;
        let problem = Problem::Fraction { range: "above 0.0 and at most 1000000.0" };
        self.fail_unless(share, at.clone().with_key("share"), problem);
        self.range(organisation.max_open.into(), 1..=1_000_000, at.clone().with_key("max_open"));
        for (workload, priority) in &organisation.priorities {
            let place = at.clone().with_key("priorities").with_key(workload.as_str());
            self.workload(workload, place.clone());
            self.range((*priority).into(), 0..=MAX_PRIORITY, place);
        }
    }

    fn models(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        for (i, model) in document.models.iter().enumerate() {
            let at = Path::new("models").with_index(i);
            self.unique(&mut seen, &model.name, Kind::Model, at.clone().with_key("name"));
            self.model(model, &at);
        }
    }

    fn model(&mut self, model: &'a Model, at: &Path) {
        self.workload(&model.workload, at.clone().with_key("workload"));
        let version = model.version.as_deref().is_none_or(is_version);
        self.fail_unless(version, at.clone().with_key("version"), Problem::Version);
        let mut seen = HashSet::new();
        for (i, adapter) in model.adapters.iter().enumerate() {
            let place = at.clone().with_key("adapters").with_index(i);
            self.unique(&mut seen, adapter, Kind::Adapter, place);
        }
    }

    fn engines(&mut self) {
        let document = self.document;
        let mut names = HashSet::new();
        let mut addresses = HashSet::new();
        for (i, engine) in document.engines.iter().enumerate() {
            let at = Path::new("engines").with_index(i);
            self.unique(&mut names, &engine.name, Kind::Engine, at.clone().with_key("name"));
            self.address(&mut addresses, engine.address, at.clone().with_key("address"));
            self.engine(engine, &at);
        }
    }

    fn engine(&mut self, engine: &'a Engine, at: &Path) {
        let models = at.clone().with_key("models");
        let mut seen = HashSet::new();
        self.not_empty(&engine.models, models.clone());
        for (i, model) in engine.models.iter().enumerate() {
            let place = models.clone().with_index(i);
            let problem = Problem::Missing { kind: Kind::Model, name: model.to_string() };
            self.fail_unless(self.models.contains(model), place.clone(), problem);
            self.unique(&mut seen, model, Kind::Model, place);
        }
        self.range(engine.memory_tokens, 1..=1 << 40, at.clone().with_key("memory_tokens"));
    }

    fn services(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        let mut places = HashMap::new();
        for (i, service) in document.services.iter().enumerate() {
            let at = Path::new("services").with_index(i);
            self.unique(&mut seen, &service.name, Kind::Service, at.clone().with_key("name"));
            self.workload(&service.workload, at.clone().with_key("workload"));
            self.range(service.timeout_ms, 1..=MAX_TIMEOUT_MS, at.clone().with_key("timeout_ms"));
            self.servers(service, &mut places, &at.clone().with_key("servers"));
            self.routes(service, &at.with_key("routes"));
        }
    }

    /// Several services may list the same server, under one address and failure domain.
    fn servers(&mut self, service: &'a Service, places: &mut Places<'a>, at: &Path) {
        let mut names = HashSet::new();
        let mut addresses = HashSet::new();
        self.not_empty(&service.servers, at.clone());
        for (i, server) in service.servers.iter().enumerate() {
            let at = at.clone().with_index(i);
            let place = (server.address, &server.domain);
            let same = *places.entry(&server.name).or_insert(place) == place;
            let differs = Problem::Differs { name: server.name.to_string() };
            self.fail_unless(same, at.clone().with_key("name"), differs);
            self.unique(&mut names, &server.name, Kind::Server, at.clone().with_key("name"));
            self.address(&mut addresses, server.address, at.with_key("address"));
        }
    }

    fn routes(&mut self, service: &'a Service, at: &Path) {
        let mut seen = HashSet::new();
        let long = Problem::Long { max: MAX_ROUTES };
        self.fail_unless(service.routes.len() <= MAX_ROUTES, at.clone(), long);
        for (i, route) in service.routes.iter().enumerate() {
            let at = at.clone().with_index(i);
            let label = format!("{} {}", route.method, route.prefix);
            self.unique(&mut seen, label, Kind::Route, at.clone().with_key("prefix"));
            let method = at.clone().with_key("method");
            self.fail_unless(is_method(&route.method), method, Problem::Method);
            let prefix = route.prefix.starts_with('/');
            self.fail_unless(prefix, at.with_key("prefix"), Problem::Prefix);
        }
    }

    fn objectives(&mut self) {
        let document = self.document;
        let mut seen = HashSet::new();
        for (i, objective) in document.objectives.iter().enumerate() {
            let at = Path::new("objectives").with_index(i);
            let label = label(objective);
            self.unique(&mut seen, label, Kind::Objective, at.clone().with_key("measure"));
            self.workload(&objective.workload, at.clone().with_key("workload"));
            let ratio = objective.ratio > 0.0 && objective.ratio < 1.0;
            let problem = Problem::Fraction { range: "above 0.0 and below 1.0" };
            self.fail_unless(ratio, at.clone().with_key("ratio"), problem);
            let least = u64::from(objective.measure != Measure::Refusal);
            self.range(objective.target_ms, least..=MAX_TIMEOUT_MS, at.with_key("target_ms"));
        }
    }
}

/// What must differ between two objectives.
fn label(objective: &Objective) -> String {
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
