//! Start, readiness and graceful shutdown of a node.

use std::sync::{Arc, Mutex, PoisonError};

use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use tokio::sync::watch;

use machine::Machine;

mod machine;
#[cfg(test)]
mod tests;

/// What happens to a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration document is in force.
    Configured,
    /// The platform asks the node to end.
    Terminate,
    /// The time in which new work is still taken after [`Event::Terminate`] is over.
    DelayOver,
    /// The last stream and call has ended.
    Idle,
}

/// Where a node is in its life.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No document is in force: nothing is served.
    Starting,
    /// Work is taken.
    Ready,
    /// Work is still taken, while the balancer learns that the node leaves.
    Leaving,
    /// No new work is taken; open work goes on.
    Draining,
    /// The process may end.
    Stopped,
}

impl Phase {
    /// Whether the balancer should send work here.
    ///
    /// ```
    /// use nutmeghead::lifecycle::Phase;
    /// assert!(Phase::Ready.is_ready() && !Phase::Leaving.is_ready());
    /// ```
    pub fn is_ready(self) -> bool {
        self == Self::Ready
    }

    /// Whether new work that arrives is taken.
    ///
    /// ```
    /// use nutmeghead::lifecycle::Phase;
    /// assert!(Phase::Leaving.takes_work() && !Phase::Draining.takes_work());
    /// ```
    pub fn takes_work(self) -> bool {
        matches!(self, Self::Ready | Self::Leaving)
    }
}

/// The life of one node, shared by all that take or finish work.
pub struct Control {
    machine: Mutex<StateMachine<Machine>>,
    phase: watch::Sender<Phase>,
    open: watch::Sender<usize>,
}

impl Default for Control {
    fn default() -> Self {
        Self::new()
    }
}

impl Control {
    /// A node that has just started.
    pub fn new() -> Self {
        Self {
            machine: Mutex::new(Machine.state_machine()),
            phase: watch::Sender::new(Phase::Starting),
            open: watch::Sender::new(0),
        }
    }

    /// Lets `event` happen and returns the phase after it.
    ///
    /// ```
    /// use nutmeghead::lifecycle::{Control, Event, Phase};
    /// assert_eq!(Control::new().apply(Event::Configured), Phase::Ready);
    /// ```
    pub fn apply(&self, event: Event) -> Phase {
        let mut machine = self.machine.lock().unwrap_or_else(PoisonError::into_inner);
        machine.handle(&event);
        let phase = machine.state().into();
        self.phase.send_if_modified(|old| std::mem::replace(old, phase) != phase);
        phase
    }

    /// The present phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Follows the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Number of open streams and calls.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }

    /// Registers a new stream or call, or returns `None` if no new work is taken.
    pub fn begin(self: &Arc<Self>) -> Option<Work> {
        self.open.send_modify(|open| *open += 1);
        let work = Work(Arc::clone(self));
        // The count is raised before the phase is read, so that `idle` cannot miss work that was let in.
        self.phase().takes_work().then_some(work)
    }

    /// Waits until no stream or call is open.
    pub async fn idle(&self) {
        // The sender lives in `self`, so the wait cannot fail.
        let _ = self.open.subscribe().wait_for(|open| *open == 0).await;
    }
}

/// An open stream or call; dropping it ends it.
pub struct Work(Arc<Control>);

impl Drop for Work {
    fn drop(&mut self) {
        self.0.open.send_modify(|open| *open -= 1);
    }
}
