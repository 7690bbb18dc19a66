//! Expected use of an engine's memory in the time ahead.

use super::length::Length;

/// Points in time ahead at which memory is predicted, in tokens of each generation.
pub(super) const HORIZON_TOKENS: [f64; 9] =
    [0.0, 64.0, 192.0, 448.0, 960.0, 1_984.0, 4_032.0, 8_128.0, 16_320.0];

/// Points, from the first, within which generations must fit together. Later ones can still be met by granting less.
const NEAR_POINTS: usize = 4;

/// Mean and variance of the memory in use at each point of [`HORIZON_TOKENS`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Projection {
    mean: [f64; HORIZON_TOKENS.len()],
    variance: [f64; HORIZON_TOKENS.len()],
    /// Memory that generations are expected to have given back by then.
    freed: [f64; HORIZON_TOKENS.len()],
}

impl Projection {
    /// Adds a generation that holds `held` tokens and produces at most `left` more.
    pub fn add(&mut self, length: &Length, held: f64, left: f64) {
        for (point, ahead) in HORIZON_TOKENS.into_iter().enumerate() {
            let size = held + ahead;
            let chance = if ahead > left { 0.0 } else { length.reaches()[point] };
            self.mean[point] += chance * size;
            self.variance[point] += chance * (1.0 - chance) * size * size;
            self.freed[point] += (1.0 - chance) * (held + ahead / 2.0);
        }
    }

    /// The sum of two projections of different generations.
    pub fn plus(&self, other: &Self) -> Self {
        Self {
            mean: std::array::from_fn(|i| self.mean[i] + other.mean[i]),
            variance: std::array::from_fn(|i| self.variance[i] + other.variance[i]),
            freed: std::array::from_fn(|i| self.freed[i] + other.freed[i]),
        }
    }

    /// Use at present, in tokens.
    pub fn now(&self) -> f64 {
        self.mean[0]
    }

    /// Largest use at a near point, `deviations` standard deviations above the mean, in tokens.
    pub fn peak(&self, deviations: f64) -> f64 {
        self.points(deviations).take(NEAR_POINTS).fold(0.0, f64::max)
    }

    /// Expected time until generations gave back `tokens`, in tokens of each generation; infinite if it is not foreseen.
    pub fn freed_after(&self, tokens: f64) -> f64 {
        let Some(point) = self.freed.iter().position(|freed| *freed >= tokens) else {
            return f64::INFINITY;
        };
        if point == 0 {
            return 0.0;
        }
        let (before, after) = (self.freed[point - 1], self.freed[point]);
        let (start, end) = (HORIZON_TOKENS[point - 1], HORIZON_TOKENS[point]);
        start + (end - start) * (tokens - before) / (after - before).max(1.0)
    }

    fn points(&self, deviations: f64) -> impl DoubleEndedIterator<Item = f64> + ExactSizeIterator {
        self.mean
            .iter()
            .zip(&self.variance)
            .map(move |(mean, variance)| mean + deviations * variance.sqrt())
    }
}
