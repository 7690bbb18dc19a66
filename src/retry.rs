//! Budgets for retries, so that they cannot multiply the load on back ends that are failing.

use std::collections::VecDeque;
use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Retries earned by each request.
const EARNED: f64 = 0.2;

/// Largest number of retries that can be saved.
const MAX_SAVED: f64 = 20.0;

/// Retries that may be made now.
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
        Self(Mutex::new(MAX_SAVED))
    }

    /// A request is made for the first time.
    pub fn earn(&self) {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + EARNED).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// assert!(nutmeghead::retry::Budget::new().spend());
    /// ```
    pub fn spend(&self) -> bool {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}

/// Parts that a window is counted in.
const WINDOW_PARTS: u64 = 20;

/// Part of the allowance that is spent. The rest covers requests that hosts count at slightly different times.
const SAFE_PART: f64 = 0.8;

/// This host's part of a budget that all hosts share: in any window, further attempts of a service are bounded by a
/// share of its requests and a fixed allowance. Each host spends the share of its own requests and an equal part of the
/// allowance, so no host needs to know what the others spend.
#[derive(Debug)]
pub struct Window {
    share: f64,
    allowance: f64,
    part_ms: u64,
    parts: VecDeque<Part>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Part {
    index: u64,
    requests: u32,
    retries: u32,
}

impl Window {
    /// A budget of `share` retries a request and `allowance` retries for all hosts in any `window_ms` milliseconds.
    pub fn new(share: f64, allowance: f64, window_ms: u64) -> Self {
        let part_ms = (window_ms / WINDOW_PARTS).max(1);
        Self { share, allowance, part_ms, parts: VecDeque::new() }
    }

    /// Counts a request.
    pub fn earn(&mut self, now_ms: u64) {
        self.part(now_ms).requests += 1;
    }

    /// Counts a further attempt that is made in any case.
    pub fn charge(&mut self, now_ms: u64) {
        self.part(now_ms).retries += 1;
    }

    /// Takes one retry, if this host's part of the budget of `hosts` hosts has one left.
    ///
    /// ```
    /// let mut window = nutmeghead::retry::Window::new(0.2, 10.0, 10_000);
    /// assert!(window.spend(0, Some(4)) && window.spend(0, Some(4)));
    /// assert!(!window.spend(0, Some(4)), "a quarter of ten, less a reserve");
    /// ```
    pub fn spend(&mut self, now_ms: u64, hosts: Option<usize>) -> bool {
        self.part(now_ms);
        let (requests, retries) = self.parts.iter().fold((0, 0), |(requests, retries), part| {
            (requests + part.requests, retries + part.retries)
        });
        let fixed = hosts.map_or(0.0, |hosts| self.allowance / hosts.max(1) as f64);
        let budget = (f64::from(requests) * self.share + fixed) * SAFE_PART;
        if f64::from(retries) + 1.0 > budget {
            return false;
        }
        self.charge(now_ms);
        true
    }

    /// The part for `now_ms`, after parts that left the window were dropped.
    fn part(&mut self, now_ms: u64) -> &mut Part {
        let index = now_ms / self.part_ms;
        while self.parts.front().is_some_and(|part| part.index + WINDOW_PARTS < index) {
            self.parts.pop_front();
        }
        if self.parts.back().is_none_or(|part| part.index < index) {
            self.parts.push_back(Part { index, ..Part::default() });
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
