//! Longest pauses of generations, relative to the mean interval between events at the same server.

use std::collections::VecDeque;

/// Samples that are kept, and for how long, in milliseconds.
const MAX_RATIOS: usize = 1_024;
const TTL_MS: u64 = 60_000;

/// Fewest samples from which a ratio is derived.
const MIN_RATIOS: usize = 50;

/// Longest pauses of the last samples of a service. Each covers about a second.
#[derive(Debug, Default)]
pub(super) struct Tail {
    ratios: VecDeque<(u64, f64)>,
    ratio: Option<f64>,
}

impl Tail {
    pub(super) fn add(&mut self, ratio: f64, now_ms: u64) {
        if self.ratios.len() == MAX_RATIOS {
            self.ratios.pop_front();
        }
        self.ratios.push_back((now_ms, ratio));
    }

    /// Updates the ratio.
    pub(super) fn refresh(&mut self, now_ms: u64) {
        self.ratios.retain(|(at_ms, _)| now_ms.saturating_sub(*at_ms) < TTL_MS);
        if self.ratios.len() < MIN_RATIOS {
            self.ratio = None;
            return;
        }
        let mut ratios: Vec<f64> = self.ratios.iter().map(|(_, ratio)| *ratio).collect();
        let index = ratios.len() * 9 / 10;
        let (_, ratio, _) = ratios.select_nth_unstable_by(index, f64::total_cmp);
        self.ratio = Some(*ratio);
    }

    /// The longest pause within a second in the worst tenth of the samples, relative to the mean interval; `None` before
    /// enough was measured. A quantile, because pauses for other reasons may be of any length.
    pub(super) fn ratio(&self) -> Option<f64> {
        self.ratio
    }
}
