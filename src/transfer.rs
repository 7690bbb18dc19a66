//! Moving a running generation to another engine before its own ends.
//!
//! The memory is copied while the generation runs. Copies queue on the links of both engines, so the generation is
//! stopped only once a copy of the rest came back quickly: its callers then see no pause. When the engine is about to
//! end, it is stopped at once: a pause is better than a lost generation.

use std::time::Duration;

/// A copy of the rest that takes no longer than this, in milliseconds, found the links free. Twice that and the set-up
/// at the new engine stay within the shortest pause that callers accept, 180 ms.
const QUICK_COPY_MS: u64 = 45;

/// Time kept for stopping the generation before the engine ends, in milliseconds: the last copy may queue behind one
/// whole copy over a link within a failure domain, 0.2 s.
const STOP_MARGIN_MS: u64 = 350;

/// Time that an engine is expected to go on after its notice until it says, in milliseconds: a little less than the
/// shortest notice that the platform gives.
const DEFAULT_NOTICE_MS: u64 = 1_450;

/// Time after which a copy is given up, in milliseconds: no engine goes on for longer under load.
const COPY_TIMEOUT_MS: u64 = 4_000;

/// Pause before an engine is asked again that cannot copy yet, in milliseconds: a few decoding steps.
const RETRY_MS: u64 = 60;

/// Engines that are tried in a row as targets of one move. Others end generations meanwhile, so they are asked again
/// after a pause.
const TARGETS_IN_A_ROW: u32 = 3;

/// Pause after all targets in a row had no room, in milliseconds.
const NO_ROOM_PAUSE_MS: u64 = 120;

/// What an engine reports.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// Whether it takes no new work.
    pub leaving: bool,
    /// Time until it ends, if it knows.
    pub leaves_in: Option<Duration>,
}

/// A copy that was made.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Copied {
    /// The source's name for it.
    pub handle: String,
}

/// Why a call about a copy failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Snag {
    /// The engine does not run the generation, or not yet.
    #[error("the generation is not running")]
    NotRunning,
    /// Another copy of it is being made.
    #[error("another copy is being made")]
    Busy,
    /// The target has no room or cannot be reached. If the generation was stopped, `handle` names its memory.
    #[error("the target has no room")]
    NoRoom {
        /// The source's name for the memory.
        handle: Option<String>,
    },
    /// The engine did not answer as it should.
    #[error("the engine cannot be reached")]
    Unreachable,
}

/// What to do next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Copy what is new while the generation runs, after a pause.
    Copy {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// Stop the generation and copy the rest.
    Stop,
    /// Choose another target and copy to it, after a pause.
    Elsewhere {
        /// Milliseconds to wait first.
        after_ms: u64,
    },
    /// Leave the generation where it is.
    GiveUp,
}

/// The plan for one generation.
#[derive(Clone, Debug)]
pub struct Plan {
    stop_by_ms: u64,
    ends_ms: u64,
    targets: u32,
}

impl Plan {
    /// A plan for an engine that gave notice at `now_ms`.
    ///
    /// ```
    /// use nutmeghead::transfer::{Plan, Step};
    /// let mut plan = Plan::new(0);
    /// assert_eq!(plan.copied(20, 200), Step::Stop);
    /// ```
    pub fn new(now_ms: u64) -> Self {
        let mut plan = Self { stop_by_ms: 0, ends_ms: 0, targets: 0 };
        plan.learn(Duration::from_millis(DEFAULT_NOTICE_MS), now_ms);
        plan
    }

    /// The engine says that it ends after `leaves_in`.
    pub fn learn(&mut self, leaves_in: Duration, now_ms: u64) {
        self.ends_ms = now_ms + leaves_in.as_millis() as u64;
        self.stop_by_ms = self.ends_ms.saturating_sub(STOP_MARGIN_MS);
    }

    /// A copy was made in `took_ms`.
    pub fn copied(&mut self, took_ms: u64, now_ms: u64) -> Step {
        // The next copy waits behind what is still queued: about half of what this one waited behind.
        if took_ms <= QUICK_COPY_MS || now_ms + took_ms / 2 >= self.stop_by_ms {
            return Step::Stop;
        }
        Step::Copy { after_ms: 0 }
    }

    /// Time after which a copy is given up.
    pub fn copy_timeout(&self) -> Duration {
        Duration::from_millis(COPY_TIMEOUT_MS)
    }

    /// A copy failed.
    pub fn failed(&mut self, snag: &Snag, now_ms: u64) -> Step {
        if now_ms >= self.ends_ms + COPY_TIMEOUT_MS {
            return Step::GiveUp;
        }
        match snag {
            Snag::NotRunning | Snag::Busy => Step::Copy { after_ms: RETRY_MS },
            Snag::Unreachable => Step::GiveUp,
            Snag::NoRoom { .. } => {
                self.targets += 1;
                let again = self.targets % TARGETS_IN_A_ROW == 0;
                Step::Elsewhere { after_ms: if again { NO_ROOM_PAUSE_MS } else { 0 } }
            }
        }
    }
}

#[cfg(test)]
mod tests;
