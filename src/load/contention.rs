//! Hosts and callers that compete for the same free capacity: many hosts see at the same moment that an engine has room, and
//! callers that were refused together would return together.

use std::time::Duration;

/// Time in which the reports of hosts that chose the same engine at the same moment arrive: twice the delay of a datagram
/// between failure domains, and the time of small hosts to read it.
pub const SETTLE_TIME: Duration = Duration::from_millis(8);

/// Requests that gave up a place choose again within this time, at random, so that they do not meet again.
pub const RETRY_SPREAD: Duration = Duration::from_millis(50);

/// Shortest time after which a refused caller returns, in milliseconds: the load reports of the hosts differ by less.
const MIN_RETURN_MS: u64 = 100;

/// Callers return within the first part of the time in which their objective can be met, given by this divisor. The rest is
/// for prompts before theirs.
const RETURN_DIVISOR: u64 = 2;

/// What a refused caller may still reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// Time within which its first event or response was due, in milliseconds.
    pub objective_ms: u64,
    /// Time since its request arrived, in milliseconds.
    pub elapsed_ms: u64,
    /// Expected time from a new attempt to the first event or response, in milliseconds.
    pub service_ms: u64,
}

impl Goal {
    /// When the caller may return, in milliseconds, as selected by the random number `sample`: while its objective can still
    /// be met, or else after those whose objective can.
    ///
    /// ```
    /// use nutmeghead::load::Goal;
    /// let goal = Goal { objective_ms: 1_800, elapsed_ms: 200, service_ms: 400 };
    /// assert!((100..=600).contains(&goal.return_ms(7_919)));
    /// let late = Goal { elapsed_ms: 1_700, ..goal };
    /// assert!((900..=1_800).contains(&late.return_ms(7_919)));
    /// ```
    pub fn return_ms(self, sample: u64) -> u64 {
        let left_ms = self.objective_ms.saturating_sub(self.elapsed_ms + self.service_ms);
        let latest_ms = left_ms / RETURN_DIVISOR;
        if latest_ms <= MIN_RETURN_MS {
            return self.later_ms(sample);
        }
        spread(MIN_RETURN_MS, latest_ms, sample)
    }

    /// When a caller may return whose objective cannot be met any more, in milliseconds.
    pub fn later_ms(self, sample: u64) -> u64 {
        let to_ms = self.objective_ms.max(MIN_RETURN_MS);
        spread((to_ms / 2).max(MIN_RETURN_MS), to_ms, sample)
    }
}

/// A time from `from_ms` to `to_ms`.
fn spread(from_ms: u64, to_ms: u64, sample: u64) -> u64 {
    from_ms + sample % (to_ms - from_ms + 1)
}
