//! Keeps an entry host's document up to date.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::message::{self, Offer, Request};
use super::{Change, Record, Renewal, Tail};
use crate::document::Active;
use crate::log::Log;
use crate::metrics::Instruments;
use crate::peer::{self, Link, Protocol};
use crate::{name, wire};

/// Author of renewals.
const RENEWAL_AUTHOR: &str = "renewal";

/// How long a read waits for a record, in milliseconds.
const READ_WAIT_MS: u64 = 10_000;

/// Pause after a read that found nothing, in milliseconds, should the log not wait for a record.
const READ_PAUSE_MS: u64 = 50;

/// Longest pause after the first failed call to the log, in milliseconds; it doubles with each further one.
const LOG_BACKOFF_MS: u64 = 500;

/// Longest pause after any failed call to the log, in milliseconds.
const MAX_LOG_BACKOFF_MS: u64 = 4_000;

/// Time between two rounds of asking peers, in milliseconds.
const ROUND_MS: u64 = 500;

/// A host that has all it needs asks peers in one of this many rounds.
const IDLE_ROUNDS: u32 = 20;

/// Peers asked in one round.
const FANOUT: usize = 4;

/// Time allowed for a peer's answer, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Keeps an entry host's document up to date from the log and from peers, and answers peers.
///
/// Clones share their state.
pub struct Watch<L, P> {
    shared: Arc<Shared<L, P>>,
}

struct Shared<L, P> {
    log: L,
    link: P,
    environment: name::Environment,
    stream: String,
    peers: watch::Receiver<Vec<name::Host>>,
    tail: Mutex<Tail>,
    document: watch::Sender<Option<Arc<Active>>>,
    changed: Notify,
    instruments: Instruments,
    logger: slog::Logger,
}

impl<L, P> Clone for Watch<L, P> {
    fn clone(&self) -> Self {
        Self { shared: self.shared.clone() }
    }
}

impl<L: Log, P: Link> Watch<L, P> {
    /// Watches the documents of `environment`. `peers` are the live entry hosts of the same environment other than this
    /// one. Nothing happens before [`Self::run`].
    pub fn new(
        environment: name::Environment,
        log: L,
        link: P,
        peers: watch::Receiver<Vec<name::Host>>,
        instruments: Instruments,
        renewal: Renewal,
        logger: slog::Logger,
    ) -> Self {
        let shared = Shared {
            log,
            link,
            stream: super::stream(&environment),
            environment,
            peers,
            tail: Mutex::new(Tail::new(renewal)),
            document: watch::Sender::new(None),
            changed: Notify::new(),
            instruments,
            logger,
        };
        Self { shared: Arc::new(shared) }
    }

    /// The document in force, from now on; none until the host has one.
    pub fn documents(&self) -> watch::Receiver<Option<Arc<Active>>> {
        self.shared.document.subscribe()
    }

    /// The version in force, 0 for none.
    pub fn version(&self) -> u64 {
        self.shared.tail().version()
    }

    /// `host` obeys `version`; this host asks it if that is newer than its own.
    pub fn hear(&self, host: &name::Host, version: u64) {
        let mut tail = self.shared.tail();
        let news = version > tail.version();
        tail.hear(host, version);
        drop(tail);
        if news {
            self.shared.changed.notify_one();
        }
    }

    /// Answers a call of [`Protocol::Document`] by the peer `from`.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error`] if `body` is not a request or the document does not fit in an answer.
    pub fn answer(&self, from: &name::Host, body: &[u8]) -> Result<Bytes, wire::Error> {
        let request: Request = wire::decode(body)?;
        if request.environment != self.shared.environment {
            return message::encode(None);
        }
        let (offer, news) = {
            let mut tail = self.shared.tail();
            (tail.answer(from, &request), request.version > tail.version())
        };
        if news {
            self.shared.changed.notify_one();
        }
        message::encode(offer.as_ref())
    }

    /// Reads the log and asks peers until it is dropped.
    pub async fn run(&self) {
        tokio::join!(self.shared.follow_log(), self.shared.follow_peers());
    }
}

