//! Counters of the service that gives orders.

use prometheus::{IntCounterVec, Opts, Registry};

use super::service::ReconcileError;

/// Counts rounds of orders to single engines by how they ended.
#[derive(Clone, Debug)]
pub struct Counter {
    rounds: Option<IntCounterVec>,
}

impl Counter {
    pub(super) fn new() -> Self {
        let options = Opts::new("nutmeghead_orders_total", "Rounds of orders to an engine by end.");
        Self { rounds: IntCounterVec::new(options, &["end"]).ok() }
    }

    pub(super) fn count(&self, result: &Result<(), ReconcileError>) {
        let label = result.map_or_else(ReconcileError::label, |()| "done");
        if let Some(rounds) = &self.rounds {
            rounds.with_label_values(&[label]).inc();
        }
    }

    /// Adds the counters to `registry`.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if it already has them.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        self.rounds.iter().try_for_each(|counter| registry.register(Box::new(counter.clone())))
    }
}
