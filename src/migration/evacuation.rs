//! The order in which the generations of a leaving engine are copied over its link.
//!
//! Every generation of an engine learns of the notice at the same moment, at a different host. If all copies start at
//! once, they queue on the engine's link: nearly all are complete only when the engine shuts down, and the last part of
//! each waits behind the others. All hosts therefore derive the same order from the engine's report, and each starts a
//! copy when those before it are expected to be complete.

use std::sync::Arc;
use std::time::Duration;

/// Events below which a generation is left out of the order: it is short and ends before the engine shuts down.
const MIN_EVENTS: u64 = 6;

/// Time after the copy of a generation in which the link is kept free for the parts that it produced meanwhile: one is
/// copied while it runs, the other after its stop. If the next copy starts in between, the generation pauses for all of
/// that copy.
const GAP: Duration = Duration::from_millis(50);

/// A generation that runs at an engine.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Run {
    /// Id of its request.
    pub id: Arc<str>,
    /// Tokens in its KV cache.
    pub tokens: u64,
    /// Events produced so far.
    pub events: u64,
}

/// The link over which an engine copies KV caches.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Link {
    /// Size of one token in a KV cache, in bytes.
    pub token_bytes: u64,
    /// Bandwidth, in megabits per second; 0 if unknown.
    pub megabits_per_s: f64,
}

impl Link {
    /// Duration of a copy of `tokens` within a failure domain over the idle link; zero if the bandwidth is unknown.
    ///
    /// ```
    /// use nutmeghead::migration::Link;
    /// let link = Link { token_bytes: 18_432, megabits_per_s: 2_700.0 };
    /// assert_eq!(link.copy_time(3_500).as_millis(), 191);
    /// ```
    pub fn copy_time(self, tokens: u64) -> Duration {
        if self.megabits_per_s <= 0.0 {
            return Duration::ZERO;
        }
        let megabits = (tokens * self.token_bytes) as f64 * 8.0 / 1_000_000.0;
        Duration::from_secs_f64(megabits / self.megabits_per_s)
    }
}

/// Time after the engine's notice at which the first copy of the generation `id` starts, if `runs` are the generations
/// of the engine. Those with the smallest KV cache come first, so that as many as possible are saved; one that is not
/// listed comes last.
///
/// ```
/// use std::time::Duration;
/// use nutmeghead::migration::{Link, start_delay};
/// let link = Link { token_bytes: 18_432, megabits_per_s: 2_700.0 };
/// assert_eq!(start_delay(&[], "a", link), Duration::ZERO);
/// ```
pub fn start_delay(runs: &[Run], id: &str, link: Link) -> Duration {
    let own = runs.iter().find(|run| *run.id == *id && run.events >= MIN_EVENTS);
    let is_before = |run: &&Run| {
        run.events >= MIN_EVENTS
            && own.is_none_or(|own| (run.tokens, &run.id) < (own.tokens, &own.id))
    };
    let before = runs.iter().filter(is_before);
    before
        .map(|run| link.copy_time(run.tokens))
        .filter(|time| !time.is_zero())
        .map(|t| t + GAP)
        .sum()
}
