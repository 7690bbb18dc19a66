//! Counters of the claims service.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, Opts};

use super::verdict::Verdict;

/// Counts verdicts.
#[derive(Clone, Debug)]
pub struct Counter {
    verdicts: Option<IntCounterVec>,
}

impl Counter {
    pub(crate) fn new() -> Self {
        let options = Opts::new("nutmeghead_claims_total", "Non-idempotent calls by verdict.");
        Self { verdicts: IntCounterVec::new(options, &["verdict"]).ok() }
    }

    pub(crate) fn verdict<R>(&self, verdict: &Verdict<R>) {
        if let Some(verdicts) = &self.verdicts {
            verdicts.with_label_values(&[verdict.label()]).inc();
        }
    }

    /// The collectors to register.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        self.verdicts.iter().map(|v| Box::new(v.clone()) as Box<dyn Collector>).collect()
    }
}
