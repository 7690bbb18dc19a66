//! An admitted request and the conditions that all of its attempts share.

use std::sync::Arc;
use std::time::Duration;

use super::context::{Context, remaining_time};
use super::crash;
use super::homes::Constraint;
use super::memory::Connection;
use super::queue;
use super::request::Outgoing;
use crate::clock::boot_ms;
use crate::lifecycle::Work;
use crate::load::{Class, Requirement};
use crate::name;
use crate::origin::Origin;
use crate::route::Route;
use crate::stall::Expectation;

/// Shortest time after which a caller that reads nothing of a stream is cut off.
const MIN_STALL: Duration = Duration::from_secs(10);

/// Objectives, and longest pauses, after which a stream that nobody reads is worthless.
const STALL_OBJECTIVES: u32 = 4;
const STALL_PAUSES: u32 = 8;

/// An admitted request: what is sent to servers, and its route, service and timeout.
pub(crate) struct Job {
    pub(crate) request: Outgoing,
    pub(crate) route: Arc<Route>,
    pub(crate) service: name::Service,
    /// Where the stream began that the caller resumes with this request.
    pub(crate) origin: Option<Origin>,
    pub(crate) arrived_ms: u64,
    /// Time from the arrival until the request times out: the earlier of the caller's deadline and the route's
    /// timeout.
    pub(crate) timeout: Duration,
    /// Milliseconds since the document that admitted the request was confirmed as the newest.
    pub(crate) document_age_ms: u64,
    /// Whether another host forwarded the request.
    pub(crate) from_host: bool,
    /// The caller's connection.
    pub(crate) connection: Arc<Connection>,
    /// Keeps the process running until the request has ended.
    pub(crate) work: Work,
}

fn until(at_ms: u64) -> Duration {
    Duration::from_millis(at_ms.saturating_sub(boot_ms()))
}

impl Job {
    /// Time until the request times out, or until it has to end as the host shuts down.
    pub(crate) fn remaining(&self) -> Duration {
        let remaining = remaining_time(self.arrived_ms, self.timeout);
        self.work.end_ms().map_or(remaining, |end_ms| remaining.min(until(end_ms)))
    }

    /// Waits until the request has to end as the host shuts down.
    pub(crate) async fn wait_end(&self) {
        let end_ms = self.work.wait_end_ms().await;
        tokio::time::sleep(until(end_ms)).await;
    }

    /// What restricts the servers of the request, under the newest document.
    pub(crate) fn constraint(&self, context: &Context) -> Constraint<'_> {
        Constraint::new(context, &self.request, self.origin.as_ref())
    }

    /// Returns the two sides of a queue for a stream to the caller.
    pub(crate) fn queue(&self, context: &Context) -> (queue::Sender, queue::Receiver) {
        let pause = self.route.max_pause.unwrap_or_default();
        let max_stall = (self.route.objective * STALL_OBJECTIVES).max(pause * STALL_PAUSES);
        queue::new(&context.memory, &self.connection, max_stall.max(MIN_STALL))
    }

    /// Uses one retry of the service's budget. Returns whether one was available and the request may be repeated.
    pub(crate) fn try_retry(&self, context: &Context) -> bool {
        crash::may_repeat(context, &self.request) && context.try_retry(&self.service)
    }

    /// What the callers of a stream accept.
    pub(crate) fn expectation(&self) -> Expectation {
        let Route { kind, objective, max_pause, .. } = *self.route;
        Expectation { resumable: kind.may_repeat(), objective, max_pause }
    }

    /// Name of the organisation, for metrics and logs; empty without one.
    pub(crate) fn organisation(&self) -> &str {
        self.request.organisation.as_ref().map_or("", name::Customer::as_str)
    }

    /// What the request requires of a server, to choose one with enough free capacity.
    pub(crate) fn requirement(&self) -> Requirement {
        let prompt = self.request.head.prompt;
        let is_long = prompt.is_some_and(|prompt| !prompt.is_short());
        Requirement {
            tokens: prompt.map_or(0, |prompt| prompt.reserved_tokens()),
            class: if is_long { Class::Long } else { Class::Short },
            may_repeat: self.route.kind.may_repeat(),
            objective_ms: self.route.objective.as_millis() as u64,
            max_pause_ms: self.route.max_pause.map(|pause| pause.as_millis() as u64),
        }
    }
}
