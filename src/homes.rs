//! Regions in which a request may be served, and the regions of failure domains and of other entry hosts.

use std::collections::{BTreeSet, HashMap};
use std::net::SocketAddr;
use std::sync::Arc;

use crate::name;

#[cfg(test)]
mod tests;

/// Shortest time between two announcements of a host's region to all others, in milliseconds.
const MIN_ANNOUNCEMENT_INTERVAL_MS: u64 = 5_000;

/// Time between two announcements per host, in milliseconds: the datagrams of some 80 bytes take less than 1 KB/s.
const ANNOUNCEMENT_INTERVAL_PER_HOST_MS: u64 = 100;

/// Announcement intervals after which a region is unknown again: two lost datagrams in a row do not lead to that.
const ANNOUNCEMENT_TTL_INTERVALS: u64 = 4;

/// The regions in which a request may be served. Cheap to clone.
///
/// ```
/// use nutmeghead::{homes::Set, name::Region};
/// let (north, south) = (Region::new("north")?, Region::new("south")?);
/// let homes = Set::new([north.clone()]);
/// assert!(homes.allows(Some(&north)) && !homes.allows(Some(&south)) && !homes.allows(None));
/// assert!(Set::any().allows(None));
/// # Ok::<(), nutmeghead::name::Error>(())
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Set(Option<Arc<BTreeSet<name::Region>>>);

impl Set {
    /// All regions, also unknown ones.
    pub fn any() -> Self {
        Self(None)
    }

    /// These regions only. Without any, no region is allowed.
    pub fn new(regions: impl IntoIterator<Item = name::Region>) -> Self {
        Self(Some(Arc::new(regions.into_iter().collect())))
    }

    /// Whether all regions are allowed, also unknown ones.
    pub fn is_any(&self) -> bool {
        self.0.is_none()
    }

    /// Whether `region` is allowed; `None` is an unknown region.
    pub fn allows(&self, region: Option<&name::Region>) -> bool {
        let Some(regions) = &self.0 else { return true };
        region.is_some_and(|region| regions.contains(region))
    }

    /// The regions that both sets allow.
    ///
    /// ```
    /// use nutmeghead::{homes::Set, name::Region};
    /// let north = Region::new("north")?;
    /// let homes = Set::any().intersection(&Set::new([north.clone()]));
    /// assert!(homes.allows(Some(&north)) && !homes.is_any());
    /// # Ok::<(), nutmeghead::name::Error>(())
    /// ```
    #[must_use]
    pub fn intersection(&self, other: &Self) -> Self {
        match (&self.0, &other.0) {
            (None, _) => other.clone(),
            (_, None) => self.clone(),
            (Some(own), Some(others)) => Self::new(own.intersection(others).cloned()),
        }
    }
}

/// The regions of failure domains.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Regions(HashMap<name::Domain, name::Region>);

impl Regions {
    /// The regions of these failure domains; those of others are unknown.
    ///
    /// ```
    /// use nutmeghead::{homes::Regions, name};
    /// let (domain, region) = (name::Domain::new("a")?, name::Region::new("north")?);
    /// let regions = Regions::new([(domain.clone(), region.clone())]);
    /// assert_eq!(regions.of(&domain), Some(&region));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new(regions: impl IntoIterator<Item = (name::Domain, name::Region)>) -> Self {
        Self(regions.into_iter().collect())
    }

    /// The region of `domain`; `None` if it is unknown.
    pub fn of(&self, domain: &name::Domain) -> Option<&name::Region> {
        self.0.get(domain)
    }
}

/// The regions that other entry hosts announced, by the address at which requests reach them.
#[derive(Debug, Default)]
pub struct Hosts(HashMap<SocketAddr, (name::Region, u64)>);

impl Hosts {
    /// No host has announced its region yet.
    ///
    /// ```
    /// use nutmeghead::{homes::Hosts, name::Region};
    /// let (mut hosts, address) = (Hosts::new(), ([127, 0, 0, 1], 7000).into());
    /// hosts.put(address, Region::new("north")?, 0);
    /// assert!(hosts.region(address, 2, 1_000).is_some());
    /// assert!(hosts.region(address, 2, 60_000).is_none());
    /// # Ok::<(), nutmeghead::name::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the region that the host at `address` announced at `now_ms`.
    pub fn put(&mut self, address: SocketAddr, region: name::Region, now_ms: u64) {
        self.0.insert(address, (region, now_ms));
    }

    /// Forgets the region of the host at `address`, where another process may have started.
    pub fn remove(&mut self, address: SocketAddr) {
        self.0.remove(&address);
    }

    /// The region of the host at `address`, one of `hosts`; `None` if it has not been announced recently.
    pub fn region(&self, address: SocketAddr, hosts: usize, now_ms: u64) -> Option<&name::Region> {
        let ttl_ms = ANNOUNCEMENT_TTL_INTERVALS * announcement_interval_ms(hosts);
        let (region, at_ms) = self.0.get(&address)?;
        (now_ms.saturating_sub(*at_ms) <= ttl_ms).then_some(region)
    }
}

/// Time between two announcements of a host's region to all others, in milliseconds, where there are `hosts`.
///
/// ```
/// assert_eq!(nutmeghead::homes::announcement_interval_ms(9), 5_000);
/// ```
pub fn announcement_interval_ms(hosts: usize) -> u64 {
    MIN_ANNOUNCEMENT_INTERVAL_MS.max(ANNOUNCEMENT_INTERVAL_PER_HOST_MS * hosts as u64)
}
