//! Bounds on the time for which a stream may go without a complete event.
//!
//! An engine that is silent may go on, so silence alone ends no stream: another engine is asked to continue one that can be
//! resumed, and the first of both that has an event is used. Bytes are no progress: an engine or an intermediary that sends
//! some again and again and never completes an event is stalled.

use std::time::Duration;

#[cfg(test)]
mod tests;

/// Least time after which a stream that gets bytes and no event is ended. That loses its work, so it must be worthless by
/// then.
const MIN_BOUND: Duration = Duration::from_secs(10);

/// Least time after which another engine is asked to continue a stream that can be resumed.
const MIN_RESUMABLE_BOUND: Duration = Duration::from_millis(900);

/// A stream is worthless to its caller after this many times its objective without an event.
const OBJECTIVES: u32 = 4;

/// A stream is worthless to its caller after this many times its longest pause without an event.
const PAUSES: u32 = 8;

/// Another engine is asked to continue a stream after this many times its longest pause without an event.
const RESUMABLE_PAUSES: u32 = 5;

/// Divisor of the time after which a stream that gets bytes and no event is ended. Bytes after a pause of that length are
/// those of an engine that goes on.
const SILENCE_DIVISOR: u64 = 2;

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
    /// Time without a complete event after which another engine is asked to continue a stream that can be resumed, and
    /// after which one that cannot be is ended if bytes arrive all the while.
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
    /// Time without an event after which another engine is asked.
    silence_ms: u64,
    /// Time for which bytes may arrive without an event.
    stall_ms: u64,
    events: u64,
    since_ms: u64,
    /// Start of the bytes without an event and without a long pause.
    bytes_since_ms: u64,
    last_bytes_ms: u64,
}

impl Watch {
    /// A stream from which the first event is awaited since `now_ms`.
    pub fn new(expectation: Expectation, now_ms: u64) -> Self {
        let stall = Expectation { resumable: false, ..expectation };
        Self {
            silence_ms: bound_ms(expectation),
            stall_ms: bound_ms(stall),
            events: 0,
            since_ms: now_ms,
            bytes_since_ms: now_ms,
            last_bytes_ms: now_ms,
        }
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
        let pause_ms = now_ms.saturating_sub(std::mem::replace(&mut self.last_bytes_ms, now_ms));
        if events > self.events {
            (self.events, self.since_ms, self.bytes_since_ms) = (events, now_ms, now_ms);
        } else if pause_ms > self.stall_ms / SILENCE_DIVISOR {
            self.bytes_since_ms = now_ms;
        }
    }

    /// Starts the time again, after nothing could be done about a silent engine.
    pub fn restart(&mut self, now_ms: u64) {
        self.since_ms = now_ms;
    }

    /// Milliseconds until another engine is asked to continue the stream; 0 if that is due.
    pub fn remaining_ms(&self, now_ms: u64) -> u64 {
        self.since_ms.saturating_add(self.silence_ms).saturating_sub(now_ms)
    }

    /// Whether bytes have arrived for longer than callers accept and completed no event.
    ///
    /// ```
    /// use nutmeghead::stall::{Expectation, Watch};
    /// let objective = std::time::Duration::from_secs(1);
    /// let mut watch = Watch::new(Expectation { resumable: true, objective, max_pause: None }, 0);
    /// watch.record(0, 4_000);
    /// watch.record(0, 8_000);
    /// assert!(!watch.is_stalled());
    /// watch.record(0, 12_000);
    /// assert!(watch.is_stalled());
    /// ```
    pub fn is_stalled(&self) -> bool {
        self.last_bytes_ms.saturating_sub(self.bytes_since_ms) >= self.stall_ms
    }
}

fn bound_ms(expectation: Expectation) -> u64 {
    u64::try_from(expectation.bound().as_millis()).unwrap_or(u64::MAX)
}
