//! Startup, readiness and graceful shutdown of a node.

use std::sync::{Arc, Mutex, PoisonError};

use statig::blocking::{IntoStateMachineExt as _, StateMachine};
use tokio::sync::watch;

use machine::Machine;

mod machine;
#[cfg(test)]
mod tests;

/// An event in the lifecycle of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    /// A configuration document is in force.
    Configured,
    /// The platform requested the node to shut down.
    Terminate,
    /// The time for which new work is still accepted after [`Event::Terminate`] has elapsed.
    DrainDelayElapsed,
    /// The last open stream or call ended.
    Idle,
}

/// The lifecycle phase of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// No document is in force; no work is accepted.
    Starting,
    /// Work is accepted.
    Ready,
    /// Work is still accepted while the load balancer notices that the node is not ready.
    Leaving,
    /// No new work is accepted; open streams and calls continue.
    Draining,
    /// The process may end.
    Stopped,
}

impl Phase {
    /// Whether the load balancer should send work to this node.
    ///
    /// ```
    /// use nutmeghead::lifecycle::Phase;
    /// assert!(Phase::Ready.is_ready() && !Phase::Leaving.is_ready());
    /// ```
    pub fn is_ready(self) -> bool {
        self == Self::Ready
    }

    /// Whether new work is accepted.
    ///
    /// ```
    /// use nutmeghead::lifecycle::Phase;
    /// assert!(Phase::Leaving.accepts_work() && !Phase::Draining.accepts_work());
    /// ```
    pub fn accepts_work(self) -> bool {
        matches!(self, Self::Ready | Self::Leaving)
    }

    /// Whether the node is shutting down, so that callers should use other connections.
    ///
    /// ```
    /// use nutmeghead::lifecycle::Phase;
    /// assert!(Phase::Leaving.is_stopping() && !Phase::Starting.is_stopping());
    /// ```
    pub fn is_stopping(self) -> bool {
        matches!(self, Self::Leaving | Self::Draining | Self::Stopped)
    }
}

/// Lifecycle phase and open work of a node, shared by all its tasks.
pub struct Control {
    machine: Mutex<StateMachine<Machine>>,
    phase: watch::Sender<Phase>,
    open: watch::Sender<usize>,
    /// When open work has to end, in milliseconds of the caller's clock; `None` before a shutdown.
    end_ms: watch::Sender<Option<u64>>,
}

impl Default for Control {
    fn default() -> Self {
        Self::new()
    }
}

impl Control {
    /// Creates the state of a node that is starting.
    pub fn new() -> Self {
        Self {
            machine: Mutex::new(Machine.state_machine()),
            phase: watch::Sender::new(Phase::Starting),
            open: watch::Sender::new(0),
            end_ms: watch::Sender::new(None),
        }
    }

    /// Applies `event` and returns the resulting phase.
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

    /// The current phase.
    pub fn phase(&self) -> Phase {
        *self.phase.borrow()
    }

    /// Subscribes to changes of the phase.
    pub fn subscribe(&self) -> watch::Receiver<Phase> {
        self.phase.subscribe()
    }

    /// Number of open streams and calls.
    pub fn open(&self) -> usize {
        *self.open.borrow()
    }

    /// Sets the time by which open work has to end, on any clock.
    pub fn set_end(&self, end_ms: u64) {
        self.end_ms.send_replace(Some(end_ms));
    }

    /// When open work has to end; `None` before a shutdown.
    ///
    /// ```
    /// let control = nutmeghead::lifecycle::Control::new();
    /// assert_eq!(control.end_ms(), None);
    /// control.set_end(7_500);
    /// assert_eq!(control.end_ms(), Some(7_500));
    /// ```
    pub fn end_ms(&self) -> Option<u64> {
        *self.end_ms.borrow()
    }

    /// Registers a new stream or call. Returns `None` if no new work is accepted.
    pub fn begin(self: &Arc<Self>) -> Option<Work> {
        self.open.send_modify(|open| *open += 1);
        let work = Work(Arc::clone(self));
        // The count is incremented before the phase is read, so that `wait_idle` cannot miss accepted work.
        self.phase().accepts_work().then_some(work)
    }

    /// Waits until no stream or call is open.
    pub async fn wait_idle(&self) {
        // The sender is owned by `self`, so the wait cannot fail.
        let _ = self.open.subscribe().wait_for(|open| *open == 0).await;
    }
}

/// Guard of a stream or call, which is open until the guard is dropped.
pub struct Work(Arc<Control>);

impl Work {
    /// When the work has to end; `None` before a shutdown.
    pub fn end_ms(&self) -> Option<u64> {
        self.0.end_ms()
    }

    /// Waits for a shutdown. Returns when the work has to end.
    pub async fn wait_end_ms(&self) -> u64 {
        let mut end = self.0.end_ms.subscribe();
        // The sender lives as long as `self`, so the wait cannot fail.
        let end = end.wait_for(Option::is_some).await;
        end.ok().and_then(|end| *end).unwrap_or(0)
    }
}

impl Drop for Work {
    fn drop(&mut self) {
        self.0.open.send_modify(|open| *open -= 1);
    }
}
