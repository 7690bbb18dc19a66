//! Milliseconds since the process started, for decision logic that takes the time as a number.

use std::time::Instant;

/// A monotonic clock that starts at 0.
#[derive(Clone, Copy, Debug)]
pub struct Clock(Instant);

impl Default for Clock {
    fn default() -> Self {
        Self::new()
    }
}

impl Clock {
    /// A clock that shows 0 now.
    pub fn new() -> Self {
        Self(Instant::now())
    }

    /// Milliseconds since [`Clock::new`].
    ///
    /// ```
    /// assert!(nutmeghead::clock::Clock::new().now_ms() < 60_000);
    /// ```
    pub fn now_ms(&self) -> u64 {
        self.0.elapsed().as_millis() as u64
    }
}
