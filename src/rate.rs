//! Limits that servers name for the requests of all hosts together, and the share of one host.
//!
//! A server in need names in its responses how many requests a second it takes from all hosts together. Hosts tell each
//! other at once, as a host that sends little hears of a limit late. A bounded number of hosts, which all derive from the
//! name of the server, send it requests, each at its share of the limit and never two at once: what a host has not used
//! does not add up, or hosts that were idle would send it together.
//!
//! A server may also have a limit while it is cold, see [`crate::cold`]. The lower of the two is in force.

use std::time::Duration;

use serde::{Deserialize, Serialize};

#[cfg(test)]
mod tests;

/// Hosts that may send to a server beyond its limit in requests a second. With one request each that may come early, as
/// many come early at once.
const EXTRA_SENDERS: usize = 4;

/// Lowest limit that is distinguished, in requests a second: hosts find out the end of a lower one, too.
const MIN_PER_S: f64 = 0.1;

/// Time after which a host that learns the limit again tells the others again, in milliseconds.
const TELL_INTERVAL_MS: u64 = 3_000;

/// Shortest time after which a limit that was not confirmed is dropped, in milliseconds: some of the times at which hosts
/// tell each other.
const MIN_RETENTION_MS: u64 = 10_000;

/// Requests of all hosts together for which a limit that was not confirmed is kept.
const RETENTION_REQUESTS: f64 = 3.0;

/// Time for which a share holds, in milliseconds. Deriving it takes a hash for each host.
const SHARE_RETENTION_MS: u64 = 250;

/// A change of a limit by more than one part in this many is told at once.
const TOLD_CHANGE_DIVISOR: u64 = 10;

/// A limit in requests a second. Stored in thousandths, so that limits can be compared.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Limit(u64);

impl Limit {
    /// A limit of `per_s` requests a second; `None` for a negative one or one that is not a finite number.
    ///
    /// ```
    /// use nutmeghead::rate::Limit;
    /// assert_eq!(Limit::new(3.3).map(Limit::per_s), Some(3.3));
    /// assert!(Limit::new(-1.0).is_none() && Limit::new(f64::NAN).is_none());
    /// ```
    pub fn new(per_s: f64) -> Option<Self> {
        (per_s.is_finite() && per_s >= 0.0).then(|| Self((per_s * 1_000.0).round() as u64))
    }

    /// Requests a second.
    pub fn per_s(self) -> f64 {
        self.0 as f64 / 1_000.0
    }

    /// Number of hosts that send requests to a server with this limit, of `hosts`.
    ///
    /// ```
    /// use nutmeghead::rate::Limit;
    /// let senders = |hosts| Limit::new(3.3).map(|limit| limit.senders(hosts));
    /// assert_eq!((senders(3), senders(295)), (Some(3), Some(7)));
    /// ```
    pub fn senders(self, hosts: usize) -> usize {
        hosts.clamp(1, (self.per_s() as usize).saturating_add(EXTRA_SENDERS))
    }

    /// Time between two requests of one of `senders` hosts.
    fn interval(self, senders: usize) -> Duration {
        Duration::from_secs_f64(senders as f64 / self.per_s().max(MIN_PER_S))
    }

    fn retention_ms(self) -> u64 {
        let requests_ms = RETENTION_REQUESTS / self.per_s().max(MIN_PER_S) * 1_000.0;
        MIN_RETENTION_MS.max(requests_ms as u64)
    }

    fn is_near(self, other: Self) -> bool {
        self.0.abs_diff(other.0) <= self.0.max(other.0) / TOLD_CHANGE_DIVISOR
    }
}

/// The part of a host in the requests for a server with a limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Share {
    /// Number of hosts that send requests.
    pub senders: usize,
    /// Whether this host is one of them.
    pub is_sender: bool,
}

/// What a host does after it learnt something about a limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether the limit began, ended or changed.
    pub is_new: bool,
    /// Whether to tell other hosts.
    pub tell: bool,
}

/// The limit of a server while it is cold.
#[derive(Clone, Copy, Debug)]
struct Cold {
    limit: Limit,
    until_ms: u64,
    /// Shortest time between two requests of this host, in milliseconds.
    spacing_ms: u64,
}

/// The requests of one host to one server.
#[derive(Debug, Default)]
pub struct Pace {
    limit: Option<Limit>,
    cold: Option<Cold>,
    /// When this host last learnt that the limit holds, in milliseconds.
    confirmed_ms: u64,
    /// When a host last told the others, in milliseconds.
    told_ms: u64,
    share: Option<Share>,
    /// Until when the share holds, in milliseconds.
    share_until_ms: u64,
    /// When this host may send the next request, in milliseconds.
    next_ms: u64,
}

impl Pace {
    /// A server without a limit.
    ///
    /// ```
    /// assert_eq!(nutmeghead::rate::Pace::new().until_ms(5), None);
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// The limit that the server names.
    pub fn limit(&self, now_ms: u64) -> Option<Limit> {
        self.limit.filter(|limit| now_ms < self.confirmed_ms + limit.retention_ms())
    }

