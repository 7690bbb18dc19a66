//! Keeps an entry host's document up to date from the log and from peers.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use rand::RngExt as _;
use rand::seq::IteratorRandom as _;
use tokio::sync::{Notify, watch};
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

use super::message::{self, Offer, Request};
use super::{Change, Follower, Record, Renewal};
use crate::document::Active;
use crate::log::Log;
use crate::metrics::Instruments;
use crate::peer::{self, Link, Protocol};
use crate::{name, wire};

/// Author of renewal records.
const RENEWAL_AUTHOR: &str = "renewal";

/// Longest wait of a read for a new record, in milliseconds.
const READ_WAIT_MS: u64 = 10_000;

/// Pause after an empty read, in milliseconds, in case the log responds without waiting for a record.
const READ_PAUSE_MS: u64 = 50;

/// Longest pause after the first failed call to the log, in milliseconds; it doubles after each further one. The pause
/// is drawn at random from its upper half.
const LOG_BACKOFF_MS: u64 = 500;

/// Upper limit of the longest pause, in milliseconds.
const MAX_LOG_BACKOFF_MS: u64 = 4_000;

/// Time between two rounds of asking peers, in milliseconds.
const ROUND_INTERVAL_MS: u64 = 500;

/// Rounds after which a host asks peers again although nothing has changed and it needs nothing from them.
const IDLE_ROUNDS: u32 = 20;

/// Number of randomly chosen peers asked in one round.
const FANOUT: usize = 4;

/// Longest wait for a peer's response, in milliseconds.
const PEER_TIMEOUT_MS: u64 = 1_000;

/// Keeps an entry host's document up to date from the log and from peers, and responds to peers.
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
    follower: Mutex<Follower>,
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
    /// Creates a watch of the documents of `environment`. `peers` are the live entry hosts of the same environment
    /// other than this one. The watch does nothing until [`Self::run`] is called.
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
            follower: Mutex::new(Follower::new(renewal)),
            document: watch::Sender::new(None),
            changed: Notify::new(),
            instruments,
            logger,
        };
        Self { shared: Arc::new(shared) }
    }

    /// Subscribes to the document that the host uses; `None` until it has one.
    pub fn documents(&self) -> watch::Receiver<Option<Arc<Active>>> {
        self.shared.document.subscribe()
    }

    /// The version of the document that the host uses, 0 for none.
    pub fn version(&self) -> u64 {
        self.shared.follower().version()
    }

    /// Records that `host` uses document `version`. If that is newer than this host's, this host asks `host` for it.
    pub fn observe_version(&self, host: &name::Host, version: u64) {
        let mut follower = self.shared.follower();
        let is_newer = version > follower.version();
        follower.observe_version(host, version);
        drop(follower);
        if is_newer {
            self.shared.changed.notify_one();
        }
    }

    /// Handles a call of [`Protocol::Document`] by the peer `from`.
    ///
    /// # Errors
    ///
    /// Returns [`wire::Error`] if `body` is not a request or the document does not fit in a response.
    pub fn handle(&self, from: &name::Host, body: &[u8]) -> Result<Bytes, wire::Error> {
        let request: Request = wire::decode(body)?;
        if request.environment != self.shared.environment {
            return message::encode(None);
        }
        let (offer, is_newer) = {
            let mut follower = self.shared.follower();
            (follower.handle(from, &request), request.version > follower.version())
        };
        if is_newer {
            self.shared.changed.notify_one();
        }
        message::encode(offer.as_ref())
    }

    /// Reads the log and asks peers until the future is dropped.
    pub async fn run(&self) {
        tokio::join!(self.shared.follow_log(), self.shared.follow_peers());
    }
}

