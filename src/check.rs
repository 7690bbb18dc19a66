//! Checks a configuration document before it is sent: errors, entries that never take effect, limits that contradict each
//! other, and what differs from the document in force.
//!
//! The documents are those of the users' platform; `platform::configuration` decodes them for hosts and for this check.

use std::collections::{HashMap, HashSet};
use std::fmt;

use serde::Serialize;

use crate::name;
use crate::route::{Kind, Organisation, Pool, Route};

pub mod command;
mod compare;

pub use compare::{Change, compare};

/// How serious a finding is.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Severity {
    /// The document is refused by hosts, or does not do what it states.
    Error,
    /// A part of the document has no effect, or is probably not meant.
    Warning,
}

/// Something that an operator should know of a document.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Finding {
    /// How serious it is.
    pub severity: Severity,
    /// Where in the document, such as `route r-1`.
    pub place: String,
    /// What is wrong, with the value.
    pub message: String,
}

impl fmt::Display for Finding {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let severity = match self.severity {
            Severity::Error => "error",
            Severity::Warning => "warning",
        };
        write!(formatter, "{severity}: {}: {}", self.place, self.message)
    }
}

/// A route with the host and the path prefix that select it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rule {
    /// The host.
    pub host: String,
    /// The path prefix.
    pub prefix: String,
    /// The route.
    pub route: Route,
}

/// A service and the properties of its engines, if it has engines.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: name::Service,
    /// Its engines.
    pub pool: Option<Pool>,
}

/// An organisation and its keys.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Holder {
    /// The organisation.
    pub organisation: Organisation,
    /// Its keys.
    pub keys: Vec<String>,
}

/// A document as it is written, with entries that replace each other.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Document {
    /// Its version.
    pub version: u64,
    /// Its routes.
    pub rules: Vec<Rule>,
    /// Its services.
    pub services: Vec<Service>,
    /// Its organisations.
    pub holders: Vec<Holder>,
}

/// Findings in the order of the document.
#[derive(Default)]
struct Findings(Vec<Finding>);

impl Findings {
    fn error(&mut self, place: &str, message: String) {
        self.push(Severity::Error, place, message);
    }

    fn warning(&mut self, place: &str, message: String) {
        self.push(Severity::Warning, place, message);
    }

    fn push(&mut self, severity: Severity, place: &str, message: String) {
        self.0.push(Finding { severity, place: place.to_owned(), message });
    }
}

/// Checks a document on its own.
///
/// ```
/// use nutmeghead::check::{Document, check};
/// assert!(check(&Document::default()).is_empty());
/// ```
pub fn check(document: &Document) -> Vec<Finding> {
    let mut findings = Findings::default();
    check_duplicates(document, &mut findings);
    for rule in &document.rules {
        let place = format!("route {}", rule.route.name);
        check_match(rule, &place, &mut findings);
        check_targets(&rule.route, &place, document, &mut findings);
        check_limits(&rule.route, &place, &mut findings);
    }
    check_services(document, &mut findings);
    check_organisations(document, &mut findings);
    findings.0
}

/// Entries that replace earlier ones.
fn check_duplicates(document: &Document, findings: &mut Findings) {
    let mut selected: HashMap<(&str, &str), &str> = HashMap::new();
    let mut names = HashSet::new();
    for Rule { host, prefix, route } in &document.rules {
        let place = format!("route {}", route.name);
        if let Some(first) = selected.insert((host, prefix), &route.name) {
            let message = format!("replaces route {first}: same host {host} and prefix {prefix}");
            findings.error(&place, message);
        }
        if !names.insert(&route.name) {
            findings.warning(&place, "another route has the same name".to_owned());
        }
    }
    let mut names = HashSet::new();
    for service in document.services.iter().filter(|service| !names.insert(&service.name)) {
        findings.error(&format!("service {}", service.name), "listed twice".to_owned());
    }
}

