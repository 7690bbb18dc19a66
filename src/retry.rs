//! Retry budgets, which keep retries from multiplying the load on failing servers.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Retries added to the budget by each request.
const RETRIES_PER_REQUEST: f64 = 0.2;

/// Most retries that the budget holds.
const MAX_RETRIES: f64 = 20.0;

/// A token bucket of the retries of one host.
#[derive(Debug)]
pub struct Budget(Mutex<f64>);

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A full budget.
    pub fn new() -> Self {
        Self(Mutex::new(MAX_RETRIES))
    }

    /// Counts the first attempt of a request.
    pub fn count_request(&self) {
        let mut available = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *available = (*available + RETRIES_PER_REQUEST).min(MAX_RETRIES);
    }

    /// Uses one retry and returns whether one was available.
    ///
    /// ```
    /// assert!(nutmeghead::retry::Budget::new().try_retry());
    /// ```
    pub fn try_retry(&self) -> bool {
        let mut available = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if *available < 1.0 {
            return false;
        }
        *available -= 1.0;
        true
    }
}

/// Counting intervals per window.
const INTERVALS_PER_WINDOW: u64 = 20;

/// Fraction of the budget that is used. The rest covers requests that hosts count at slightly different times.
const SAFE_FRACTION: f64 = 0.8;

/// This host's portion of a retry budget that all hosts share, over a sliding window.
///
/// In any window, the retries of a service are limited to a ratio of its requests plus a fixed slack. Each host uses
/// the ratio of its own requests and an equal portion of the slack, so hosts do not need to exchange retry counts.
#[derive(Debug)]
pub struct SharedBudget {
    ratio: f64,
    slack: f64,
    interval_ms: u64,
    intervals: VecDeque<Interval>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Interval {
    index: u64,
    requests: u32,
    retries: u32,
}

impl SharedBudget {
    /// A budget of `ratio` retries per request, plus `slack` retries of all hosts, in any `window_ms` milliseconds.
    pub fn new(ratio: f64, slack: f64, window_ms: u64) -> Self {
        let interval_ms = (window_ms / INTERVALS_PER_WINDOW).max(1);
        Self { ratio, slack, interval_ms, intervals: VecDeque::new() }
    }

    /// Counts a request.
    pub fn count_request(&mut self, now_ms: u64) {
        self.interval(now_ms).requests += 1;
    }

    /// Counts a retry that is made regardless of the budget.
    pub fn count_retry(&mut self, now_ms: u64) {
        self.interval(now_ms).retries += 1;
    }

    /// Uses one retry of this host's portion of the budget of `hosts` hosts, and returns whether one was available.
    /// If the number of hosts is unknown, the slack is not used.
    ///
    /// ```
    /// let mut budget = nutmeghead::retry::SharedBudget::new(0.2, 10.0, 10_000);
    /// assert!(budget.try_retry(0, Some(4)) && budget.try_retry(0, Some(4)));
    /// assert!(!budget.try_retry(0, Some(4)), "a quarter of ten, less a reserve");
    /// ```
    pub fn try_retry(&mut self, now_ms: u64, hosts: Option<usize>) -> bool {
        self.interval(now_ms);
        let (requests, retries) =
            self.intervals.iter().fold((0, 0), |(requests, retries), interval| {
                (requests + interval.requests, retries + interval.retries)
            });
        let fixed = hosts.map_or(0.0, |hosts| self.slack / hosts.max(1) as f64);
        let budget = (f64::from(requests) * self.ratio + fixed) * SAFE_FRACTION;
        if f64::from(retries) + 1.0 > budget {
            return false;
        }
        self.count_retry(now_ms);
        true
    }

    /// The interval of `now_ms`, after intervals that left the window were removed.
    fn interval(&mut self, now_ms: u64) -> &mut Interval {
        let index = now_ms / self.interval_ms;
        while self
            .intervals
            .front()
            .is_some_and(|interval| interval.index + INTERVALS_PER_WINDOW < index)
        {
            self.intervals.pop_front();
        }
        if self.intervals.back().is_none_or(|interval| interval.index < index) {
            self.intervals.push_back(Interval { index, ..Interval::default() });
        }
        let last = self.intervals.len() - 1;
        &mut self.intervals[last]
    }
}
