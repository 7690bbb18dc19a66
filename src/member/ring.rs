//! Who watches whom.

use std::collections::{BTreeMap, BTreeSet};

use super::table::Row;
use super::view;
use crate::name;

/// Number of rings, so of the hosts that each host watches.
pub(super) const RINGS: usize = 4;

/// The hosts that a host has to do with.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Neighbours {
    /// Those that it watches: its successors in the rings.
    pub(super) watched: BTreeSet<name::Host>,
    /// Those that it watches or that watch it.
    pub(super) all: BTreeSet<name::Host>,
}

/// A host's places within its failure domain, one a ring.
pub(super) fn places(host: &name::Host) -> [u64; RINGS] {
    let hash = view::hash(host.as_str());
    std::array::from_fn(|ring| view::mix(hash ^ (ring as u64 + 1)))
}

/// All rings, as the hosts in order. Each ring spreads every failure domain evenly over its length, so that successors
/// are mostly of different domains.
pub(super) fn rings<'a>(rows: impl Iterator<Item = &'a Row>) -> [Vec<&'a name::Host>; RINGS] {
    let mut domains: BTreeMap<&name::Domain, Vec<&Row>> = BTreeMap::new();
    for row in rows.filter(|row| row.record.is_present()) {
        domains.entry(&row.record.domain).or_default().push(row);
    }
    std::array::from_fn(|ring| order(&domains, ring))
}

fn order<'a>(
    domains: &BTreeMap<&'a name::Domain, Vec<&'a Row>>,
    ring: usize,
) -> Vec<&'a name::Host> {
    let mut placed: Vec<(f64, &name::Host)> = Vec::new();
    for (domain, rows) in domains {
        let mut rows = rows.clone();
        rows.sort_by_key(|row| (row.places[ring], &row.record.host));
        let offset = fraction(view::mix(view::hash(domain.as_str()) ^ ring as u64));
        let count = rows.len() as f64;
        let place = |rank: usize| (rank as f64 + offset) / count;
        placed.extend(rows.iter().enumerate().map(|(rank, row)| (place(rank), &row.record.host)));
    }
    placed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    placed.into_iter().map(|(_, host)| host).collect()
}

fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The neighbours of `host`.
pub(super) fn neighbours(rings: &[Vec<&name::Host>; RINGS], host: &name::Host) -> Neighbours {
    let mut found = Neighbours::default();
    for ring in rings {
        let Some((before, after)) = around(ring, host) else { continue };
        found.watched.insert(after.clone());
        found.all.extend([before.clone(), after.clone()]);
    }
    found.watched.remove(host);
    found.all.remove(host);
    found
}

/// The hosts that watch `host`.
pub(super) fn watchers(
    rings: &[Vec<&name::Host>; RINGS],
    host: &name::Host,
) -> BTreeSet<name::Host> {
    rings.iter().filter_map(|ring| around(ring, host)).map(|(before, _)| before.clone()).collect()
}

fn around<'a>(
    ring: &[&'a name::Host],
    host: &name::Host,
) -> Option<(&'a name::Host, &'a name::Host)> {
    let at = ring.iter().position(|other| *other == host)?;
    let count = ring.len();
    Some((ring[(at + count - 1) % count], ring[(at + 1) % count]))
}
