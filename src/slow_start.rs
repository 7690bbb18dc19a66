//! Slow start of a server that is new or recovers: how many requests may await its first response at the same time.
//!
//! The window counts the requests of all hosts together that await a response, or the first event of a stream. It grows by
//! one for each response within its objective, so that it doubles in each round of responses, and is halved by a failure,
//! a rejection or a late response. After that, or after a response in the second half of its objective, it grows by one for
//! each round of responses: late responses are known only when many more requests were sent. Hosts tell each other each change, and each host uses its share. A window changes with
//! responses only, never with time. The design is described in `docs/design/slow-start.md`.

#[cfg(test)]
mod tests;

/// Window at the start, in requests of all hosts: one each of at most this many hosts.
const START: u32 = 4;

/// Smallest window at which slow start ends, for servers with fewer slots.
const MIN_END: u32 = 4;

/// Time after which each further host may send to a server without requests, in milliseconds: the hosts that have no part
/// of the window do not find it idle at the same moment.
const TURN_MS: u64 = 20;

/// Longest time after which any host may send to a server without requests, in milliseconds.
const MAX_TURN_MS: u64 = 1_000;

/// Time after the end of slow start in which changes that other hosts tell do not begin it again, in milliseconds: they
/// may have been sent before the end.
const ENDED_MS: u64 = 5_000;

/// Failure score above which a server has to recover.
pub const FAILING_SCORE: f64 = 1.0;

/// How a server responded to a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// Within half of the objective.
    Good,
    /// Within the objective.
    Slow,
    /// Too late, with a rejection or with a failure.
    Bad,
}

impl Outcome {
    /// The outcome of a successful response after `elapsed_ms`. Every response is good if there is no objective (0).
    ///
    /// ```
    /// use nutmeghead::slow_start::Outcome;
    /// assert_eq!(Outcome::new(700, 600), Outcome::Bad);
    /// assert_eq!(Outcome::new(700, 0), Outcome::Good);
    /// ```
    pub fn new(elapsed_ms: u64, objective_ms: u64) -> Self {
        match elapsed_ms {
            _ if objective_ms == 0 || elapsed_ms <= objective_ms / 2 => Self::Good,
            _ if elapsed_ms <= objective_ms => Self::Slow,
            _ => Self::Bad,
        }
    }
}

/// A change of a window, which hosts tell each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The server recovers, and the window begins.
    Began,
    /// The window has grown by one to this many requests.
    Grown(u32),
    /// The window was halved to this many requests.
    Reduced(u32),
    /// The window has reached its end.
    Ended,
}

/// Time for which the position of a host holds, in milliseconds. Deriving it takes a hash for each host.
const POSITION_RETENTION_MS: u64 = 250;

/// A window that limits requests.
#[derive(Clone, Copy, Debug)]
struct Active {
    /// Requests of all hosts.
    requests: u32,
    /// Window at which slow start ends.
    end: u32,
    /// Window above which it grows by one for each round of responses.
    slow_above: u32,
    /// Responses of this host within the objective since such a growth.
    good: u32,
    /// The position of this host among the live ones.
    rank: u32,
    /// Live hosts; 0 if they were not counted yet. This host has no part of the window then.
    hosts: u32,
    /// Until when the position holds, in milliseconds.
    position_until_ms: u64,
    began_ms: u64,
    /// When the window was last halved, in milliseconds.
    reduced_ms: u64,
}

impl Active {
    /// Sets the window to `requests` after a bad response.
    fn reduce(&mut self, requests: u32, now_ms: u64) {
        (self.requests, self.slow_above, self.good) = (requests, requests, 0);
        self.reduced_ms = now_ms;
    }

    /// The part of this host. The remainder goes to the first ones.
    fn share(&self) -> u32 {
        let whole = self.requests.checked_div(self.hosts).unwrap_or(0);
        whole + u32::from(self.requests.checked_rem(self.hosts).is_some_and(|r| self.rank < r))
    }
}

/// The window of one host for one server.
#[derive(Clone, Copy, Debug, Default)]
pub struct Window {
    active: Option<Active>,
    /// Whether the server failed and has not responded since.
    is_failing: bool,
    /// Requests of this host that await a response.
    awaiting: u32,
    /// When slow start last ended, in milliseconds.
    ended_ms: Option<u64>,
}

impl Window {
    /// A server without a window, which takes requests without a limit.
    ///
    /// ```
    /// assert!(nutmeghead::slow_start::Window::new().has_room(false, 0));
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Whether requests are limited.
    pub fn is_active(&self) -> bool {
        self.active.is_some()
    }

    /// The window, in requests of all hosts; `None` if requests are not limited.
    pub fn requests(&self) -> Option<u32> {
        self.active.map(|active| active.requests)
    }

