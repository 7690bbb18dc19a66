//! Cumulative counts of good samples and of all samples over time.

use std::collections::{HashMap, VecDeque};

use crate::document::Measure;
use crate::name;

use super::WINDOWS_S;

/// Interval between records of the counts, in seconds.
pub const RECORD_INTERVAL_S: u64 = 60;

/// Maximum number of records in the history: enough for the longest window.
const MAX_RECORDS: usize = (WINDOWS_S[WINDOWS_S.len() - 1] / RECORD_INTERVAL_S) as usize + 1;

/// Identifies the counts of one measure for one workload and organisation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Series {
    /// The workload.
    pub workload: name::Workload,
    /// The organisation.
    pub organisation: name::Organisation,
    /// The measure.
    pub measure: Measure,
}

/// Number of good samples and of all samples.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Count {
    /// Samples within the target.
    pub good: u64,
    /// All samples.
    pub total: u64,
}

impl Count {
    /// Adds the counts of `other`.
    pub fn add(&mut self, other: Self) {
        self.good += other.good;
        self.total += other.total;
    }

    /// Burn rate of the error budget, as a multiple of the allowed rate, if the fraction `ratio` of all samples must be
    /// good. At 1.0 the budget is used up exactly; 0.0 if there are no samples.
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

/// Cumulative counts, recorded at regular times.
#[derive(Debug, Default)]
pub struct History {
    records: VecDeque<(u64, HashMap<Series, Count>)>,
}

impl History {
    /// Creates an empty history.
    pub fn new() -> Self {
        Self::default()
    }

    /// Records the cumulative counts at time `now_s`, in seconds. Drops the oldest record if there are too many.
    pub fn record(&mut self, now_s: u64, counts: HashMap<Series, Count>) {
        self.records.push_back((now_s, counts));
        if self.records.len() > MAX_RECORDS {
            self.records.pop_front();
        }
    }

    /// Counts of the `window_s` seconds before the newest record. Series without samples in the window are omitted.
    pub fn window(&self, window_s: u64) -> HashMap<Series, Count> {
        let Some((newest_s, newest)) = self.records.back() else { return HashMap::new() };
        self.window_until(*newest_s, window_s, newest)
    }

    /// Counts of the `window_s` seconds before `now_s`, where `newest` are the cumulative counts at `now_s`.
    pub fn window_until(
        &self,
        now_s: u64,
        window_s: u64,
        newest: &HashMap<Series, Count>,
    ) -> HashMap<Series, Count> {
        let begin_s = now_s.saturating_sub(window_s);
        let base = self.records.iter().rev().find(|(at_s, _)| *at_s <= begin_s);
        let counts = newest.iter().map(|(series, count)| {
            let old = base.and_then(|(_, old)| old.get(series)).copied().unwrap_or_default();
            let good = count.good.saturating_sub(old.good);
            (series.clone(), Count { good, total: count.total.saturating_sub(old.total) })
        });
        counts.filter(|(_, count)| count.total > 0).collect()
    }
}
