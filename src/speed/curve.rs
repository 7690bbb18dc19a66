//! Interval between two events of a generation at the median server of a service, by the server's load.
//!
//! The shape of the curve comes from changes over time at each server. A comparison of servers would mistake slow
//! servers for loaded ones: generations take longer there, so these servers have more of them.

use super::sample::{Covariance, Evidence};

/// Assumed relative increase of the interval with each generation, while little was measured.
const PRIOR_PER_GENERATION: f64 = 0.01;

/// Assumed relative increase of the interval during a prefill, while little was measured: prefill and decoding take
/// about equal parts of an engine's time.
const PRIOR_PREFILL: f64 = 0.7;

/// Weights of the assumptions, as covariances.
const PRIOR_GENERATION_WEIGHT: f64 = 200.0;
const PRIOR_PREFILL_WEIGHT: f64 = 20.0;

/// Most that the interval increases with each generation, relative to the interval at mean load.
const MAX_PER_GENERATION: f64 = 0.1;

/// Most that the interval increases during a prefill, relative to the interval at mean load.
const MAX_PREFILL: f64 = 3.0;

/// Least interval, relative to the interval at mean load.
const MIN_RELATIVE: f64 = 0.2;

/// Interval at the median server, by load.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct Curve {
    /// Interval at mean load, in milliseconds.
    mean_ms: f64,
    generations: f64,
    prefill: f64,
    per_generation: f64,
    during_prefill: f64,
}

impl Curve {
    /// The curve of the service with these servers, each with at least one event.
    pub(super) fn new(servers: &[&Evidence]) -> Self {
        let total: f64 = servers.iter().map(|server| server.events()).sum();
        let mean = |load: fn(&Evidence) -> f64| {
            servers.iter().map(|server| load(server) * server.events()).sum::<f64>() / total
        };
        let (per_generation, during_prefill) = slopes(servers);
        let mut curve = Self {
            mean_ms: 1.0,
            generations: mean(|server| server.mean_load().0),
            prefill: mean(|server| server.mean_load().1),
            per_generation,
            during_prefill,
        };
        let mut ratios: Vec<f64> =
            servers.iter().filter_map(|server| curve.ratio(server)).collect();
        ratios.sort_unstable_by(f64::total_cmp);
        curve.mean_ms = ratios.get(ratios.len() / 2).copied().unwrap_or(1.0);
        curve
    }

    /// Interval with `generations` at the server, `prefill` from 0 (no prompt is processed) to 1, in milliseconds.
    pub(super) fn interval_ms(&self, generations: f64, prefill: f64) -> f64 {
        let relative = 1.0
            + self.per_generation * (generations - self.generations)
            + self.during_prefill * (prefill - self.prefill);
        self.mean_ms * relative.max(MIN_RELATIVE)
    }

    /// Mean interval with `generations` at the server, in milliseconds.
    pub(super) fn mean_interval_ms(&self, generations: f64) -> f64 {
        self.interval_ms(generations, self.prefill)
    }

    /// Interval at a server, relative to the median server at the same load; `None` without samples.
    pub(super) fn ratio(&self, server: &Evidence) -> Option<f64> {
        let (generations, prefill) = server.mean_load();
        Some(server.mean_interval_ms()? / self.interval_ms(generations, prefill))
    }
}

/// Relative increase of the interval with each generation and during a prefill, by least squares over all servers.
fn slopes(servers: &[&Evidence]) -> (f64, f64) {
    let mut sum = Covariance {
        generations: PRIOR_GENERATION_WEIGHT,
        prefill: PRIOR_PREFILL_WEIGHT,
        generations_prefill: 0.0,
        generations_intervals: PRIOR_GENERATION_WEIGHT * PRIOR_PER_GENERATION,
        prefill_intervals: PRIOR_PREFILL_WEIGHT * PRIOR_PREFILL,
    };
    for covariance in servers.iter().map(|server| server.covariance()) {
        sum.generations += covariance.generations;
        sum.prefill += covariance.prefill;
        sum.generations_prefill += covariance.generations_prefill;
        sum.generations_intervals += covariance.generations_intervals;
        sum.prefill_intervals += covariance.prefill_intervals;
    }
    let determinant = sum.generations * sum.prefill - sum.generations_prefill.powi(2);
    if determinant <= 0.0 {
        return (PRIOR_PER_GENERATION, PRIOR_PREFILL);
    }
    let per_generation = (sum.generations_intervals * sum.prefill
        - sum.prefill_intervals * sum.generations_prefill)
        / determinant;
    let during_prefill = (sum.prefill_intervals * sum.generations
        - sum.generations_intervals * sum.generations_prefill)
        / determinant;
    (per_generation.clamp(0.0, MAX_PER_GENERATION), during_prefill.clamp(0.0, MAX_PREFILL))
}
