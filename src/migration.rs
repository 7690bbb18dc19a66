//! Live migration of a running generation to another engine before its own engine shuts down.
//!
//! The KV cache is copied while the generation runs. Copies queue on the links of both engines, so the generation is
//! stopped only after a fast copy: its caller then sees no pause. Shortly before the engine shuts down, the generation
//! is stopped in any case, because a pause is better than a lost generation.
//!
//! [`Plan`] only decides the steps; `entry::migrate` runs them.

use std::time::Duration;

mod evacuation;
mod notice;
mod traffic;

pub use evacuation::{Link, Run, Turn};
pub use notice::Notice;
pub use traffic::{Progress, Traffic};

/// Longest duration of a copy after which the generation can be stopped, in milliseconds: the links are idle. Twice
/// this time and the set-up at the new engine stay within the strictest pause limit of callers, 180 ms.
const QUICK_COPY_MS: u64 = 45;

/// Time before the engine's shutdown at which the generation is stopped, in milliseconds: the last copy may queue
/// behind one full copy over a link within a failure domain, 0.2 s.
const STOP_MARGIN_MS: u64 = 350;

/// Timeout of one copy, in milliseconds: the longest time that an engine under load keeps running after its notice.
const COPY_TIMEOUT_MS: u64 = 4_000;

/// Delay before a retry at an engine that cannot copy yet, in milliseconds: a few decoding steps.
const RETRY_MS: u64 = 60;

/// Targets tried in a row by one migration. After a pause, earlier targets are tried again, as some of their
/// generations may have ended.
const CONSECUTIVE_TARGETS: u32 = 3;

/// Copies of one migration without deadline. If none of them was fast, the links are busy with other work.
const MAX_COPIES: u32 = 4;

/// Pause after [`CONSECUTIVE_TARGETS`] targets had no room, in milliseconds.
const NO_ROOM_PAUSE_MS: u64 = 120;

/// Status report of an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Time until it shuts down, if known.
    pub shuts_down_in: Option<Duration>,
    /// When it started, in milliseconds since the Unix epoch; `None` if it does not say.
    pub started_ms: Option<u64>,
    /// The generations that it runs.
    pub runs: Vec<Run>,
}

/// A completed copy of a KV cache.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copied {
    /// Handle of the copied KV cache at the source.
    pub handle: String,
}

/// Why a call to an engine failed. A copy is a call to its source.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The source does not run the generation, or does not run it yet.
    #[error("the generation is not running")]
    NotRunning,
    /// Another copy of the generation is in progress.
    #[error("another copy of the generation is in progress")]
    Busy,
    /// The target has no room or cannot be reached.
    #[error("the target has no room or cannot be reached")]
    NoRoom {
        /// Handle of the KV cache at the source, if the generation was stopped.
        handle: Option<String>,
    },
    /// The called engine did not respond, or its response was invalid.
    #[error("the engine did not respond, or its response was invalid")]
    Unreachable,
}

/// Next step of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy the KV cache, or its new part, while the generation runs, after a delay.
    Copy {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// Stop the generation and copy the rest of its KV cache.
    Stop,
    /// Select another target and copy to it, after a delay.
    Retarget {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// Abort the migration; the generation stays at its engine.
    Abort,
}

/// State machine for the migration of one generation.
#[derive(Clone, Debug)]
pub struct Plan {
    stop_by_ms: u64,
    shutdown_ms: u64,
    refusals: u32,
    /// Copies that the migration may still make; `None` if it has a deadline.
    copies_left: Option<u32>,
}

impl Plan {
    /// A plan for a generation whose engine gave notice at `now_ms`, and is expected to run as long as `notice` says until it
    /// reports the actual time.
    ///
    /// ```
    /// use nutmeghead::migration::{Notice, Plan, Step};
    /// let mut plan = Plan::new(Notice::default(), 0);
    /// assert_eq!(plan.copy_succeeded(20, 200), Step::Stop);
    /// ```
    pub fn new(notice: Notice, now_ms: u64) -> Self {
        let mut plan = Self { stop_by_ms: 0, shutdown_ms: 0, refusals: 0, copies_left: None };
        plan.set_shutdown(Duration::from_millis(notice.expected_ms()), now_ms);
        plan
    }

    /// A plan for a generation whose engine goes on running. The generation stays there if the copy is not easy.
    ///
    /// ```
    /// use nutmeghead::migration::{Failure, Plan, Step};
    /// let mut plan = Plan::without_deadline();
    /// assert_eq!(plan.copy_failed(&Failure::Busy, 200), Step::Abort);
    /// ```
    pub fn without_deadline() -> Self {
        Self {
            stop_by_ms: u64::MAX,
            shutdown_ms: u64::MAX,
            refusals: 0,
            copies_left: Some(MAX_COPIES),
        }
    }

    /// Sets the time of the engine's shutdown to `shuts_down_in` after `now_ms`, as the engine reported.
    pub fn set_shutdown(&mut self, shuts_down_in: Duration, now_ms: u64) {
        self.shutdown_ms = now_ms + shuts_down_in.as_millis() as u64;
        self.stop_by_ms = self.shutdown_ms.saturating_sub(STOP_MARGIN_MS);
    }

    /// Returns the step after a copy that took `took_ms`.
    pub fn copy_succeeded(&mut self, took_ms: u64, now_ms: u64) -> Step {
        // The next copy queues for about half as long as this one did.
        if took_ms <= QUICK_COPY_MS || now_ms.saturating_add(took_ms / 2) >= self.stop_by_ms {
            return Step::Stop;
        }
        if let Some(copies) = &mut self.copies_left {
            *copies = copies.saturating_sub(1);
            if *copies == 0 {
                return Step::Abort;
            }
        }
        Step::Copy { after_ms: 0 }
    }

    /// Timeout of one copy.
    pub fn copy_timeout(&self) -> Duration {
        Duration::from_millis(COPY_TIMEOUT_MS)
    }

    /// Returns the step after a failed copy.
    pub fn copy_failed(&mut self, failure: &Failure, now_ms: u64) -> Step {
        if self.copies_left.is_some() || now_ms >= self.shutdown_ms + COPY_TIMEOUT_MS {
            return Step::Abort;
        }
        match failure {
            Failure::NotRunning | Failure::Busy => Step::Copy { after_ms: RETRY_MS },
            Failure::Unreachable => Step::Abort,
            Failure::NoRoom { .. } => {
                self.refusals += 1;
                let pauses = self.refusals % CONSECUTIVE_TARGETS == 0;
                Step::Retarget { after_ms: if pauses { NO_ROOM_PAUSE_MS } else { 0 } }
            }
        }
    }
}

#[cfg(test)]
mod tests;
