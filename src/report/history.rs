//! Counts of good and all samples over time.

use std::collections::{HashMap, VecDeque};

use crate::document::Measure;
use crate::name;

use super::WINDOWS_S;

/// Time between two samples, in seconds.
pub const SAMPLE_INTERVAL_S: u64 = 60;

/// Samples kept, enough for the longest window.
const MAX_SAMPLES: usize = (WINDOWS_S[WINDOWS_S.len() - 1] / SAMPLE_INTERVAL_S) as usize + 1;

/// A measure of one workload and organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Flow {
    /// The workload.
    pub workload: name::Workload,
    /// The organisation.
    pub organisation: name::Organisation,
    /// The measure.
    pub measure: Measure,
}

/// Samples within the target and all samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Samples within the target.
    pub good: u64,
    /// All samples.
    pub total: u64,
}

impl Count {
    /// Adds what `other` counted.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// How many times faster than allowed the error budget burns, if `ratio` of all samples must be good. 1.0 uses the
    /// budget up exactly; 0.0 if there are no samples.
    ///
    /// ```
    /// use nutmeghead::report::Count;
    /// let burn = Count { good: 90, total: 100 }.burn(0.95);
    /// assert!((burn - 2.0).abs() < 1e-9);
    /// ```
    pub fn burn(self, ratio: f64) -> f64 {
        if self.total == 0 {
            return 0.0;
        }
        let bad = (self.total - self.good.min(self.total)) as f64 / self.total as f64;
        bad / (1.0 - ratio)
    }
}

/// Cumulative counts, sampled at regular times.
#[derive(Debug, Default)]
pub struct History {
    samples: VecDeque<(u64, HashMap<Flow, Count>)>,
}

impl History {
    /// Nothing was sampled.
    pub fn new() -> Self {
        Self::default()
    }

    /// Takes the cumulative counts at time `now_s`, in seconds.
    pub fn record(&mut self, now_s: u64, counts: HashMap<Flow, Count>) {
        self.samples.push_back((now_s, counts));
        if self.samples.len() > MAX_SAMPLES {
            self.samples.pop_front();
        }
    }

    /// What was counted in the last `window_s` seconds before the newest sample. Flows without samples are left out.
    pub fn window(&self, window_s: u64) -> HashMap<Flow, Count> {
        let Some((newest_s, newest)) = self.samples.back() else { return HashMap::new() };
        self.window_until(*newest_s, window_s, newest)
    }

    /// What was counted in the last `window_s` seconds before `now_s`, at which the cumulative counts are `newest`.
    pub fn window_until(
        &self,
        now_s: u64,
        window_s: u64,
        newest: &HashMap<Flow, Count>,
    ) -> HashMap<Flow, Count> {
        let begin_s = now_s.saturating_sub(window_s);
        let before = self.samples.iter().rev().find(|(at_s, _)| *at_s <= begin_s);
        let counts = newest.iter().map(|(flow, count)| {
            let old = before.and_then(|(_, old)| old.get(flow)).copied().unwrap_or_default();
            let good = count.good.saturating_sub(old.good);
            (flow.clone(), Count { good, total: count.total.saturating_sub(old.total) })
        });
        counts.filter(|(_, count)| count.total > 0).collect()
    }
}
