//! Distribution of the lengths of generations, learned while they run.

use super::projection::HORIZON_TOKENS;

/// Buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Buckets up to 2^17 tokens.
const BUCKETS: usize = 68;
/// Generations that the prior counts for in each bucket.
const PRIOR_WEIGHT: f64 = 4.0;
/// Prior chance to end within a bucket of short lengths.
const PRIOR_SHORT: f64 = 0.01;
/// Prior chance to end within a bucket of longer lengths.
const PRIOR_LONG: f64 = 0.1;
/// First bucket of longer lengths: 64 tokens.
const PRIOR_LONG_BUCKET: usize = 24;
/// What is left of earlier observations after each further one.
const DECAY: f64 = 1.0 - 1.0 / 400.0;

/// Estimates how long a generation becomes, from how many reached each length and how many ended there. Generations
/// that still run count as far as they got, so that long ones are not missed until they end.
///
/// ```
/// let mut length = nutmeghead::admission::Length::new();
/// (0..500).for_each(|_| length.observe(100));
/// assert!(length.survival(0.0, 200.0) < 0.05);
/// ```
#[derive(Clone, Debug)]
pub struct Length {
    reached: [f64; BUCKETS],
    ended: [f64; BUCKETS],
    /// Natural logarithm of the chance to reach the bucket's beginning.
    log_survival: [f64; BUCKETS + 1],
    /// The chance to reach each point of the projection.
    reaches: [f64; HORIZON_TOKENS.len()],
}

impl Default for Length {
    fn default() -> Self {
        Self::new()
    }
}

impl Length {
    /// A distribution with a heavy tail and no observations.
    pub fn new() -> Self {
        let prior = |bucket| if bucket < PRIOR_LONG_BUCKET { PRIOR_SHORT } else { PRIOR_LONG };
        let mut length = Self {
            reached: [PRIOR_WEIGHT; BUCKETS],
            ended: std::array::from_fn(|bucket| PRIOR_WEIGHT * prior(bucket)),
            log_survival: [0.0; BUCKETS + 1],
            reaches: [1.0; HORIZON_TOKENS.len()],
        };
        length.refresh();
        length
    }

    /// The bucket of a length in tokens.
    pub(crate) fn bucket(tokens: f64) -> usize {
        (position(tokens) as usize).min(BUCKETS - 1)
    }

    /// Counts a generation that ended after `tokens` and was not counted by `pass`.
    pub fn observe(&mut self, tokens: u32) {
        self.end(0, f64::from(tokens));
    }

    /// Counts a running generation that got past the buckets `from..to`.
    pub(crate) fn pass(&mut self, from: usize, to: usize) {
        self.count(from, to);
        self.refresh();
    }

    /// Counts the end after `tokens` of a generation whose buckets before `from` were counted already.
    pub(crate) fn end(&mut self, from: usize, tokens: f64) {
        self.decay();
        let last = Self::bucket(tokens);
        self.count(from, last);
        self.reached[last] += 1.0;
        self.ended[last] += 1.0;
        self.refresh();
    }

    /// The chance that a generation that produced `produced` tokens goes on for `more` tokens.
    pub fn survival(&self, produced: f64, more: f64) -> f64 {
        (self.log_survival_at(produced + more) - self.log_survival_at(produced)).exp()
    }

    /// The chance of a new generation to reach each point of the projection.
    pub(super) fn reaches(&self) -> &[f64; HORIZON_TOKENS.len()] {
        &self.reaches
    }

    /// Tokens that a generation is expected to produce after `produced`, at most `limit`.
    pub fn remaining(&self, produced: f64, limit: f64) -> f64 {
        const STEPS: [f64; 10] =
            [0.0, 32.0, 128.0, 384.0, 768.0, 1_536.0, 3_072.0, 6_144.0, 12_288.0, 24_576.0];
        let mut sum = 0.0;
        for pair in STEPS.windows(2) {
            let width = pair[1].min(limit) - pair[0];
            if width <= 0.0 {
                break;
            }
            sum += width * self.survival(produced, pair[0] + width / 2.0);
        }
        sum
    }

    fn count(&mut self, from: usize, to: usize) {
        for reached in &mut self.reached[from..to.max(from)] {
            *reached += 1.0;
        }
    }

    fn decay(&mut self) {
        for bucket in 0..BUCKETS {
            let prior = if bucket < PRIOR_LONG_BUCKET { PRIOR_SHORT } else { PRIOR_LONG };
            self.reached[bucket] = self.reached[bucket] * DECAY + PRIOR_WEIGHT * (1.0 - DECAY);
            self.ended[bucket] = self.ended[bucket] * DECAY + PRIOR_WEIGHT * prior * (1.0 - DECAY);
        }
    }

    fn refresh(&mut self) {
        let mut sum = 0.0;
        for bucket in 0..BUCKETS {
            self.log_survival[bucket] = sum;
            let hazard = (self.ended[bucket] / self.reached[bucket]).clamp(1e-4, 0.98);
            sum += (1.0 - hazard).ln();
        }
        self.log_survival[BUCKETS] = sum;
        self.reaches = HORIZON_TOKENS.map(|tokens| self.survival(0.0, tokens));
    }

    fn log_survival_at(&self, tokens: f64) -> f64 {
        let position = position(tokens);
        let bucket = (position as usize).min(BUCKETS - 1);
        let within = (position - bucket as f64).min(1.0);
        let start = self.log_survival[bucket];
        start + (self.log_survival[bucket + 1] - start) * within
    }
}

/// The place of a length on the buckets' logarithmic scale.
fn position(tokens: f64) -> f64 {
    (tokens.max(0.0) + 1.0).log2() * BUCKETS_PER_OCTAVE
}
