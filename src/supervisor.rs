//! Background tasks that run for as long as the process does.
//!
//! A task that panics must not leave the process running without it: it is started again.

use std::future::Future;
use std::time::Duration;

use slog::{Logger, error};
use tokio::task::JoinSet;

use crate::metrics::Instruments;

#[cfg(test)]
mod tests;

/// Delay before a task that panicked is started again.
const RESTART_DELAY: Duration = Duration::from_millis(100);

/// Starts background tasks, which end when this is dropped.
pub(crate) struct Supervisor {
    tasks: JoinSet<()>,
    instruments: Instruments,
    logger: Logger,
}

impl Supervisor {
    /// A supervisor without tasks.
    pub(crate) fn new(instruments: Instruments, logger: Logger) -> Self {
        Self { tasks: JoinSet::new(), instruments, logger }
    }

    /// Starts the task that `start` returns, and starts it again each time it panics.
    pub(crate) fn spawn<F>(&mut self, name: &'static str, start: impl Fn() -> F + Send + 'static)
    where
        F: Future<Output = ()> + Send + 'static,
    {
        let (instruments, logger) = (self.instruments.clone(), self.logger.clone());
        self.tasks.spawn(async move {
            loop {
                // The set ends the task if the supervisor is dropped.
                let mut task = JoinSet::new();
                task.spawn(start());
                let Some(Err(end)) = task.join_next().await else { return };
                error!(logger, "background task panicked"; "task" => name, "error" => end.to_string());
                instruments.count_action("task_panicked");
                tokio::time::sleep(RESTART_DELAY).await;
            }
        });
    }

    /// Starts a task that cannot be started again. If it panics, [`Self::ended`] returns.
    pub(crate) fn spawn_once(&mut self, task: impl Future<Output = ()> + Send + 'static) {
        self.tasks.spawn(task);
    }

    /// Waits until a task has ended, which the process cannot do without.
    pub(crate) async fn ended(&mut self) {
        match self.tasks.join_next().await {
            Some(_) => error!(self.logger, "background task ended; stopping"),
            None => std::future::pending().await,
        }
    }

    /// Ends all tasks.
    pub(crate) async fn shut_down(&mut self) {
        self.tasks.shutdown().await;
    }
}
