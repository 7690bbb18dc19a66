//! A token bucket.

use tokio::time::Instant;

/// A token bucket that starts with a given number of tokens.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    refilled_at: Instant,
}

impl Bucket {
    pub(crate) fn new(tokens: f64) -> Self {
        Self { tokens, refilled_at: Instant::now() }
    }

    /// Refills at `rate` tokens per second up to `capacity`, then removes a token. If there is none, fails with the
    /// time until the next one, in seconds.
    pub(crate) fn try_acquire(
        &mut self,
        now: Instant,
        rate: f64,
        capacity: f64,
    ) -> Result<(), f64> {
        let refill = now.saturating_duration_since(self.refilled_at).as_secs_f64() * rate;
        self.refilled_at = now;
        self.tokens = (self.tokens + refill).min(capacity);
        if self.tokens < 1.0 {
            return Err((1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
