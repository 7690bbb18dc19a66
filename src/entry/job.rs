//! A request that was admitted: what it is, where it may go, and until when.

use std::sync::Arc;
use std::time::Duration;

use super::context::time_left;
use super::request::Whole;
use crate::lifecycle::Work;
use crate::load::{Demand, Requirement};
use crate::name;
use crate::route::Route;

/// A request that was admitted.
pub(crate) struct Job {
    pub(crate) request: Whole,
    pub(crate) route: Arc<Route>,
    pub(crate) service: name::Service,
    pub(crate) arrived_ms: u64,
    /// Time from its arrival until the caller or the operator gives up.
    pub(crate) allowed: Duration,
    /// Age of the document that admitted it.
    pub(crate) document_age_ms: u64,
    /// Keeps the process from ending before the request has.
    pub(crate) _work: Work,
}

impl Job {
    /// Time until the caller or the operator gives up.
    pub(crate) fn left(&self) -> Duration {
        time_left(self.arrived_ms, self.allowed)
    }

    /// Name of the organisation, for counters and logs.
    pub(crate) fn organisation(&self) -> &str {
        self.request.organisation.as_ref().map_or("", name::Organisation::as_str)
    }

    /// What it needs of a server.
    pub(crate) fn need(&self) -> Requirement {
        let prompt = self.request.head.prompt;
        let is_long = prompt.is_some_and(|prompt| !prompt.is_short());
        Requirement {
            tokens: prompt.map_or(0, |prompt| prompt.reserve()),
            demand: if is_long { Demand::Long } else { Demand::Short },
            objective_ms: self.route.objective.as_millis() as u64,
        }
    }
}
