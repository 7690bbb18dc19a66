//! Counters of the service that gives orders.

use prometheus::core::Collector;
use prometheus::{IntCounterVec, Opts};

use super::service::Stop;

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

    pub(super) fn result(&self, result: &Result<(), Stop>) {
        let label = result.map_or_else(Stop::label, |()| "done");
        if let Some(rounds) = &self.rounds {
            rounds.with_label_values(&[label]).inc();
        }
    }

    /// The collectors to register.
    pub fn collectors(&self) -> Vec<Box<dyn Collector>> {
        self.rounds.iter().map(|rounds| Box::new(rounds.clone()) as Box<dyn Collector>).collect()
    }
}
