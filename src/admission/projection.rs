//! Projected memory use of an engine.

use super::length::Distribution;

/// Future points in time at which memory use is predicted, in tokens produced by each generation from now on.
pub(super) const HORIZON_TOKENS: [f64; 9] =
    [0.0, 64.0, 192.0, 448.0, 960.0, 1_984.0, 4_032.0, 8_128.0, 16_320.0];

/// Number of points, from the first, at which all generations must fit into memory. Use at later points can still be
/// reduced by granting fewer permits.
const NEAR_POINTS: usize = 4;

/// Mean and variance of the memory in use at each point of [`HORIZON_TOKENS`].
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Projection {
    mean: [f64; HORIZON_TOKENS.len()],
    variance: [f64; HORIZON_TOKENS.len()],
    /// Memory expected to be freed by each point.
    freed: [f64; HORIZON_TOKENS.len()],
}

impl Projection {
    /// Adds a generation that uses `used` tokens of memory and produces at most `remaining` more.
    pub fn add(&mut self, lengths: &Distribution, used: f64, remaining: f64) {
        for (point, ahead) in HORIZON_TOKENS.into_iter().enumerate() {
            let size = used + ahead;
            let survival = if ahead > remaining { 0.0 } else { lengths.horizon_survival()[point] };
            self.mean[point] += survival * size;
            self.variance[point] += survival * (1.0 - survival) * size * size;
            self.freed[point] += (1.0 - survival) * (used + ahead / 2.0);
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

    /// Current memory use, in tokens.
    pub fn now(&self) -> f64 {
        self.mean[0]
    }

    /// Highest memory use at the first [`NEAR_POINTS`] points, `deviations` standard deviations above the mean, in
    /// tokens.
    pub fn peak(&self, deviations: f64) -> f64 {
        self.points(deviations).take(NEAR_POINTS).fold(0.0, f64::max)
    }

    /// Expected time until `tokens` of memory are freed, in tokens produced by each generation; infinite if that is
    /// beyond the last point.
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
