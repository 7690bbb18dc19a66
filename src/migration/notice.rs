//! Learns how long engines run after their notice that they leave.

/// Time assumed before any notice was observed, in milliseconds.
const INITIAL_MS: f64 = 1_450.0;

/// Plausible times, in milliseconds.
const PLAUSIBLE_MS: std::ops::RangeInclusive<f64> = 100.0..=60_000.0;

/// Part of the difference to a longer notice by which the expected time rises. It falls to a shorter one at once: a
/// generation that is stopped too early pauses, one that is stopped too late is lost.
const RISE: f64 = 0.05;

/// The shortest recent time between a host's knowledge of a notice and the shutdown of the engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Notice {
    ms: f64,
}

impl Default for Notice {
    fn default() -> Self {
        Self { ms: INITIAL_MS }
    }
}

impl Notice {
    /// Records an engine that shuts down `ms` after this host learnt of its notice.
    ///
    /// ```
    /// let mut notice = nutmeghead::migration::Notice::default();
    /// notice.record(700);
    /// assert_eq!(notice.expected_ms(), 700);
    /// notice.record(1_700);
    /// assert_eq!(notice.expected_ms(), 750);
    /// ```
    pub fn record(&mut self, ms: u64) {
        let ms = (ms as f64).clamp(*PLAUSIBLE_MS.start(), *PLAUSIBLE_MS.end());
        let rise = (ms - self.ms) * RISE;
        self.ms = if ms < self.ms { ms } else { self.ms + rise };
    }

    /// Expected time until an engine shuts down whose notice was just learnt, in milliseconds.
    pub fn expected_ms(self) -> u64 {
        self.ms as u64
    }
}
