//! A clock that can be paused.

use tokio::time::Instant;

/// Counts microseconds since its start, without the time for which it was paused.
#[derive(Debug)]
pub(super) struct Clock {
    resumed_at: Instant,
    /// Time counted before `resumed_at`.
    elapsed_us: u64,
    paused: bool,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self { resumed_at: Instant::now(), elapsed_us: 0, paused: false }
    }

    pub(super) fn now_us(&self) -> u64 {
        if self.paused {
            return self.elapsed_us;
        }
        self.elapsed_us + self.resumed_at.elapsed().as_micros() as u64
    }

    pub(super) fn set_paused(&mut self, paused: bool) {
        self.elapsed_us = self.now_us();
        self.resumed_at = Instant::now();
        self.paused = paused;
    }

    /// When the clock will reach `at_us`; none while it is paused.
    pub(super) fn instant(&self, at_us: u64) -> Option<Instant> {
        if self.paused {
            return None;
        }
        let offset_us = at_us.saturating_sub(self.elapsed_us);
        Some(self.resumed_at + std::time::Duration::from_micros(offset_us))
    }
}
