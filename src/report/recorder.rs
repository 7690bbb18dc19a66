//! Records how many samples of a node's metrics meet the objectives of the document in force.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use prometheus::core::Collector;
use prometheus::proto::{Metric, MetricFamily};
use tokio::sync::watch;

use super::history::RECORD_INTERVAL_S;
use super::{Count, History, Series, Snapshot, WINDOWS_S, wire};
use crate::clock::Monotonic;
use crate::document::{Active, Measure, Objective};
use crate::metrics::Instruments;
use crate::name;

const MS_PER_S: f64 = 1_000.0;

/// Records counts of the metrics of a node. Cheap to clone.
#[derive(Clone)]
pub struct Recorder {
    instruments: Instruments,
    active: watch::Receiver<Option<Arc<Active>>>,
    history: Arc<Mutex<History>>,
    clock: Monotonic,
}

impl Recorder {
    /// Creates a recorder for `instruments` with an empty history. `active` provides the objectives.
    pub fn new(instruments: Instruments, active: watch::Receiver<Option<Arc<Active>>>) -> Self {
        Self { instruments, active, history: Arc::default(), clock: Monotonic::new() }
    }

    /// Records the counts once a minute. Does not return.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(Duration::from_secs(RECORD_INTERVAL_S));
        loop {
            ticks.tick().await;
            self.record();
        }
    }

    /// The counts of all windows up to now.
    pub fn snapshot(&self) -> Snapshot {
        let objectives = self.objectives();
        let now_s = self.clock.now_ms() / 1_000;
        let counts = counts(&self.instruments, &objectives);
        let history = self.history();
        let windows = WINDOWS_S.map(|window_s| history.window_until(now_s, window_s, &counts));
        drop(history);
        wire::snapshot(&objectives, &windows, actions(&self.instruments))
    }

    fn record(&self) {
        let counts = counts(&self.instruments, &self.objectives());
        self.history().record(self.clock.now_ms() / 1_000, counts);
    }

    fn objectives(&self) -> Vec<Objective> {
        let active = self.active.borrow();
        active.as_ref().map_or_else(Vec::new, |active| active.document().objectives.clone())
    }

    fn history(&self) -> MutexGuard<'_, History> {
        self.history.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Cumulative counts of all series that have an objective.
fn counts(instruments: &Instruments, objectives: &[Objective]) -> HashMap<Series, Count> {
    let mut counts = HashMap::new();
    for objective in objectives {
        let families = match objective.measure {
            Measure::FirstToken => instruments.first_token.collect(),
            Measure::BetweenTokens => instruments.between_tokens.collect(),
            Measure::Stall => instruments.stall.collect(),
            Measure::Call => instruments.call.collect(),
            Measure::Refusal => instruments.requests.collect(),
        };
        for metric in families.iter().flat_map(MetricFamily::get_metric) {
            let Some(series) = series(metric, objective) else { continue };
            let count: &mut Count = counts.entry(series).or_default();
            count.add(match objective.measure {
                Measure::Refusal => not_refused(metric),
                _ => within_target(metric, objective.target_ms as f64 / MS_PER_S),
            });
        }
    }
    counts
}

fn series(metric: &Metric, objective: &Objective) -> Option<Series> {
    if label(metric, "workload")? != objective.workload.as_str() {
        return None;
    }
    let organisation = name::Organisation::new(label(metric, "organisation")?).ok()?;
    Some(Series { workload: objective.workload.clone(), organisation, measure: objective.measure })
}

fn label<'a>(metric: &'a Metric, name: &str) -> Option<&'a str> {
    metric.get_label().iter().find(|label| label.name() == name).map(|label| label.value())
}

/// Counts the samples in buckets up to the target. A target between two bounds is rounded down to the lower one.
fn within_target(metric: &Metric, target_s: f64) -> Count {
    let histogram = metric.get_histogram();
    let bound = target_s + f64::EPSILON;
    let buckets = histogram.get_bucket().iter().filter(|bucket| bucket.upper_bound() <= bound);
    let good = buckets.map(|bucket| bucket.cumulative_count()).max().unwrap_or_default();
    Count { good, total: histogram.get_sample_count() }
}

/// Counts the requests that were not refused as good.
fn not_refused(metric: &Metric) -> Count {
    let total = metric.get_counter().get_value() as u64;
    let refused = label(metric, "outcome") == Some("not_run");
    Count { good: if refused { 0 } else { total }, total }
}

fn actions(instruments: &Instruments) -> Vec<(String, u64)> {
    let families = instruments.actions.collect();
    let metrics = families.iter().flat_map(MetricFamily::get_metric);
    let counts = metrics.filter_map(|metric| {
        Some((label(metric, "action")?.to_owned(), metric.get_counter().get_value() as u64))
    });
    counts.collect()
}