    /// Begins slow start of a server with `slots`. The window begins again if there is one.
    pub fn begin(&mut self, slots: u32, now_ms: u64) {
        self.is_failing = false;
        self.active = Some(Active {
            requests: START,
            end: slots.max(MIN_END),
            slow_above: u32::MAX,
            good: 0,
            rank: u32::MAX,
            hosts: 0,
            position_until_ms: 0,
            began_ms: now_ms,
            reduced_ms: now_ms,
        });
    }

    /// Ends slow start.
    pub fn end(&mut self, now_ms: u64) {
        self.active = None;
        self.ended_ms = Some(now_ms);
    }

    /// Whether the position of this host has to be derived again.
    pub fn needs_position(&self, now_ms: u64) -> bool {
        self.active.is_some_and(|active| now_ms >= active.position_until_ms)
    }

    /// Sets the position of this host, before which `rank` of `hosts` live hosts come.
    pub fn set_position(&mut self, rank: usize, hosts: usize, now_ms: u64) {
        let Some(active) = &mut self.active else { return };
        let hosts = u32::try_from(hosts.max(1)).unwrap_or(u32::MAX);
        if active.hosts == 0 && active.requests == START {
            active.requests = active.requests.min(hosts);
        }
        (active.rank, active.hosts) = (u32::try_from(rank).unwrap_or(u32::MAX), hosts);
        active.position_until_ms = now_ms + POSITION_RETENTION_MS;
    }

    /// Whether this host may send a further request. `is_idle` says whether the server has no known requests: then a host
    /// without a part of the window may send one, in its turn.
    pub fn has_room(&self, is_idle: bool, now_ms: u64) -> bool {
        let Some(active) = self.active else { return true };
        if self.awaiting < active.share() {
            return true;
        }
        let turn_ms = u64::from(active.rank).saturating_mul(TURN_MS).min(MAX_TURN_MS);
        is_idle && self.awaiting == 0 && now_ms >= active.began_ms + turn_ms
    }

    /// Counts a request that is sent.
    pub fn enter(&mut self) {
        self.awaiting += 1;
    }

    /// Removes a request that no longer awaits a response.
    pub fn leave(&mut self) {
        self.awaiting = self.awaiting.saturating_sub(1);
    }

    /// Records that the failure score of the server is `score`. Above [`FAILING_SCORE`], slow start begins with its next
    /// response.
    pub fn note_score(&mut self, score: f64) {
        self.is_failing |= score > FAILING_SCORE;
    }

    /// Records the outcome of a request that was sent at `sent_ms` to a server with `slots`. Returns what to tell other
    /// hosts.
    pub fn record(
        &mut self,
        outcome: Outcome,
        slots: u32,
        sent_ms: u64,
        now_ms: u64,
    ) -> Option<Change> {
        if outcome != Outcome::Bad && self.is_failing {
            self.begin(slots, now_ms);
            return Some(Change::Began);
        }
        let active = self.active.as_mut()?;
        if outcome == Outcome::Slow {
            active.slow_above = active.slow_above.min(active.requests);
        }
        if outcome != Outcome::Bad {
            active.good += 1;
            if active.requests >= active.slow_above && active.good < active.requests {
                return None;
            }
            active.good = 0;
            active.requests += 1;
            let change = Change::Grown(active.requests);
            return Some(if self.end_if_reached(now_ms) { Change::Ended } else { change });
        }
        // Requests sent together fail together, which is one reason to send fewer.
        if sent_ms < active.reduced_ms {
            return None;
        }
        active.reduce((active.requests / 2).max(1), now_ms);
        Some(Change::Reduced(active.requests))
    }

    /// Applies what another host told. Returns whether a window began or ended.
    pub fn hear(&mut self, change: Change, slots: u32, now_ms: u64) -> bool {
        let was_active = self.is_active();
        match (change, &mut self.active) {
            (Change::Began, None) => self.begin(slots, now_ms),
            // Hosts notice a recovery one after the other.
            (Change::Began, Some(_)) | (Change::Ended, None) => {}
            // This host started or learnt of the server later than others.
            (Change::Grown(told) | Change::Reduced(told), None) => {
                if self.ended_ms.is_none_or(|ended_ms| now_ms >= ended_ms + ENDED_MS) {
                    self.begin(slots, now_ms);
                    let requests = told.clamp(1, slots.max(MIN_END));
                    self.active = self.active.map(|active| Active { requests, ..active });
                }
            }
            (Change::Grown(told), Some(active)) => {
                // Two hosts may have counted different responses up to the same window.
                active.requests = (active.requests + 1).max(told.min(active.end));
                self.end_if_reached(now_ms);
            }
            (Change::Reduced(told), Some(active)) => {
                active.reduce(active.requests.min(told.max(1)), now_ms);
            }
            (Change::Ended, Some(_)) => self.end(now_ms),
        }
        was_active != self.is_active()
    }

    fn end_if_reached(&mut self, now_ms: u64) -> bool {
        let reached = self.active.is_some_and(|active| active.requests >= active.end);
        if reached {
            self.end(now_ms);
        }
        reached
    }
}
