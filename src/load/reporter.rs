//! Schedule and content of the load reports that a host sends to the others.
//!
//! When engine memory is nearly full, requests wait at many hosts for the same room. The host that uses the room has to
//! report this at once, within one datagram delay; otherwise all waiting hosts use the same room.

use std::collections::{HashMap, HashSet};

use super::{Load, REPORT_TTL_MS};
use crate::name;

/// Shortest interval between full reports, in milliseconds. Full reports make up for lost datagrams and token growth.
const FULL_INTERVAL_MS: u64 = 300;

/// Most datagrams per second that a host sends for full reports; with many hosts the interval grows.
const FULL_DATAGRAMS_PER_S: u64 = 200;

/// Interval of full reports while nothing changes, in milliseconds.
const REFRESH_MS: u64 = REPORT_TTL_MS / 3;

/// Interval between the full reports of a host to `peers` others, in milliseconds.
pub(super) fn full_interval_ms(peers: usize) -> u64 {
    FULL_INTERVAL_MS.max(peers as u64 * 1_000 / FULL_DATAGRAMS_PER_S)
}

/// Load from one host's requests, by server.
pub type Loads = HashMap<name::Server, Load>;

/// Position of a report in the sequence of its sender.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// Random number chosen at each start of the process.
    pub incarnation: u64,
    /// Sequence number of the report.
    pub sequence: u64,
}

impl Stamp {
    /// Whether a report with this stamp replaces one with `old`.
    ///
    /// ```
    /// use nutmeghead::load::Stamp;
    /// let (old, new) = (Stamp { incarnation: 1, sequence: 7 }, Stamp { incarnation: 1, sequence: 8 });
    /// assert!(new.supersedes(old) && !old.supersedes(new));
    /// ```
    pub fn supersedes(self, old: Self) -> bool {
        self.incarnation != old.incarnation || self.sequence > old.sequence
    }
}

/// A load report of one host: the load from its own requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Its position in the sequence.
    pub stamp: Stamp,
    /// Whether `loads` contains every server at which the sender has requests.
    pub full: bool,
    /// Load at the time of the report.
    pub loads: Loads,
}

/// Builds the load reports of one host.
#[derive(Debug)]
pub struct Reporter {
    stamp: Stamp,
    reported: Loads,
    reported_ms: u64,
    due_ms: u64,
}

impl Reporter {
    /// A reporter that has sent nothing. `incarnation` differs from that of any earlier process of this host.
    ///
    /// ```
    /// assert_eq!(nutmeghead::load::Reporter::new(7).due_ms(), 0);
    /// ```
    pub fn new(incarnation: u64) -> Self {
        Self {
            stamp: Stamp { incarnation, sequence: 0 },
            reported: Loads::new(),
            reported_ms: 0,
            due_ms: 0,
        }
    }

    /// When the next full report is due.
    pub fn due_ms(&self) -> u64 {
        self.due_ms
    }

    /// A full report to `peers` hosts, if the load differs from the last report or the refresh interval has passed.
    pub fn full_report(&mut self, local: &Loads, peers: usize, now_ms: u64) -> Option<Report> {
        self.due_ms = now_ms + full_interval_ms(peers);
        if *local == self.reported && now_ms.saturating_sub(self.reported_ms) < REFRESH_MS {
            return None;
        }
        (self.reported, self.reported_ms) = (local.clone(), now_ms);
        Some(Report { stamp: self.next(), full: true, loads: local.clone() })
    }

    /// A partial report of `servers`, at which requests began or ended. The caller sends it at once.
    pub fn partial_report(&mut self, local: &Loads, servers: HashSet<name::Server>) -> Report {
        let load = |server: &name::Server| local.get(server).copied().unwrap_or_default();
        let loads: Loads = servers.into_iter().map(|s| (s.clone(), load(&s))).collect();
        for (server, load) in &loads {
            match load.requests {
                0 => self.reported.remove(server),
                _ => self.reported.insert(server.clone(), *load),
            };
        }
        Report { stamp: self.next(), full: false, loads }
    }

    fn next(&mut self) -> Stamp {
        self.stamp.sequence += 1;
        self.stamp
    }
}
