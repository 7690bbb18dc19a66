//! Rings of hosts, which decide which host probes which.

use std::collections::{BTreeMap, BTreeSet};

use super::table::Row;
use super::view;
use crate::name;

/// Number of rings, and so the largest number of hosts that each host probes.
pub(super) const RINGS: usize = 4;

/// The ring neighbours of a host.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Neighbours {
    /// Hosts that it probes: its successors in the rings.
    pub(super) probed: BTreeSet<name::Host>,
    /// Hosts that it probes or that probe it.
    pub(super) all: BTreeSet<name::Host>,
}

/// Sort keys of a host within its failure domain, one for each ring.
pub(super) fn sort_keys(host: &name::Host) -> [u64; RINGS] {
    let hash = view::hash(host.as_str());
    std::array::from_fn(|ring| view::mix(hash ^ (ring as u64 + 1)))
}

/// The hosts of each ring in order. Each ring spreads every failure domain evenly over its length, so that successors
/// are mostly of different domains.
pub(super) fn rings<'a>(rows: impl Iterator<Item = &'a Row>) -> [Vec<&'a name::Host>; RINGS] {
    let mut domains: BTreeMap<&name::Domain, Vec<&Row>> = BTreeMap::new();
    for row in rows.filter(|row| row.record.is_present()) {
        domains.entry(&row.record.domain).or_default().push(row);
    }
    std::array::from_fn(|ring| ring_order(&domains, ring))
}

fn ring_order<'a>(
    domains: &BTreeMap<&'a name::Domain, Vec<&'a Row>>,
    ring: usize,
) -> Vec<&'a name::Host> {
    let mut placed: Vec<(f64, &name::Host)> = Vec::new();
    for (domain, rows) in domains {
        let mut rows = rows.clone();
        rows.sort_by_key(|row| (row.sort_keys[ring], &row.record.host));
        let offset = fraction(view::mix(view::hash(domain.as_str()) ^ ring as u64));
        let count = rows.len() as f64;
        let position = |rank: usize| (rank as f64 + offset) / count;
        placed
            .extend(rows.iter().enumerate().map(|(rank, row)| (position(rank), &row.record.host)));
    }
    placed.sort_by(|a, b| a.0.total_cmp(&b.0).then(a.1.cmp(b.1)));
    placed.into_iter().map(|(_, host)| host).collect()
}

/// Maps a hash to the range from 0.0 to 1.0, 1.0 excluded.
fn fraction(hash: u64) -> f64 {
    (hash >> 11) as f64 / (1_u64 << 53) as f64
}

/// The ring neighbours of `host`.
pub(super) fn neighbours(rings: &[Vec<&name::Host>; RINGS], host: &name::Host) -> Neighbours {
    let mut neighbours = Neighbours::default();
    for ring in rings {
        let Some((predecessor, successor)) = adjacent(ring, host) else { continue };
        neighbours.probed.insert(successor.clone());
        neighbours.all.extend([predecessor.clone(), successor.clone()]);
    }
    neighbours.probed.remove(host);
    neighbours.all.remove(host);
    neighbours
}

/// The hosts that probe `host`.
pub(super) fn probers(
    rings: &[Vec<&name::Host>; RINGS],
    host: &name::Host,
) -> BTreeSet<name::Host> {
    rings
        .iter()
        .filter_map(|ring| adjacent(ring, host))
        .map(|(predecessor, _)| predecessor.clone())
        .collect()
}

/// The predecessor and the successor of `host` in a ring.
fn adjacent<'a>(
    ring: &[&'a name::Host],
    host: &name::Host,
) -> Option<(&'a name::Host, &'a name::Host)> {
    let index = ring.iter().position(|other| *other == host)?;
    let count = ring.len();
    Some((ring[(index + count - 1) % count], ring[(index + 1) % count]))
}
