//! Learns how fast the engines of a service prefill prompts.
//!
//! The rate includes everything that delays a first event under load: decoding steps between the parts of a prompt, and
//! prompts that were sent before.

/// Rate assumed before any prompt was measured, in tokens per millisecond.
const INITIAL_TOKENS_PER_MS: f64 = 7.0;

/// Change of the rate by one prompt. The rate approaches the median, so that a few prompts that waited for memory do not
/// change it.
const STEP: f64 = 0.04;

/// Fewest tokens of a prompt that is measured. For shorter ones, other delays than prefill dominate.
const MIN_TOKENS: u64 = 500;

/// Plausible rates, in tokens per millisecond.
const PLAUSIBLE: std::ops::RangeInclusive<f64> = 0.05..=2_000.0;

/// Rate at which the engines of one service prefill prompts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Rate {
    tokens_per_ms: f64,
}

impl Default for Rate {
    fn default() -> Self {
        Self { tokens_per_ms: INITIAL_TOKENS_PER_MS }
    }
}

impl Rate {
    /// Records that the first event of a prompt came after `elapsed_ms`. `tokens` awaited prefill at its engine when it was
    /// sent, its own included.
    ///
    /// ```
    /// let mut rate = nutmeghead::load::Rate::default();
    /// for _ in 0..100 {
    ///     rate.record(3_000, 1_500);
    /// }
    /// assert!((1_400..1_600).contains(&rate.time_ms(3_000)));
    /// ```
    pub fn record(&mut self, tokens: u64, elapsed_ms: u64) {
        if tokens < MIN_TOKENS {
            return;
        }
        let measured = tokens as f64 / elapsed_ms.max(1) as f64;
        let factor = if measured > self.tokens_per_ms { 1.0 + STEP } else { 1.0 / (1.0 + STEP) };
        let next = self.tokens_per_ms * factor;
        self.tokens_per_ms = next.clamp(*PLAUSIBLE.start(), *PLAUSIBLE.end());
    }

    /// Expected time until the prefill of `tokens` ends, in milliseconds.
    pub fn time_ms(self, tokens: u64) -> u64 {
        (tokens as f64 / self.tokens_per_ms) as u64
    }
}
