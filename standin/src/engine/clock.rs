//! A clock that can be held.

use tokio::time::Instant;

/// Counts microseconds since its start, without the time for which it was held.
#[derive(Debug)]
pub(super) struct Clock {
    resumed_at: Instant,
    before_us: u64,
    held: bool,
}

impl Clock {
    pub(super) fn new() -> Self {
        Self { resumed_at: Instant::now(), before_us: 0, held: false }
    }

    pub(super) fn now_us(&self) -> u64 {
        if self.held {
            return self.before_us;
        }
        self.before_us + self.resumed_at.elapsed().as_micros() as u64
    }

    pub(super) fn hold(&mut self, held: bool) {
        self.before_us = self.now_us();
        self.resumed_at = Instant::now();
        self.held = held;
    }

    /// When the clock will show `at_us`; none while it is held.
    pub(super) fn instant(&self, at_us: u64) -> Option<Instant> {
        if self.held {
            return None;
        }
        let ahead_us = at_us.saturating_sub(self.before_us);
        Some(self.resumed_at + std::time::Duration::from_micros(ahead_us))
    }
}