/// Whether any request can select a route.
fn check_match(rule: &Rule, place: &str, findings: &mut Findings) {
    let Rule { host, prefix, .. } = rule;
    if !prefix.starts_with('/') || !prefix.ends_with('/') {
        let message = format!("never matches: prefix {prefix:?} does not begin and end with '/'");
        findings.error(place, message);
    }
    if prefix.contains(['?', '#']) {
        findings.error(place, format!("never matches: prefix {prefix:?} is not only a path"));
    }
    if host.is_empty() || host.contains([':', '/']) {
        findings
            .error(place, format!("never matches: host {host:?} has a port, a path or nothing"));
    }
}

/// Services that requests of a route can and cannot reach.
fn check_targets(route: &Route, place: &str, document: &Document, findings: &mut Findings) {
    for target in &route.targets {
        let name = &target.service;
        match document.services.iter().find(|service| service.name == *name) {
            None => findings.error(place, format!("leads to service {name}, which is not listed")),
            Some(service) if route.generates && service.pool.is_none() => {
                findings.error(place, format!("sends prompts to {name}, which has no engines"));
            }
            Some(_) => {}
        }
        if target.weight == 0 && route.leads_to(name) {
            findings.warning(place, format!("all weights are 0: only {name} gets requests"));
        } else if target.weight == 0 {
            findings.warning(place, format!("never leads to {name}: its weight is 0"));
        }
    }
}

/// Limits of a route that contradict each other.
fn check_limits(route: &Route, place: &str, findings: &mut Findings) {
    let (timeout_ms, objective_ms) = (route.timeout.as_millis(), route.objective.as_millis());
    if timeout_ms == 0 {
        findings.error(place, "the timeout is 0: no request is served".to_owned());
    } else if objective_ms > timeout_ms {
        let message =
            format!("the objective of {objective_ms} ms is above the timeout of {timeout_ms} ms");
        findings.error(place, message);
    }
    if let Some(pause) = route.max_pause {
        let pause_ms = pause.as_millis();
        if !route.kind.is_stream() {
            findings.warning(
                place,
                format!("a longest pause of {pause_ms} ms has no effect: no stream"),
            );
        } else if pause_ms > timeout_ms {
            let message = format!(
                "the longest pause of {pause_ms} ms is above the timeout of {timeout_ms} ms"
            );
            findings.error(place, message);
        }
    }
    if route.max_runs > 1 && !route.kind.may_repeat() {
        let kind = match route.kind {
            Kind::Stream { .. } => "streams that cannot be resumed",
            Kind::NonIdempotent | Kind::Idempotent => "requests that are not idempotent",
        };
        findings
            .warning(place, format!("{} attempts have no effect: {kind} run once", route.max_runs));
    }
}

fn check_services(document: &Document, findings: &mut Findings) {
    for Service { name, pool } in &document.services {
        let place = format!("service {name}");
        if !document.rules.iter().any(|rule| rule.route.leads_to(name)) {
            findings.warning(&place, "no route leads to it".to_owned());
        }
        let Some(pool) = pool else { continue };
        if pool.batch == 0 || pool.memory_tokens == 0 {
            let message = format!(
                "its engines have {} slots and memory for {} tokens: no prompt fits",
                pool.batch, pool.memory_tokens
            );
            findings.error(&place, message);
        }
        if pool.can_migrate && (pool.link.token_bytes == 0 || pool.link.megabits_per_s <= 0.0) {
            findings.warning(
                &place,
                "generations migrate, but the size of a token or the bandwidth is 0".to_owned(),
            );
        }
    }
}

fn check_organisations(document: &Document, findings: &mut Findings) {
    let mut owners: HashMap<&str, &name::Customer> = HashMap::new();
    let mut names = HashSet::new();
    for Holder { organisation, keys } in &document.holders {
        let place = format!("organisation {}", organisation.name);
        if !names.insert(&organisation.name) {
            findings.warning(&place, "listed twice".to_owned());
        }
        if keys.is_empty() {
            findings.warning(&place, "has no key: none of its requests is served".to_owned());
        }
        for key in keys {
            if let Some(owner) = owners.insert(key, &organisation.name) {
                findings.error(&place, format!("holds a key that {owner} holds, too"));
            }
        }
    }
    let is_closed = document.rules.iter().any(|rule| !rule.route.public);
    if is_closed && owners.is_empty() {
        let message = "no organisation holds a key: only public routes are served".to_owned();
        findings.error("organisations", message);
    }
}

#[cfg(test)]
mod tests;
