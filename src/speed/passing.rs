//! Passing slowdowns that servers state: the present one of each, and how they are distributed over a service.

use std::collections::VecDeque;

/// Half-life of a server's statement, in milliseconds.
const HALF_LIFE_MS: f64 = 300.0;

/// Time after a server's last statement for which it counts, in milliseconds.
const TTL_MS: u64 = 2_000;

/// Weight of a statement that follows another at once.
const MIN_WEIGHT: f64 = 0.2;

/// Range of passing slowdowns. A wrong statement has at most this effect.
const RANGE: (f64, f64) = (0.25, 4.0);

/// Part by which a server's usual statement moves towards a higher one. Most statements are usual, and a lower one
/// replaces it at once.
const USUAL_RISE: f64 = 0.02;

/// Statements of a service that are kept, and for how long, in milliseconds.
const MAX_FIGURES: usize = 1_024;
const FIGURES_TTL_MS: u64 = 60_000;

/// Present slowdown of one server. Statements may or may not include a lasting difference from other servers, so they
/// are compared with the usual one of the same server.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Passing {
    value: f64,
    usual: f64,
    at_ms: Option<u64>,
}

impl Passing {
    /// Adds a statement, and returns it relative to the usual one of the server.
    pub(super) fn add(&mut self, stated: f64, now_ms: u64) -> f64 {
        let age_ms = self.at_ms.map(|at_ms| now_ms.saturating_sub(at_ms));
        let weight = match age_ms.filter(|age_ms| *age_ms <= TTL_MS) {
            None => 1.0,
            Some(age_ms) => (1.0 - (-(age_ms as f64) / HALF_LIFE_MS).exp2()).max(MIN_WEIGHT),
        };
        self.value += weight * (stated - self.value);
        self.usual = match age_ms {
            None => stated,
            Some(_) => stated.min(self.usual + USUAL_RISE * (stated - self.usual)),
        };
        self.at_ms = Some(now_ms);
        (stated / self.usual).clamp(RANGE.0, RANGE.1)
    }

    /// The stated time that work takes; 1 if the last statement is older than [`TTL_MS`].
    pub(super) fn stated(&self, now_ms: u64) -> f64 {
        let value = if self.is_current(now_ms) { self.value } else { 1.0 };
        value.clamp(RANGE.0, RANGE.1)
    }

    /// The time that work takes, relative to the usual time of the server; 1 if the last statement is older than
    /// [`TTL_MS`].
    pub(super) fn relative(&self, now_ms: u64) -> f64 {
        let value = if self.is_current(now_ms) { self.value / self.usual } else { 1.0 };
        value.clamp(RANGE.0, RANGE.1)
    }

    fn is_current(&self, now_ms: u64) -> bool {
        self.at_ms.is_some_and(|at_ms| now_ms.saturating_sub(at_ms) <= TTL_MS)
    }
}

/// The last statements of the servers of a service.
#[derive(Debug)]
pub(super) struct Figures {
    figures: VecDeque<(u64, f64)>,
    mean: f64,
    worst: f64,
}

impl Default for Figures {
    fn default() -> Self {
        Self { figures: VecDeque::new(), mean: 1.0, worst: 1.0 }
    }
}

impl Figures {
    pub(super) fn add(&mut self, relative: f64, now_ms: u64) {
        if self.figures.len() == MAX_FIGURES {
            self.figures.pop_front();
        }
        self.figures.push_back((now_ms, relative));
    }

    /// Updates the mean and the worst tenth.
    pub(super) fn refresh(&mut self, now_ms: u64) {
        self.figures.retain(|(at_ms, _)| now_ms.saturating_sub(*at_ms) < FIGURES_TTL_MS);
        let mut sorted: Vec<f64> = self.figures.iter().map(|(_, figure)| *figure).collect();
        sorted.sort_unstable_by(|a, b| b.total_cmp(a));
        let mean = |figures: &[f64]| figures.iter().sum::<f64>() / figures.len().max(1) as f64;
        if sorted.is_empty() {
            (self.mean, self.worst) = (1.0, 1.0);
            return;
        }
        self.mean = mean(&sorted);
        self.worst = mean(&sorted[..sorted.len().div_ceil(10)]);
    }

    /// Mean slowdown.
    pub(super) fn mean(&self) -> f64 {
        self.mean
    }

    /// Mean of the worst tenth, relative to the mean. Measured intervals include the mean already.
    pub(super) fn worst_to_mean(&self) -> f64 {
        self.worst / self.mean
    }
}
