//! Turns of the hosts that have generations at an engine of an evacuated domain, so that one generation of the engine is
//! moved at a time.
//!
//! All hosts learn of an evacuation at nearly the same time, and know from load reports which hosts have generations at
//! an engine. They derive the same turns from both without further messages.

/// Duration of a turn, in milliseconds: about that of one move to another failure domain.
const TURN_MS: u64 = 700;

/// Part of a turn in which a move may start, as a divisor: a later one would extend far into the next host's turn.
const START_DIVISOR: u64 = 2;

/// Position of a host among those that have generations at an engine, the one with most tokens first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Turn {
    position: u64,
    hosts: u64,
}

impl Turn {
    /// The turn of a host with `own` tokens at an engine, where `others` have generations as well. Names decide between
    /// hosts with the same tokens.
    ///
    /// ```
    /// use nutmeghead::evacuation::Turn;
    /// let first = Turn::new((900, "h-2"), [(400, "h-1")]);
    /// assert!(first.may_start(0) && !Turn::new((400, "h-1"), [(900, "h-2")]).may_start(0));
    /// ```
    pub fn new<'a>(own: (u64, &'a str), others: impl IntoIterator<Item = (u64, &'a str)>) -> Self {
        let mut turn = Self { position: 0, hosts: 1 };
        for (tokens, host) in others {
            turn.hosts += 1;
            let is_before = tokens > own.0 || (tokens == own.0 && host < own.1);
            turn.position += u64::from(is_before);
        }
        turn
    }

    /// Whether a move may start `elapsed_ms` after the evacuation was learnt.
    pub fn may_start(self, elapsed_ms: u64) -> bool {
        let is_current = (elapsed_ms / TURN_MS) % self.hosts == self.position;
        is_current && elapsed_ms % TURN_MS < TURN_MS / START_DIVISOR
    }
}
