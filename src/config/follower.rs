//! Selects the document that an entry host uses, from the log and from its peers.

use std::sync::Arc;

use super::message::{Offer, Request};
use super::{Accepted, Change, Reader};
use crate::document::Active;
use crate::{log, name};

/// Rounds of asking peers after which a host without a document uses the newest one that a peer offered.
const MAX_ROUNDS: u32 = 10;

/// When the document in force is appended again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Renewal {
    /// Age of the latest checkpoint after which a renewal is due, in milliseconds. A checkpoint is a record from which
    /// a new reader can start. The age is well below the log's retention.
    pub after_ms: u64,
    /// Period over which the hosts spread their renewals at random, in milliseconds.
    pub spread_ms: u64,
}

impl Default for Renewal {
    fn default() -> Self {
        Self { after_ms: 3_600_000, spread_ms: 60_000 }
    }
}

/// State of the access to the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Status {
    Unknown,
    CatchingUp,
    CaughtUp,
    Down,
}

/// The state from which one entry host selects its document. The document's version never decreases.
#[derive(Clone, Debug)]
pub struct Follower {
    reader: Reader,
    current: Option<Accepted>,
    /// The newest document that peers offered and that this host does not use yet.
    candidate: Option<Accepted>,
    /// The host with the newest observed version, and that version.
    newest_peer: Option<(name::Host, u64)>,
    log_status: Status,
    /// Whether a read has reached the end of the stream.
    caught_up: bool,
    /// Rounds of asking peers since the last round that ended the need for them or reached `MAX_ROUNDS`.
    rounds: u32,
    renewal: Renewal,
    renew_at_ms: Option<u64>,
}

impl Follower {
    /// Creates the state of a host without a document.
    ///
    /// ```
    /// let follower = nutmeghead::config::Follower::new(Default::default());
    /// assert!(follower.document().is_none() && follower.needs_peers());
    /// ```
    pub fn new(renewal: Renewal) -> Self {
        Self {
            reader: Reader::new(),
            current: None,
            candidate: None,
            newest_peer: None,
            log_status: Status::Unknown,
            caught_up: false,
            rounds: 0,
            renewal,
            renew_at_ms: None,
        }
    }

    /// The document that the host uses.
    pub fn document(&self) -> Option<&Arc<Active>> {
        self.current.as_ref()?.active.as_ref()
    }

    /// The version of [`Self::document`], 0 for none.
    pub fn version(&self) -> u64 {
        self.current.as_ref().map_or(0, |a| a.snapshot.version)
    }

    /// The reader of the log.
    pub fn reader(&self) -> &Reader {
        &self.reader
    }

    /// Whether a read may wait for new records. Reads before the end of the stream is known do not wait.
    pub fn may_wait(&self) -> bool {
        self.caught_up
    }

    /// Applies a batch read from the log. The host uses no document from the log before it has read to the end once
    /// without a gap, because a later record may have replaced an early document.
    pub fn apply(&mut self, batch: &log::Batch) {
        self.reader.apply(batch);
        self.caught_up |= batch.records.is_empty();
        self.log_status = if self.caught_up { Status::CaughtUp } else { Status::CatchingUp };
        if self.caught_up && self.reader.is_synced() {
            self.activate(self.reader.accepted().cloned());
        }
    }

    /// Records that a call to the log failed.
    pub fn log_failed(&mut self) {
        self.log_status = Status::Down;
    }

    /// Records that `host` uses document `version`.
    pub fn observe_version(&mut self, host: &name::Host, version: u64) {
        if version > self.newest_peer_version().max(self.version()) {
            self.newest_peer = Some((host.clone(), version));
        }
    }

    /// The peer with the newest observed version, if that version is newer than this host's.
    pub fn newer_peer(&self) -> Option<&name::Host> {
        self.newest_peer
            .as_ref()
            .filter(|(_, version)| *version > self.version())
            .map(|(host, _)| host)
    }

