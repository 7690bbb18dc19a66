//! The order in which the generations of a leaving engine are copied over its link.
//!
//! Every generation of an engine learns of the notice at the same moment, at a different host. If all copies start at
//! once, they queue on the engine's link: nearly all are complete only when the engine shuts down, and the last part of
//! each waits behind the others. All hosts therefore derive the same order from the engine's report, and each starts its
//! copy when it hears that the generations before have moved.

use std::sync::Arc;
use std::time::Duration;

use super::traffic::{Progress, Traffic};
use crate::name;

/// Events below which a generation is left out of the order: it is short and ends before the engine shuts down.
const MIN_EVENTS: u64 = 6;

/// Time in which the host of the next generation says that it copies, in milliseconds: it fetches the engine's report
/// first. A generation of which nothing is heard has ended, or its host does not know of the notice yet.
const MAX_SILENCE_MS: u64 = 60;

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

/// The place of a generation in the order in which those of its engine are copied. Those with the smallest KV cache come
/// first, so that as many as possible are saved.
#[derive(Clone, Debug)]
pub struct Turn {
    source: name::Server,
    noticed_ms: u64,
    /// The generations before this one.
    before: Vec<Arc<str>>,
}

impl Turn {
    /// The turn of the generation `id` among `runs`, the generations of `source`, which gave notice at `noticed_ms`. One
    /// that is not listed comes last.
    ///
    /// ```
    /// use nutmeghead::migration::{Traffic, Turn};
    /// let turn = Turn::new(nutmeghead::name::Server::new("e-1")?, &[], "r-1", 500);
    /// assert_eq!(turn.starts_at_ms(&Traffic::new()), 500);
    /// # Ok::<(), nutmeghead::name::Error>(())
    /// ```
    pub fn new(source: name::Server, runs: &[Run], id: &str, noticed_ms: u64) -> Self {
        let own = runs.iter().find(|run| *run.id == *id && run.events >= MIN_EVENTS);
        let is_before = |run: &&Run| {
            run.events >= MIN_EVENTS
                && own.is_none_or(|own| (run.tokens, &run.id) < (own.tokens, &own.id))
        };
        let mut before: Vec<_> = runs.iter().filter(is_before).collect();
        before.sort_unstable_by(|a, b| (a.tokens, &a.id).cmp(&(b.tokens, &b.id)));
        let before = before.iter().map(|run| Arc::clone(&run.id)).collect();
        Self { source, noticed_ms, before }
    }

    /// When the first copy starts: once the link of the source is free and the hosts of the generations before this one
    /// had time to say that they copy.
    pub fn starts_at_ms(&self, traffic: &Traffic) -> u64 {
        let mut free_ms = self.noticed_ms.max(traffic.busy_until_ms(&self.source));
        for id in &self.before {
            free_ms = match traffic.progress(&self.source, id) {
                Some(Progress::Ended { at_ms }) => free_ms.max(*at_ms),
                Some(Progress::Copying { until_ms, .. }) => free_ms.max(*until_ms),
                None => free_ms + MAX_SILENCE_MS,
            };
        }
        free_ms
    }

    /// Generations before this one of which nothing was heard.
    pub fn silent(&self, traffic: &Traffic) -> usize {
        self.before.iter().filter(|id| traffic.progress(&self.source, id).is_none()).count()
    }

    /// Generations before this one.
    pub fn position(&self) -> usize {
        self.before.len()
    }
}