impl<L: Log, P: Link> Shared<L, P> {
    fn tail(&self) -> MutexGuard<'_, Tail> {
        self.tail.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow_log(&self) {
        let mut backoff_ms = LOG_BACKOFF_MS;
        loop {
            let (from, may_wait) = {
                let tail = self.tail();
                (tail.chain().next(), tail.may_wait())
            };
            let wait_ms = if may_wait { READ_WAIT_MS } else { 0 };
            match self.log.read(&self.stream, from, wait_ms).await {
                Ok(batch) => {
                    backoff_ms = LOG_BACKOFF_MS;
                    self.tail().read(&batch);
                    self.publish();
                    self.renew().await;
                    if batch.records.is_empty() {
                        sleep(Duration::from_millis(READ_PAUSE_MS)).await;
                    }
                }
                Err(_) => {
                    self.tail().fail();
                    self.instruments.act("document_read_failed");
                    let pause_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
                    sleep(Duration::from_millis(pause_ms)).await;
                    backoff_ms = (2 * backoff_ms).min(MAX_LOG_BACKOFF_MS);
                }
            }
        }
    }

    async fn renew(&self) {
        let draw = rand::rng().random_range(0.0..1.0);
        let Some(change) = self.tail().renew(now_ms(), draw) else { return };
        self.instruments.act("document_renewed");
        // A renewal that is refused or lost is due again later; a double is void.
        if self.append(change).await.is_none() {
            self.instruments.act("document_renewal_failed");
        }
    }

    async fn append(&self, change: Change) -> Option<u64> {
        let body = Record::new(RENEWAL_AUTHOR, change).encode().ok()?;
        self.log.append(&self.stream, body).await.ok()
    }

    async fn follow_peers(&self) {
        let mut idle = 0;
        loop {
            let news =
                timeout(Duration::from_millis(ROUND_MS), self.changed.notified()).await.is_ok();
            idle += 1;
            if !news && idle < IDLE_ROUNDS && !self.tail().needs_peers() {
                continue;
            }
            // News are told twice, to reach the hosts that the first calls of all hosts missed.
            idle = if news { IDLE_ROUNDS - 1 } else { 0 };
            self.round().await;
        }
    }

    /// Asks some peers; the request tells them of this host's version, and they ask in turn if it is newer than theirs.
    async fn round(&self) {
        let (request, newer) = {
            let tail = self.tail();
            (tail.request(self.environment.clone()), tail.newer_peer().cloned())
        };
        let Ok(body) = wire::encode(&request) else { return };
        let mut peers = self.peers.borrow().iter().cloned().sample(&mut rand::rng(), FANOUT);
        peers.extend(newer.filter(|n| !peers.contains(n)));
        let mut calls = JoinSet::new();
        for peer in peers {
            calls.spawn(ask(self.link.clone(), peer, body.clone()));
        }
        let mut offers = Vec::new();
        while let Some(result) = calls.join_next().await {
            match result {
                Ok(Ok(offer)) => offers.extend(offer),
                Ok(Err(_)) | Err(_) => self.instruments.act("document_peer_failed"),
            }
        }
        self.tail().round(offers);
        self.publish();
    }

    fn publish(&self) {
        let Some(newest) = self.tail().document().cloned() else { return };
        let version = newest.version();
        let changed = self.document.send_if_modified(|document| {
            let older = document.as_ref().is_none_or(|d| d.version() < version);
            if older {
                *document = Some(newest);
            }
            older
        });
        if changed {
            self.instruments.document_version.set(version.try_into().unwrap_or(i64::MAX));
            self.instruments.act("document_in_force");
            slog::info!(self.logger, "document in force"; "version" => version);
            self.changed.notify_one();
        }
    }
}

/// Why a peer gave no usable answer.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Peer(#[from] peer::Error),
    #[error(transparent)]
    Message(#[from] message::Error),
    #[error("the peer did not answer in time")]
    Timeout,
}

async fn ask<P: Link>(link: P, peer: name::Host, body: Bytes) -> Result<Option<Offer>, Failure> {
    let call = link.call(&peer, Protocol::Document, body);
    let answer = timeout(Duration::from_millis(PEER_TIMEOUT_MS), call).await;
    let answer = answer.map_err(|_| Failure::Timeout)??;
    Ok(message::decode(&answer)?)
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis().try_into().unwrap_or(u64::MAX)
}
