//! Live migration of a running generation to another engine before its own engine ends.
//!
//! The memory is copied while the generation runs. Copies queue on the links of both engines, so the generation is
//! stopped only after an incremental copy was fast: its callers then see no pause. Shortly before the engine ends, the
//! generation is stopped in any case, because a pause is better than a lost generation.

use std::time::Duration;

/// Longest duration of an incremental copy over idle links, in milliseconds. Twice that and the set-up at the new
/// engine stay within the shortest pause that callers accept, 180 ms.
const QUICK_COPY_MS: u64 = 45;

/// Time before the end of the engine at which the generation is stopped, in milliseconds: the last copy may queue
/// behind one full copy over a link within a failure domain, 0.2 s.
const STOP_MARGIN_MS: u64 = 350;

/// Assumed time from the notice to the end of an engine until the engine reports it, in milliseconds: a little less
/// than the shortest notice that the platform gives.
const DEFAULT_NOTICE_MS: u64 = 1_450;

/// Timeout of one copy, in milliseconds: under load, no engine keeps running for longer after its notice.
const COPY_TIMEOUT_MS: u64 = 4_000;

/// Delay before a retry at an engine that cannot copy yet, in milliseconds: a few decoding steps.
const RETRY_MS: u64 = 60;

/// Targets tried in a row by one migration. After a pause, earlier targets are tried again, as some of their
/// generations may have ended.
const CONSECUTIVE_TARGETS: u32 = 3;

/// Pause after [`CONSECUTIVE_TARGETS`] targets had no room, in milliseconds.
const NO_ROOM_PAUSE_MS: u64 = 120;

/// Status report of an engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it accepts no new requests.
    pub leaving: bool,
    /// Time until it ends, if known.
    pub leaves_in: Option<Duration>,
}

/// A completed copy.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copied {
    /// Handle of the copied memory at the source.
    pub handle: String,
}

/// Reason for which a call to an engine failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// The engine does not run the generation, or does not run it yet.
    #[error("the generation is not running")]
    NotRunning,
    /// Another copy of the generation is in progress.
    #[error("another copy is being made")]
    Busy,
    /// The target has no room or cannot be reached.
    #[error("the target has no room")]
    NoRoom {
        /// Handle of the memory at the source, if the generation was stopped.
        handle: Option<String>,
    },
    /// The engine did not respond, or its response was invalid.
    #[error("the engine cannot be reached")]
    Unreachable,
}

/// Next step of a migration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy new memory while the generation runs, after a delay.
    Copy {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// Stop the generation and copy the remaining memory.
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
    ends_ms: u64,
    refusals: u32,
}

impl Plan {
    /// A plan for an engine that gave notice at `now_ms`.
    ///
    /// ```
    /// use nutmeghead::migration::{Plan, Step};
    /// let mut plan = Plan::new(0);
    /// assert_eq!(plan.copy_succeeded(20, 200), Step::Stop);
    /// ```
    pub fn new(now_ms: u64) -> Self {
        let mut plan = Self { stop_by_ms: 0, ends_ms: 0, refusals: 0 };
        plan.set_end(Duration::from_millis(DEFAULT_NOTICE_MS), now_ms);
        plan
    }

    /// Sets the end of the engine, which it reported to be `leaves_in` after `now_ms`.
    pub fn set_end(&mut self, leaves_in: Duration, now_ms: u64) {
        self.ends_ms = now_ms + leaves_in.as_millis() as u64;
        self.stop_by_ms = self.ends_ms.saturating_sub(STOP_MARGIN_MS);
    }

    /// Returns the step after a copy that took `took_ms`.
    pub fn copy_succeeded(&mut self, took_ms: u64, now_ms: u64) -> Step {
        // The next copy queues for about half as long as this one did.
        if took_ms <= QUICK_COPY_MS || now_ms + took_ms / 2 >= self.stop_by_ms {
            return Step::Stop;
        }
        Step::Copy { after_ms: 0 }
    }

    /// Timeout of one copy.
    pub fn copy_timeout(&self) -> Duration {
        Duration::from_millis(COPY_TIMEOUT_MS)
    }

    /// Returns the step after a failed copy.
    pub fn copy_failed(&mut self, failure: &Failure, now_ms: u64) -> Step {
        if now_ms >= self.ends_ms + COPY_TIMEOUT_MS {
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
