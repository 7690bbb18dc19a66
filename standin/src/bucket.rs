//! A token bucket.

use tokio::time::Instant;

/// Allows a rate, with bursts of up to `capacity`.
#[derive(Debug)]
pub(crate) struct Bucket {
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    pub(crate) fn new(tokens: f64) -> Self {
        Self { tokens, filled_at: Instant::now() }
    }

    /// Takes a token at a rate per second. Fails with the seconds until there is one.
    pub(crate) fn take(&mut self, now: Instant, rate: f64, capacity: f64) -> Result<(), f64> {
        let earned = now.saturating_duration_since(self.filled_at).as_secs_f64() * rate;
        self.filled_at = now;
        self.tokens = (self.tokens + earned).min(capacity);
        if self.tokens < 1.0 {
            return Err((1.0 - self.tokens) / rate.max(f64::MIN_POSITIVE));
        }
        self.tokens -= 1.0;
        Ok(())
    }
}
