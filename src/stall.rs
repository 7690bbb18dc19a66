//! Bounds on the time for which a stream may go without a complete event.
//!
//! Bytes alone are no progress: a stalled engine or an intermediary may send some now and then and never complete an
//! event.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Least bound for streams that cannot be resumed. Ending one loses its work, so it must be worthless by then.
const MIN_BOUND: Duration = Duration::from_secs(10);

/// Least bound for streams that another engine can continue.
const MIN_RESUMABLE_BOUND: Duration = Duration::from_millis(900);

/// A stream is worthless to its caller after this many times its objective without an event.
const OBJECTIVES: u32 = 4;

/// A stream is worthless to its caller after this many times its longest pause without an event.
const PAUSES: u32 = 8;

/// A stream that can be resumed is resumed after this many times its longest pause without an event.
const RESUMABLE_PAUSES: u32 = 5;

/// What the callers of a stream accept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Expectation {
    /// Whether another engine can continue the stream.
    pub resumable: bool,
    /// Target latency of the first event.
    pub objective: Duration,
    /// Longest pause between two events, if one is stated.
    pub max_pause: Option<Duration>,
}

impl Expectation {
    /// Longest time without a complete event after which the stream is ended, or resumed if it can be.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::stall::Expectation;
    /// let objective = Duration::from_secs(3);
    /// let stream = Expectation { resumable: false, objective, max_pause: None };
    /// assert_eq!(stream.bound(), Duration::from_secs(12));
    /// ```
    pub fn bound(self) -> Duration {
        let max_pause = self.max_pause.unwrap_or_default();
        if self.resumable {
            return MIN_RESUMABLE_BOUND.max(max_pause.saturating_mul(RESUMABLE_PAUSES));
        }
        let objectives = self.objective.saturating_mul(OBJECTIVES);
        MIN_BOUND.max(objectives).max(max_pause.saturating_mul(PAUSES))
    }
}

/// The progress of one stream. Times are in milliseconds of any clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Watch {
    bound_ms: u64,
    events: u64,
    since_ms: u64,
}

impl Watch {
    /// A stream from which the first event is awaited since `now_ms`.
    pub fn new(expectation: Expectation, now_ms: u64) -> Self {
        let bound_ms = u64::try_from(expectation.bound().as_millis()).unwrap_or(u64::MAX);
        Self { bound_ms, events: 0, since_ms: now_ms }
    }

    /// Bytes were received and forwarded by `now_ms`; the stream has had `events` complete events so far.
    ///
    /// ```
    /// use nutmeghead::stall::{Expectation, Watch};
    /// let objective = std::time::Duration::from_secs(1);
    /// let mut watch = Watch::new(Expectation { resumable: false, objective, max_pause: None }, 0);
    /// watch.record(1, 9_000);
    /// watch.record(1, 18_000);
    /// assert_eq!(watch.remaining_ms(18_500), 500);
    /// ```
    pub fn record(&mut self, events: u64, now_ms: u64) {
        if events > self.events {
            (self.events, self.since_ms) = (events, now_ms);
        }
    }

    /// Milliseconds until the stream counts as stalled; 0 if it does.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.since_ms.saturating_add(self.bound_ms).saturating_sub(now_ms)
    }
}