impl<L: Log, P: Link> Shared<L, P> {
    fn follower(&self) -> MutexGuard<'_, Follower> {
        self.follower.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn follow_log(&self) {
        let mut backoff_ms = LOG_BACKOFF_MS;
        loop {
            let (from, may_wait) = {
                let follower = self.follower();
                (follower.reader().next(), follower.may_wait())
            };
            let wait_ms = if may_wait { READ_WAIT_MS } else { 0 };
            match self.log.read(&self.stream, from, wait_ms).await {
                Ok(batch) => {
                    backoff_ms = LOG_BACKOFF_MS;
                    self.follower().apply(&batch);
                    self.publish();
                    self.renew().await;
                    if batch.records.is_empty() {
                        sleep(Duration::from_millis(READ_PAUSE_MS)).await;
                    }
                }
                Err(_) => {
                    self.follower().log_failed();
                    self.instruments.count_action("document_read_failed");
                    let pause_ms = rand::rng().random_range(backoff_ms / 2..=backoff_ms);
                    sleep(Duration::from_millis(pause_ms)).await;
                    backoff_ms = (2 * backoff_ms).min(MAX_LOG_BACKOFF_MS);
                }
            }
        }
    }

    async fn renew(&self) {
        let jitter = rand::rng().random_range(0.0..1.0);
        let Some(change) = self.follower().renew(now_ms(), jitter) else { return };
        self.instruments.count_action("document_renewed");
        // A renewal that is refused or lost is due again later; a duplicate is stale and has no effect.
        if self.append(change).await.is_none() {
            self.instruments.count_action("document_renewal_failed");
        }
    }

    async fn append(&self, change: Change) -> Option<u64> {
        let body = Record::new(RENEWAL_AUTHOR, change).encode().ok()?;
        self.log.append(&self.stream, body).await.ok()
    }

    async fn follow_peers(&self) {
        let mut idle_rounds = 0;
        loop {
            let changed =
                timeout(Duration::from_millis(ROUND_INTERVAL_MS), self.changed.notified())
                    .await
                    .is_ok();
            idle_rounds += 1;
            if !changed && idle_rounds < IDLE_ROUNDS && !self.follower().needs_peers() {
                continue;
            }
            // Peers are asked in two rounds after a change, to reach the hosts that no host called in the first one.
            idle_rounds = if changed { IDLE_ROUNDS - 1 } else { 0 };
            self.ask_peers().await;
        }
    }

    /// Asks some peers for their document. The request holds this host's version, so peers with an older one ask in
    /// turn.
    async fn ask_peers(&self) {
        let (request, newer) = {
            let follower = self.follower();
            (follower.request(self.environment.clone()), follower.newer_peer().cloned())
        };
        let Ok(body) = wire::encode(&request) else { return };
        let mut peers = self.peers.borrow().iter().cloned().sample(&mut rand::rng(), FANOUT);
        peers.extend(newer.filter(|host| !peers.contains(host)));
        let mut calls = JoinSet::new();
        for peer in peers {
            calls.spawn(ask(self.link.clone(), peer, body.clone()));
        }
        let mut offers = Vec::new();
        while let Some(result) = calls.join_next().await {
            match result {
                Ok(Ok(offer)) => offers.extend(offer),
                Ok(Err(_)) | Err(_) => self.instruments.count_action("document_peer_failed"),
            }
        }
        self.follower().finish_round(offers);
        self.publish();
    }

    fn publish(&self) {
        let Some(newest) = self.follower().document().cloned() else { return };
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
            self.instruments.count_action("document_in_force");
            slog::info!(self.logger, "document in force"; "version" => version);
            self.changed.notify_one();
        }
    }
}

/// Why a call to a peer failed.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error(transparent)]
    Peer(#[from] peer::Error),
    #[error(transparent)]
    Message(#[from] message::Error),
    #[error("the peer did not respond in time")]
    Timeout,
}

async fn ask<P: Link>(link: P, peer: name::Host, body: Bytes) -> Result<Option<Offer>, Failure> {
    let call = link.call(&peer, Protocol::Document, body);
    let response = timeout(Duration::from_millis(PEER_TIMEOUT_MS), call).await;
    let response = response.map_err(|_| Failure::Timeout)??;
    Ok(message::decode(&response)?)
}

/// Milliseconds since the Unix epoch.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    since.as_millis().try_into().unwrap_or(u64::MAX)
}
