//! What differs between the document in force and the one to be sent.

use std::collections::BTreeMap;
use std::fmt::{self, Debug};

use serde::Serialize;

use super::{Document, Holder, Rule, Service};

/// A difference between two documents.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
pub struct Change {
    /// The entry, such as `route r-1`.
    pub place: String,
    /// What differs. Keys are counted, not shown.
    pub difference: String,
}

impl fmt::Display for Change {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}: {}", self.place, self.difference)
    }
}

/// The differences of `new` from `old`, by kind of entry and name.
///
/// ```
/// use nutmeghead::check::{Document, compare};
/// let (old, new) = (Document::default(), Document { version: 2, ..Document::default() });
/// assert_eq!(compare(&old, &new)[0].to_string(), "version: 0 -> 2");
/// ```
pub fn compare(old: &Document, new: &Document) -> Vec<Change> {
    let mut changes = Vec::new();
    if old.version != new.version {
        let difference = format!("{} -> {}", old.version, new.version);
        changes.push(Change { place: "version".to_owned(), difference });
    }
    let routes = |document: &Document| entries(&document.rules, |rule| rule.route.name.to_string());
    compare_entries("route", &routes(old), &routes(new), rule_fields, &mut changes);
    let services = |document: &Document| entries(&document.services, |s| s.name.to_string());
    compare_entries("service", &services(old), &services(new), service_fields, &mut changes);
    let holders =
        |document: &Document| entries(&document.holders, |h| h.organisation.name.to_string());
    compare_entries("organisation", &holders(old), &holders(new), holder_fields, &mut changes);
    compare_keys(old, new, &mut changes);
    changes
}

/// Entries by name. Of two entries with the same name the last one remains, as in a host.
fn entries<T: Clone>(list: &[T], name: impl Fn(&T) -> String) -> BTreeMap<String, T> {
    list.iter().map(|entry| (name(entry), entry.clone())).collect()
}

/// A field and its value, as shown.
type Field = (&'static str, String);

fn compare_entries<T>(
    kind: &str,
    old: &BTreeMap<String, T>,
    new: &BTreeMap<String, T>,
    fields: impl Fn(&T) -> Vec<Field>,
    changes: &mut Vec<Change>,
) {
    let mut add = |name: &str, difference: String| {
        changes.push(Change { place: format!("{kind} {name}"), difference });
    };
    for (name, _) in old.iter().filter(|(name, _)| !new.contains_key(*name)) {
        add(name, "removed".to_owned());
    }
    for (name, entry) in new {
        let Some(before) = old.get(name) else {
            add(name, "added".to_owned());
            continue;
        };
        for ((field, was), (_, is)) in fields(before).into_iter().zip(fields(entry)) {
            if was != is {
                add(name, format!("{field} {was} -> {is}"));
            }
        }
    }
}

fn field(name: &'static str, value: impl Debug) -> Field {
    let value = format!("{value:?}");
    let inner = value.strip_prefix("Some(").and_then(|rest| rest.strip_suffix(')'));
    (name, inner.unwrap_or(&value).to_owned())
}

fn rule_fields(Rule { host, prefix, route }: &Rule) -> Vec<Field> {
    let targets =
        route.targets.iter().map(|target| format!("{}:{}", target.service, target.weight));
    vec![
        field("host", host),
        field("prefix", prefix),
        field("kind", route.kind),
        field("timeout", route.timeout),
        field("objective", route.objective),
        field("longest pause", route.max_pause),
        field("priority", route.priority),
        ("services", targets.collect::<Vec<_>>().join(",")),
        field("attempts", route.max_runs),
        field("public", route.public),
        field("prompts", route.generates),
    ]
}

fn service_fields(service: &Service) -> Vec<Field> {
    let pool = service.pool.as_ref();
    vec![
        field("engines", pool.is_some()),
        field("slots", pool.map(|pool| pool.batch)),
        field("memory", pool.map(|pool| pool.memory_tokens)),
        field("tokens in an event", pool.map(|pool| pool.event_tokens)),
        field("migration", pool.map(|pool| pool.can_migrate)),
        field("token bytes", pool.map(|pool| pool.link.token_bytes)),
        field("megabits/s", pool.map(|pool| pool.link.megabits_per_s)),
    ]
}

fn holder_fields(Holder { organisation, .. }: &Holder) -> Vec<Field> {
    vec![field("priority", organisation.priority)]
}

/// Counts the keys that each organisation gains and loses.
fn compare_keys(old: &Document, new: &Document, changes: &mut Vec<Change>) {
    for Holder { organisation, keys } in &new.holders {
        let before = old.holders.iter().find(|h| h.organisation.name == organisation.name);
        let Some(before) = before else { continue };
        let added = keys.iter().filter(|key| !before.keys.contains(key)).count();
        let removed = before.keys.iter().filter(|key| !keys.contains(key)).count();
        if added + removed > 0 {
            let place = format!("organisation {}", organisation.name);
            let difference = format!("{added} keys added, {removed} removed");
            changes.push(Change { place, difference });
        }
    }
}
