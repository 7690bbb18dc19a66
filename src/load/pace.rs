//! When a host tells the others of its open requests.
//!
//! Load: at the limit of the engines' memory, requests wait at many hosts for the same room. Whoever takes it has to
//! say so within the time of a datagram, or all of them take it.

use std::collections::{HashMap, HashSet};

use super::{SHARE_LIFETIME_MS, Share};
use crate::name;

/// Shortest time between two messages that state everything, in milliseconds. They correct what was lost or has grown.
const WHOLE_INTERVAL_MS: u64 = 300;

/// Datagrams a second that the messages which state everything may cost a host; with many hosts they become rarer.
const WHOLE_DATAGRAMS_PER_S: u64 = 200;

/// Time after which a host without news states everything again, in milliseconds.
const REPEAT_MS: u64 = SHARE_LIFETIME_MS / 3;

/// Open requests of a host, by server.
pub type Shares = HashMap<name::Server, Share>;

/// Which message of which life of a host something was told in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Stamp {
    /// A random number, new at each start of the process.
    pub life: u64,
    /// The number of the message.
    pub number: u64,
}

impl Stamp {
    /// Whether a message with this stamp is newer than one with `old`.
    ///
    /// ```
    /// use nutmeghead::load::Stamp;
    /// let (old, new) = (Stamp { life: 1, number: 7 }, Stamp { life: 1, number: 8 });
    /// assert!(new.supersedes(old) && !old.supersedes(new));
    /// ```
    pub fn supersedes(self, old: Self) -> bool {
        self.life != old.life || self.number > old.number
    }
}

/// What to tell the other hosts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct News {
    /// Which message it is.
    pub stamp: Stamp,
    /// Whether servers that are not named have none of this host's requests.
    pub whole: bool,
    /// Open requests as they are now.
    pub shares: Shares,
}

/// Decides when a host tells what.
#[derive(Debug)]
pub struct Pace {
    stamp: Stamp,
    told: Shares,
    told_ms: u64,
    due_ms: u64,
}

impl Pace {
    /// Nothing was told yet. `life` differs from that of any earlier process of this host.
    ///
    /// ```
    /// assert_eq!(nutmeghead::load::Pace::new(7).due_ms(), 0);
    /// ```
    pub fn new(life: u64) -> Self {
        Self { stamp: Stamp { life, number: 0 }, told: Shares::new(), told_ms: 0, due_ms: 0 }
    }

    /// When everything is due to be told.
    pub fn due_ms(&self) -> u64 {
        self.due_ms
    }

    /// Everything, if it differs from what was told or was not told for long; `peers` hosts will hear it.
    pub fn whole(&mut self, own: &Shares, peers: usize, now_ms: u64) -> Option<News> {
        let interval_ms = WHOLE_INTERVAL_MS.max(peers as u64 * 1_000 / WHOLE_DATAGRAMS_PER_S);
        self.due_ms = now_ms + interval_ms;
        if *own == self.told && now_ms.saturating_sub(self.told_ms) < REPEAT_MS {
            return None;
        }
        (self.told, self.told_ms) = (own.clone(), now_ms);
        Some(News { stamp: self.next(), whole: true, shares: own.clone() })
    }

    /// What has begun or ended at `servers`, to be told at once.
    pub fn changes(&mut self, own: &Shares, servers: HashSet<name::Server>) -> News {
        let share = |server: &name::Server| own.get(server).copied().unwrap_or_default();
        let shares: Shares = servers.into_iter().map(|s| (s.clone(), share(&s))).collect();
        for (server, share) in &shares {
            match share.requests {
                0 => self.told.remove(server),
                _ => self.told.insert(server.clone(), *share),
            };
        }
        News { stamp: self.next(), whole: false, shares }
    }

    fn next(&mut self) -> Stamp {
        self.stamp.number += 1;
        self.stamp
    }
}
