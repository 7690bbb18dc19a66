//! Distribution of generation lengths, learned while generations run.

use super::projection::HORIZON_TOKENS;

/// Number of buckets per doubling of the length.
const BUCKETS_PER_OCTAVE: f64 = 4.0;
/// Number of buckets; covers lengths up to 2^17 tokens.
const BUCKETS: usize = 68;
/// Weight of the prior in each bucket, in generations.
const PRIOR_WEIGHT: f64 = 4.0;
/// Prior probability that a generation ends within a bucket of short lengths.
const PRIOR_HAZARD_SHORT: f64 = 0.01;
/// Prior probability that a generation ends within a bucket of long lengths.
const PRIOR_HAZARD_LONG: f64 = 0.1;
/// First bucket of long lengths, at 64 tokens.
const FIRST_LONG_BUCKET: usize = 24;
/// Factor by which the weight of earlier observations falls with each new one.
const DECAY: f64 = 1.0 - 1.0 / 400.0;

/// Estimates the length of generations from how many reached each length and how many ended there. Running generations
/// count up to their current length, so that long ones are observed before they end.
///
/// ```
/// let mut lengths = nutmeghead::admission::length::Distribution::new();
/// (0..500).for_each(|_| lengths.observe(100));
/// assert!(lengths.survival(0.0, 200.0) < 0.05);
/// ```
#[derive(Clone, Debug)]
pub struct Distribution {
    reached: [f64; BUCKETS],
    ended: [f64; BUCKETS],
    /// Natural logarithm of the probability of reaching the start of each bucket.
    log_survival: [f64; BUCKETS + 1],
    /// Probability that a new generation reaches each point of the projection.
    horizon_survival: [f64; HORIZON_TOKENS.len()],
}

impl Default for Distribution {
    fn default() -> Self {
        Self::new()
    }
}

impl Distribution {
    /// A heavy-tailed distribution without observations.
    pub fn new() -> Self {
        let prior = |bucket| {
            if bucket < FIRST_LONG_BUCKET { PRIOR_HAZARD_SHORT } else { PRIOR_HAZARD_LONG }
        };
        let mut lengths = Self {
            reached: [PRIOR_WEIGHT; BUCKETS],
            ended: std::array::from_fn(|bucket| PRIOR_WEIGHT * prior(bucket)),
            log_survival: [0.0; BUCKETS + 1],
            horizon_survival: [1.0; HORIZON_TOKENS.len()],
        };
        lengths.recompute();
        lengths
    }

    /// The bucket of a length in tokens.
    pub(crate) fn bucket(tokens: f64) -> usize {
        (bucket_position(tokens) as usize).min(BUCKETS - 1)
    }

    /// Records a generation that ended after `tokens` and whose progress was not recorded.
    pub fn observe(&mut self, tokens: u32) {
        self.record_end(0, f64::from(tokens));
    }

    /// Records that a running generation has passed the buckets `from..to`.
    pub(crate) fn record_progress(&mut self, from: usize, to: usize) {
        self.count_reached(from, to);
        self.recompute();
    }

    /// Records that a generation ended after `tokens`. Its progress is already recorded for the buckets before `from`.
    pub(crate) fn record_end(&mut self, from: usize, tokens: f64) {
        self.decay();
        let last = Self::bucket(tokens);
        self.count_reached(from, last);
        self.reached[last] += 1.0;
        self.ended[last] += 1.0;
        self.recompute();
    }

    /// The probability that a generation that has produced `produced` tokens produces at least `more` further tokens.
    pub fn survival(&self, produced: f64, more: f64) -> f64 {
        (self.log_survival_at(produced + more) - self.log_survival_at(produced)).exp()
    }

    /// The probability that a new generation reaches each point of the projection.
    pub(super) fn horizon_survival(&self) -> &[f64; HORIZON_TOKENS.len()] {
        &self.horizon_survival
    }

    /// Expected number of further tokens of a generation that has produced `produced` tokens, if it produces at most
    /// `limit` more.
    pub fn expected_remaining(&self, produced: f64, limit: f64) -> f64 {
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

    fn count_reached(&mut self, from: usize, to: usize) {
        for reached in &mut self.reached[from..to.max(from)] {
            *reached += 1.0;
        }
    }

    fn decay(&mut self) {
        for bucket in 0..BUCKETS {
            let prior =
                if bucket < FIRST_LONG_BUCKET { PRIOR_HAZARD_SHORT } else { PRIOR_HAZARD_LONG };
            self.reached[bucket] = self.reached[bucket] * DECAY + PRIOR_WEIGHT * (1.0 - DECAY);
            self.ended[bucket] = self.ended[bucket] * DECAY + PRIOR_WEIGHT * prior * (1.0 - DECAY);
        }
    }

    fn recompute(&mut self) {
        let mut sum = 0.0;
        for bucket in 0..BUCKETS {
            self.log_survival[bucket] = sum;
            let hazard = (self.ended[bucket] / self.reached[bucket]).clamp(1e-4, 0.98);
            sum += (1.0 - hazard).ln();
        }
        self.log_survival[BUCKETS] = sum;
        self.horizon_survival = HORIZON_TOKENS.map(|tokens| self.survival(0.0, tokens));
    }

    fn log_survival_at(&self, tokens: f64) -> f64 {
        let position = bucket_position(tokens);
        let bucket = (position as usize).min(BUCKETS - 1);
        let within = (position - bucket as f64).min(1.0);
        let start = self.log_survival[bucket];
        start + (self.log_survival[bucket + 1] - start) * within
    }
}

/// The position of a length on the logarithmic scale of the buckets; the integer part is the bucket.
fn bucket_position(tokens: f64) -> f64 {
    (tokens.max(0.0) + 1.0).log2() * BUCKETS_PER_OCTAVE
}