    /// Whether to ask peers in every round rather than only occasionally.
    pub fn needs_peers(&self) -> bool {
        self.current.is_none() || self.newer_peer().is_some()
    }

    /// The request to send to peers.
    pub fn request(&self, environment: name::Environment) -> Request {
        Request { environment, version: self.version(), needs_checkpoint: !self.reader.is_synced() }
    }

    /// The response to `request` from the peer `from`; `None` if this host has nothing that the peer needs.
    pub fn handle(&mut self, from: &name::Host, request: &Request) -> Option<Offer> {
        self.observe_version(from, request.version);
        let accepted = self.current.clone()?;
        let known = self.reader.is_synced() && self.reader.version() == accepted.snapshot.version;
        let at = known.then(|| self.reader.next());
        let newer = accepted.snapshot.version > request.version;
        let needs_checkpoint = request.needs_checkpoint && at.is_some();
        (newer || needs_checkpoint).then_some(Offer { accepted, at })
    }

    /// Ends one round of asking peers with their `offers`. A host without a document waits for the log as long as the
    /// log responds, and for the newest version that it has observed, but for at most `MAX_ROUNDS` rounds. An observed
    /// version that no peer has offered after as many rounds is dropped until it is observed again.
    pub fn finish_round(&mut self, offers: Vec<Offer>) {
        self.rounds = self.rounds.saturating_add(1);
        for Offer { accepted, at } in offers {
            if let Some(at) = at {
                self.reader.adopt(at, accepted.clone());
            }
            self.add_candidate(accepted);
        }
        let log_settled = matches!(self.log_status, Status::CaughtUp | Status::Down);
        let newest_version = self.newest_peer_version();
        let newest = self.candidate.as_ref().is_some_and(|c| c.snapshot.version >= newest_version);
        let timed_out = self.rounds >= MAX_ROUNDS;
        let peers_settled = newest || timed_out;
        if self.current.is_some()
            || (peers_settled && log_settled)
            || (timed_out && self.log_status == Status::Unknown)
        {
            let candidate = self.candidate.take();
            self.activate(candidate);
        }
        if timed_out || !self.needs_peers() {
            self.newest_peer = None;
            self.rounds = 0;
        }
    }

    /// The renewal to append at `now_ms`, in milliseconds since the Unix epoch. `jitter`, a random number from 0.0 to
    /// 1.0, spreads the hosts' renewals in time, because the renewal by one host makes those of the others unnecessary.
    pub fn renew(&mut self, now_ms: u64, jitter: f64) -> Option<Change> {
        if self.log_status != Status::CaughtUp {
            return None;
        }
        let Some(change) = self.reader.renewal(now_ms, self.renewal.after_ms) else {
            self.renew_at_ms = None;
            return None;
        };
        let delay_ms = (self.renewal.spread_ms as f64 * jitter) as u64;
        let at_ms = *self.renew_at_ms.get_or_insert(now_ms.saturating_add(delay_ms));
        if now_ms < at_ms {
            return None;
        }
        // A host also waits after its own renewal, so that a wrong clock cannot make it append without pause.
        self.renew_at_ms = Some(now_ms.saturating_add(self.renewal.spread_ms));
        Some(change)
    }

    fn newest_peer_version(&self) -> u64 {
        self.newest_peer.as_ref().map_or(0, |(_, version)| *version)
    }

    fn add_candidate(&mut self, accepted: Accepted) {
        let newest = self.candidate.as_ref().map_or(0, |c| c.snapshot.version);
        if accepted.snapshot.version > newest {
            self.candidate = Some(accepted);
        }
    }

    fn activate(&mut self, accepted: Option<Accepted>) {
        let Some(accepted) = accepted.filter(|a| a.active.is_some()) else { return };
        if accepted.snapshot.version > self.version() {
            self.current = Some(accepted);
        }
    }
}
