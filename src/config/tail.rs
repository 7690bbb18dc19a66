//! Which document an entry host obeys, from the log and from its peers.

use std::sync::Arc;

use super::message::{Offer, Request};
use super::{Accepted, Chain, Change};
use crate::document::Active;
use crate::{log, name};

/// Rounds of asking peers after which a host without a document takes the best one it was offered.
const MAX_ROUNDS: u32 = 10;

/// When the document in force is appended again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Age of the last record from which a new reader can start, in milliseconds. It is well below the log's retention.
    pub after_ms: u64,
    /// Time over which the hosts spread their renewals, in milliseconds.
    pub spread_ms: u64,
}

impl Default for Renewal {
    fn default() -> Self {
        Self { after_ms: 3_600_000, spread_ms: 60_000 }
    }
}

/// What is known of the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Source {
    Unknown,
    Reading,
    Read,
    Down,
}

/// The decisions of one entry host. The document's version never falls.
#[derive(Clone, Debug)]
pub struct Tail {
    chain: Chain,
    in_force: Option<Accepted>,
    candidate: Option<Accepted>,
    heard: Option<(name::Host, u64)>,
    source: Source,
    caught_up: bool,
    rounds: u32,
    renewal: Renewal,
    renew_at_ms: Option<u64>,
}

impl Tail {
    /// A host without a document.
    ///
    /// ```
    /// let tail = nutmeghead::config::Tail::new(Default::default());
    /// assert!(tail.document().is_none() && tail.needs_peers());
    /// ```
    pub fn new(renewal: Renewal) -> Self {
        Self {
            chain: Chain::new(),
            in_force: None,
            candidate: None,
            heard: None,
            source: Source::Unknown,
            caught_up: false,
            rounds: 0,
            renewal,
            renew_at_ms: None,
        }
    }

    /// The document that the host obeys.
    pub fn document(&self) -> Option<&Arc<Active>> {
        self.in_force.as_ref()?.active.as_ref()
    }

    /// Its version, 0 for none.
    pub fn version(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |a| a.snapshot.version)
    }

    /// The reader of the log.
    pub fn chain(&self) -> &Chain {
        &self.chain
    }

    /// Whether a read should wait for a record. The first reads do not, to learn where the stream ends.
    pub fn may_wait(&self) -> bool {
        self.caught_up
    }

    /// Takes in a batch of the log. The host obeys nothing from the log before it has read to the end once without a gap,
    /// since an early document may have been replaced by a later one.
    pub fn read(&mut self, batch: &log::Batch) {
        self.chain.read(batch);
        self.caught_up |= batch.records.is_empty();
        self.source = if self.caught_up { Source::Read } else { Source::Reading };
        if self.caught_up && self.chain.is_anchored() {
            self.obey(self.chain.accepted().cloned());
        }
    }

    /// A call to the log failed.
    pub fn fail(&mut self) {
        self.source = Source::Down;
    }

    /// `host` obeys `version`.
    pub fn hear(&mut self, host: &name::Host, version: u64) {
        if version > self.heard().max(self.version()) {
            self.heard = Some((host.clone(), version));
        }
    }

    /// The host that obeys the newest version heard of, if it is newer than this host's.
    pub fn newer_peer(&self) -> Option<&name::Host> {
        self.heard.as_ref().filter(|(_, version)| *version > self.version()).map(|(host, _)| host)
    }

    /// Whether to ask peers now rather than now and then.
    pub fn needs_peers(&self) -> bool {
        self.in_force.is_none() || self.newer_peer().is_some()
    }

    /// The request to peers.
    pub fn request(&self, environment: name::Environment) -> Request {
        Request { environment, version: self.version(), anchor: !self.chain.is_anchored() }
    }

    /// What to answer a peer.
    pub fn answer(&mut self, from: &name::Host, request: &Request) -> Option<Offer> {
        self.hear(from, request.version);
        let accepted = self.in_force.clone()?;
        let known = self.chain.is_anchored() && self.chain.version() == accepted.snapshot.version;
        let at = known.then(|| self.chain.next());
        let newer = accepted.snapshot.version > request.version;
        let anchor = request.anchor && at.is_some();
        (newer || anchor).then_some(Offer { accepted, at })
    }

    /// Takes in what the peers of one round offered. A host without a document waits for the log while it answers, and
    /// for the newest version that it has heard of, but not longer than `MAX_ROUNDS`. A version that no peer has after
    /// as many rounds is forgotten until it is heard of again.
    pub fn round(&mut self, offers: Vec<Offer>) {
        self.rounds = self.rounds.saturating_add(1);
        for Offer { accepted, at } in offers {
            if let Some(at) = at {
                self.chain.adopt(at, accepted.clone());
            }
            self.consider(accepted);
        }
        let log_settled = matches!(self.source, Source::Read | Source::Down);
        let newest = self.candidate.as_ref().is_some_and(|c| c.snapshot.version >= self.heard());
        let given_up = self.rounds >= MAX_ROUNDS;
        let enough = newest || given_up;
        if self.in_force.is_some()
            || (enough && log_settled)
            || (given_up && self.source == Source::Unknown)
        {
            let candidate = self.candidate.take();
            self.obey(candidate);
        }
        if given_up || !self.needs_peers() {
            self.heard = None;
            self.rounds = 0;
        }
    }

    /// The renewal to append at `now_ms`, in milliseconds since the Unix epoch. `draw`, from 0.0 to 1.0, places this
    /// host's renewal among the others'; a renewal by one host makes the others' unnecessary.
    pub fn renew(&mut self, now_ms: u64, draw: f64) -> Option<Change> {
        if self.source != Source::Read {
            return None;
        }
        let Some(change) = self.chain.renewal(now_ms, self.renewal.after_ms) else {
            self.renew_at_ms = None;
            return None;
        };
        // Also after its own renewal a host waits, so that a wrong clock cannot make it append without pause.
        let spread_ms = (self.renewal.spread_ms as f64 * draw) as u64;
        let at_ms = *self.renew_at_ms.get_or_insert(now_ms.saturating_add(spread_ms));
        if now_ms < at_ms {
            return None;
        }
        self.renew_at_ms = Some(now_ms.saturating_add(self.renewal.spread_ms));
        Some(change)
    }

    fn heard(&self) -> u64 {
        self.heard.as_ref().map_or(0, |(_, version)| *version)
    }

    fn consider(&mut self, accepted: Accepted) {
        let best = self.candidate.as_ref().map_or(0, |c| c.snapshot.version);
        if accepted.snapshot.version > best {
            self.candidate = Some(accepted);
        }
    }

    fn obey(&mut self, accepted: Option<Accepted>) {
        let Some(accepted) = accepted.filter(|a| a.active.is_some()) else { return };
        if accepted.snapshot.version > self.version() {
            self.in_force = Some(accepted);
        }
    }
}
