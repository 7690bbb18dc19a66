//! Metrics of the orders service.

use prometheus::{IntCounterVec, Opts, Registry};

use super::service::ReconcileError;

/// Counts reconciliations of single engines by result.
#[derive(Clone, Debug)]
pub struct Counter {
    reconciliations: Option<IntCounterVec>,
}

impl Counter {
    pub(super) fn new() -> Self {
        let options = Opts::new("nutmeghead_orders_total", "Rounds of orders to an engine by end.");
        Self { reconciliations: IntCounterVec::new(options, &["end"]).ok() }
    }

    pub(super) fn count(&self, result: &Result<(), ReconcileError>) {
        let label = result.map_or_else(ReconcileError::label, |()| "done");
        if let Some(reconciliations) = &self.reconciliations {
            reconciliations.with_label_values(&[label]).inc();
        }
    }

    /// Registers the counters with `registry`.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if they are already registered.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        self.reconciliations
            .iter()
            .try_for_each(|counter| registry.register(Box::new(counter.clone())))
    }
}
