//! Metrics of the claims service.

use prometheus::{IntCounterVec, Opts, Registry};

use super::verdict::Verdict;

/// Counts calls by verdict.
#[derive(Clone, Debug)]
pub struct Counter {
    verdicts: Option<IntCounterVec>,
}

impl Counter {
    pub(crate) fn new() -> Self {
        let options = Opts::new("nutmeghead_claims_total", "Non-idempotent calls by verdict.");
        Self { verdicts: IntCounterVec::new(options, &["verdict"]).ok() }
    }

    pub(crate) fn count<R>(&self, verdict: &Verdict<R>) {
        if let Some(verdicts) = &self.verdicts {
            verdicts.with_label_values(&[verdict.label()]).inc();
        }
    }

    /// Registers the counters with `registry`.
    ///
    /// # Errors
    ///
    /// Returns [`prometheus::Error`] if they are already registered.
    pub fn register(&self, registry: &Registry) -> Result<(), prometheus::Error> {
        self.verdicts.iter().try_for_each(|counter| registry.register(Box::new(counter.clone())))
    }
}