    /// The limit while the server is cold; `None` if it is not.
    pub fn cold_limit(&self, now_ms: u64) -> Option<Limit> {
        self.cold.filter(|cold| now_ms < cold.until_ms).map(|cold| cold.limit)
    }

    /// Sets the limit while the server is cold and until when it is. This host sends nothing until its share is set.
    pub fn set_cold(&mut self, limit: Limit, until_ms: u64, now_ms: u64) {
        let known = self.in_force(now_ms);
        let spacing_ms = self.cold.map_or(0, |cold| cold.spacing_ms);
        self.cold = Some(Cold { limit, until_ms, spacing_ms });
        if self.in_force(now_ms) == known {
            return;
        }
        self.share_until_ms = 0;
        if known.is_none() {
            self.share = Some(Share { senders: 1, is_sender: false });
        }
    }

    /// Sets the shortest time between two requests of this host while the server is cold, in milliseconds.
    pub fn set_cold_spacing(&mut self, spacing_ms: u64) {
        if let Some(cold) = &mut self.cold {
            cold.spacing_ms = spacing_ms;
        }
    }

    /// The lower of the limit that the server names and that of a cold server.
    fn in_force(&self, now_ms: u64) -> Option<Limit> {
        let limits = [self.limit(now_ms), self.cold_limit(now_ms)];
        limits.into_iter().flatten().min_by_key(|limit| limit.0)
    }

    /// Applies what the server said in the response to a request that was sent at `sent_ms`. The response to an earlier
    /// request does not end a limit that this host has learnt since.
    pub fn observe(&mut self, limit: Option<Limit>, sent_ms: u64, now_ms: u64) -> Notice {
        let known = self.limit(now_ms);
        if limit.is_none() && (known.is_none() || sent_ms <= self.confirmed_ms) {
            return Notice::default();
        }
        let is_near = match (known, limit) {
            (Some(known), Some(limit)) => known.is_near(limit),
            _ => false,
        };
        let tell = !is_near || now_ms >= self.told_ms + TELL_INTERVAL_MS;
        if tell {
            self.told_ms = now_ms;
        }
        Notice { is_new: self.set(limit, now_ms), tell }
    }

    /// Applies what another host told. `tell` of the result says whether it is news for further hosts.
    pub fn hear(&mut self, limit: Option<Limit>, now_ms: u64) -> Notice {
        let is_repeated = now_ms < self.told_ms + TELL_INTERVAL_MS / 2;
        let is_new = self.set(limit, now_ms);
        let tell = is_new || (limit.is_some() && !is_repeated);
        if tell {
            self.told_ms = now_ms;
        }
        Notice { is_new, tell }
    }

    /// Sets the share of this host. A host that begins to send waits for `fraction` of the time between two requests, so that
    /// hosts do not begin together.
    pub fn set_share(&mut self, share: Share, fraction: f64, now_ms: u64) {
        let begins = share.is_sender && self.share.is_none_or(|share| !share.is_sender);
        (self.share, self.share_until_ms) = (Some(share), now_ms + SHARE_RETENTION_MS);
        if begins {
            let wait_ms = self.interval_ms(now_ms) as f64 * fraction;
            self.next_ms = self.next_ms.max(now_ms + wait_ms as u64);
        }
    }

    /// The limit in force, if the share of this host has to be derived again.
    pub fn limit_to_share(&self, now_ms: u64) -> Option<Limit> {
        self.in_force(now_ms).filter(|_| now_ms >= self.share_until_ms)
    }

    /// When this host may send the next request; `None` if it may send one now.
    pub fn until_ms(&self, now_ms: u64) -> Option<u64> {
        self.in_force(now_ms)?;
        if self.share.is_some_and(|share| !share.is_sender) {
            return Some(now_ms + self.interval_ms(now_ms));
        }
        Some(self.next_ms).filter(|next_ms| *next_ms > now_ms)
    }

    /// Counts a request that is sent now, if this host may send one. Returns whether it may.
    pub fn take(&mut self, now_ms: u64) -> bool {
        if self.until_ms(now_ms).is_some() {
            return false;
        }
        self.count(now_ms);
        true
    }

    /// Counts a request that is sent now in any case.
    pub fn count(&mut self, now_ms: u64) {
        if self.in_force(now_ms).is_some() {
            self.next_ms = self.next_ms.max(now_ms) + self.interval_ms(now_ms);
        }
    }

    /// Sets the limit. Returns whether there was another one.
    fn set(&mut self, limit: Option<Limit>, now_ms: u64) -> bool {
        let known = self.limit(now_ms);
        if self.in_force(now_ms).is_none() {
            (self.share, self.next_ms) = (None, 0);
        }
        (self.limit, self.confirmed_ms) = (limit, now_ms);
        if known != limit {
            self.share_until_ms = 0;
        }
        known != limit
    }

    fn interval_ms(&self, now_ms: u64) -> u64 {
        let senders = self.share.map_or(1, |share| share.senders);
        let interval =
            self.in_force(now_ms).map_or(Duration::ZERO, |limit| limit.interval(senders));
        let cold = self.cold.filter(|cold| now_ms < cold.until_ms);
        cold.map_or(0, |cold| cold.spacing_ms).max(interval.as_millis() as u64)
    }
}
