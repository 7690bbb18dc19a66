//! Servers that accept connections and then break off the requests that they are sent.
//!
//! Such a server has hardly any open requests, so that all hosts choose it, and each request that must not be repeated is
//! lost there. One host alone finds out with its own requests, and again after each pause. The hosts therefore tell each
//! other of requests that a server broke off. The server is set aside until it responds to a trial; trials follow each
//! other at growing intervals, one host after the other, preferably with requests that may be repeated.

use std::collections::HashMap;

use crate::name;

#[cfg(test)]
mod tests;

/// Other hosts that a server has to break off requests of until this host sets it aside as well. A host that was cut off
/// sees all servers break off its requests.
const MIN_WITNESSES: usize = 2;

/// Most hosts that are remembered as witnesses of one server.
const MAX_WITNESSES: usize = 8;

/// Time until the first trial, in milliseconds. It doubles with each trial that fails.
const FIRST_INTERVAL_MS: u64 = 500;

/// Number of failed trials after which the interval does not grow any more: at 4 s.
const MAX_DOUBLINGS: u32 = 3;

/// Time after which the next host tries a server, if it has heard of no trial, in milliseconds: a request and a message take
/// less.
const TURN_MS: u64 = 25;

/// Divisor of the number of servers that gives how many of them are set aside at most. Where more servers break off requests,
/// the cause is elsewhere, and the others could not take their load.
const MAX_SET_ASIDE_DIVISOR: usize = 3;

/// How many of `servers` may be set aside: one of two or more, at least.
///
/// ```
/// use nutmeghead::suspicion::max_set_aside;
/// assert_eq!((max_set_aside(1), max_set_aside(4), max_set_aside(60)), (0, 1, 20));
/// ```
pub fn max_set_aside(servers: usize) -> usize {
    if servers < 2 { 0 } else { (servers / MAX_SET_ASIDE_DIVISOR).max(1) }
}

/// What is known of the requests that a server broke off since its last response.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct State {
    /// Requests of this host.
    own_breaks: u32,
    /// Requests of other hosts.
    witnesses: HashMap<name::Host, u32>,
    failed_trials: u32,
    /// When the first host may try the server, in milliseconds.
    trial_ms: u64,
    /// Position of this host among those that try it in turn.
    turn: u64,
    /// Whether this host's last request there was a trial that has not ended yet.
    is_tried: bool,
    /// When the last break was recorded, in milliseconds.
    broke_ms: u64,
}

impl State {
    /// A server that broke off nothing.
    ///
    /// ```
    /// use nutmeghead::suspicion::State;
    /// let mut state = State::new();
    /// state.record_break(0, 1_000);
    /// assert!(state.is_set_aside(true, 1_100));
    /// assert!(!state.is_set_aside(true, 1_500));
    /// assert!(state.record_response(1_500));
    /// assert!(!state.is_set_aside(false, 1_100));
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether nothing is known against the server.
    pub fn is_clear(&self) -> bool {
        self.own_breaks == 0 && self.witnesses.is_empty()
    }

    /// Whether the server broke off requests, by this host's own or by enough others.
    pub fn is_suspected(&self) -> bool {
        self.own_breaks > 0 || self.witnesses.len() >= MIN_WITNESSES
    }

    /// Whether the server gets no request of this host now. One that may be repeated is the trial when this host's turn has
    /// come, another one if there was no such request for as long again.
    pub fn is_set_aside(&self, may_repeat: bool, now_ms: u64) -> bool {
        let patience_ms = if may_repeat { 0 } else { self.interval_ms() };
        self.is_suspected() && now_ms < self.trial_ms + patience_ms + self.turn * TURN_MS
    }

    /// Records that the server broke off a request of this host, which is at position `turn` among those that try it. Returns
    /// how many it broke off since its last response, for the other hosts.
    pub fn record_break(&mut self, turn: usize, now_ms: u64) -> u32 {
        let was_suspected = self.is_suspected();
        self.own_breaks = self.own_breaks.saturating_add(1);
        self.schedule_trial(was_suspected, turn, now_ms);
        self.own_breaks
    }

    /// Records that another host has seen the server break off `breaks` requests since its last response. Returns whether that
    /// was not known.
    pub fn hear_break(&mut self, host: &name::Host, breaks: u32, turn: usize, now_ms: u64) -> bool {
        let known = self.witnesses.get(host).copied().unwrap_or(0);
        if known >= breaks || (known == 0 && self.witnesses.len() >= MAX_WITNESSES) {
            return false;
        }
        let was_suspected = self.is_suspected();
        self.witnesses.insert(host.clone(), breaks);
        self.schedule_trial(was_suspected, turn, now_ms);
        true
    }

    /// Records a response to a request that was sent at `sent_ms`. Returns whether it clears the server, which other hosts
    /// should know: a response to an earlier request than the last one that was broken off does not.
    pub fn record_response(&mut self, sent_ms: u64) -> bool {
        let is_cleared = !self.is_clear() && sent_ms >= self.broke_ms;
        if is_cleared {
            *self = Self::default();
        }
        is_cleared
    }

    /// Records that another host got a response. Returns whether something was known against the server.
    pub fn hear_response(&mut self) -> bool {
        std::mem::take(self) != Self::default()
    }

    /// Records that this host sends the server a request. Its next trial is an interval later.
    pub fn record_sent(&mut self, now_ms: u64) {
        if self.is_suspected() {
            self.is_tried = true;
            self.trial_ms = now_ms + self.interval_ms();
        }
    }

    /// Sets the time of the next trial. Requests that were sent before the server was set aside are no trials.
    fn schedule_trial(&mut self, was_suspected: bool, turn: usize, now_ms: u64) {
        self.turn = turn as u64;
        self.broke_ms = now_ms;
        let is_trial = std::mem::take(&mut self.is_tried) || now_ms >= self.trial_ms;
        if was_suspected && !is_trial {
            return;
        }
        if was_suspected {
            self.failed_trials = (self.failed_trials + 1).min(MAX_DOUBLINGS);
        }
        self.trial_ms = now_ms + self.interval_ms();
    }

    fn interval_ms(&self) -> u64 {
        FIRST_INTERVAL_MS << self.failed_trials
    }
}
