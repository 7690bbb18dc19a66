//! Engines that are cold: how long each of them stays cold, and the share of one host in the requests that a cold engine
//! gets from all hosts together.
//!
//! The share of a host is such that the bound holds in any one second for any alignment of the hosts' requests, and also
//! if all hosts consider each other dead: see [`Plan`].

use crate::rate::{Limit, Share};

#[cfg(test)]
mod tests;

/// Longest time for which an engine is cold, in milliseconds. Longer statements are shortened to it.
const MAX_LEFT_MS: u64 = 600_000;

/// A later end of the cold time by more than this is news, in milliseconds. Statements of one end differ by the time that
/// an entry or a message takes.
const NEWS_MS: u64 = 1_000;

/// Time after this host learnt that an engine is cold in which a response does not shorten the cold time, in milliseconds:
/// the engine may have been asked before it became cold.
const SETTLE_MS: u64 = 2_000;

/// The hosts' requests use at most this part of the bound. The rest is for continuations, which are sent in any case.
const BUDGET: f64 = 0.92;

/// The budget divided by the number of hosts that may send at all: some hosts know fewer hosts than there are, and believe
/// that they are among these.
const DISAGREEMENT: f64 = 1.1;

/// The limit is at most the bound divided by this.
const MIN_MARGIN: f64 = 1.5;

/// Shortest time between two requests of a host, if it may send one a second, in milliseconds. Longer than a second, as two
/// requests may arrive closer together than they were sent.
const WINDOW_MS: f64 = 1_050.0;

/// How long one engine stays cold.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct State {
    until_ms: u64,
    /// When this host last learnt of a later end, in milliseconds.
    learnt_ms: u64,
    /// The time left in the last entry, in milliseconds.
    entry_left_ms: u64,
}

impl State {
    /// An engine whose first entry states that it is cold for `left_ms` from `now_ms`.
    ///
    /// ```
    /// let state = nutmeghead::cold::State::new(900, 5_000);
    /// assert!(state.is_cold(5_899) && !state.is_cold(5_900));
    /// ```
    pub fn new(left_ms: u64, now_ms: u64) -> Self {
        let left_ms = left_ms.min(MAX_LEFT_MS);
        Self { until_ms: now_ms + left_ms, learnt_ms: now_ms, entry_left_ms: left_ms }
    }

    /// Until when the engine is cold, in milliseconds.
    pub fn until_ms(&self) -> u64 {
        self.until_ms
    }

    /// Whether the engine is cold.
    pub fn is_cold(&self, now_ms: u64) -> bool {
        now_ms < self.until_ms
    }

    /// Applies a later entry of the same incarnation. Only a time left that rises counts: an entry may be read repeatedly,
    /// and late. Returns whether the engine is cold again.
    pub fn read_entry(&mut self, left_ms: u64, now_ms: u64) -> bool {
        let left_ms = left_ms.min(MAX_LEFT_MS);
        let rises = left_ms > std::mem::replace(&mut self.entry_left_ms, left_ms);
        rises && self.is_news(left_ms, now_ms) && self.extend(left_ms, now_ms)
    }

    /// Applies the time left that the engine states in the response to a request sent at `sent_ms`. Returns whether the
    /// engine is cold again.
    pub fn observe(&mut self, left_ms: u64, sent_ms: u64, now_ms: u64) -> bool {
        let until_ms = now_ms + left_ms.min(MAX_LEFT_MS);
        if until_ms + NEWS_MS < self.until_ms && sent_ms >= self.learnt_ms + SETTLE_MS {
            self.until_ms = until_ms;
            return false;
        }
        self.extend(left_ms, now_ms)
    }

    /// Applies the time left that another host tells, or that follows from the end of an evacuation. Returns whether the
    /// engine is cold again.
    pub fn extend(&mut self, left_ms: u64, now_ms: u64) -> bool {
        let left_ms = left_ms.min(MAX_LEFT_MS);
        let is_news = self.is_news(left_ms, now_ms);
        if now_ms + left_ms > self.until_ms {
            (self.until_ms, self.learnt_ms) = (now_ms + left_ms, now_ms);
        }
        is_news
    }

    fn is_news(&self, left_ms: u64, now_ms: u64) -> bool {
        left_ms > 0 && now_ms + left_ms > self.until_ms + NEWS_MS
    }
}

/// What the operators guarantee of the requests that a cold engine gets in any second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Multiple of the engine's requests a second.
    pub over: f64,
    /// Requests in addition.
    pub slack: f64,
}

impl Default for Bound {
    fn default() -> Self {
        Self { over: 1.5, slack: 5.0 }
    }
}

impl Bound {
    /// The most requests of all hosts in any second, for an engine that takes `limit` while it is cold.
    ///
    /// ```
    /// use nutmeghead::{cold::Bound, rate::Limit};
    /// assert_eq!(Limit::new(26.0).map(|limit| Bound::default().requests(limit)), Some(44.0));
    /// ```
    pub fn requests(self, limit: Limit) -> f64 {
        limit.per_s() * self.over + self.slack
    }

    /// The limit that the hosts share: that of the engine, or less if the bound is narrow.
    pub fn shared_limit(self, limit: Limit) -> Limit {
        Limit::new(limit.per_s().min(self.requests(limit) / MIN_MARGIN)).unwrap_or(limit)
    }
}

/// The position of a host among those that may send to a server.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Standing {
    /// Listed hosts that come before this one, live or not.
    pub rank: usize,
    /// Live hosts that come before this one.
    pub live_rank: usize,
    /// Listed hosts.
    pub listed: usize,
    /// Live hosts among the first listed ones that may send, this one included.
    pub live: usize,
}

/// Which hosts send to a cold engine, and how often.
///
/// The first hosts by rank among all listed ones are candidates, as many as the bound allows with one request a second
/// each, or fewer with more requests each. Of these, the first live ones send. A host that wrongly considers others dead
/// is at most one of the candidates, at the rate that the bound allows each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Plan {
    /// The first hosts by rank that may send.
    pub candidates: usize,
    /// Shortest time between two requests of one host, in milliseconds.
    pub spacing_ms: u64,
}

impl Plan {
    /// The plan for an engine that takes `limit`, with `listed` hosts.
    ///
    /// ```
    /// use nutmeghead::{cold::{Bound, Plan}, rate::Limit};
    /// let plan = Limit::new(26.0).map(|limit| Plan::new(limit, Bound::default(), 295));
    /// assert_eq!(plan.map(|plan| plan.candidates), Some(36));
    /// ```
    pub fn new(limit: Limit, bound: Bound, listed: usize) -> Self {
        let budget = (bound.requests(limit) * BUDGET).max(1.0);
        let candidates = listed.clamp(1, (budget / DISAGREEMENT).max(1.0) as usize);
        let per_window = (budget as usize / candidates).max(1);
        Self { candidates, spacing_ms: (WINDOW_MS / per_window as f64) as u64 }
    }

    /// The share of a host with `standing` in `limit`.
    pub fn share(self, limit: Limit, standing: Standing) -> Share {
        let Standing { rank, live_rank, listed, live } = standing;
        let senders = limit.senders(listed);
        let is_sender = rank < self.candidates && live_rank < senders;
        Share { senders: senders.min(live.max(1)), is_sender }
    }
}
