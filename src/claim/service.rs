//! Runs non-idempotent calls at most once.

use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::call::{Call, DISPATCH_WINDOW_MS, DispatchWindow, Ownership};
use super::counter::Counter;
use super::key::{Key, MAX_AHEAD_MS, Slot};
use super::message::{Request, Response};
use super::partition::Partition;
use super::record::{Claim, End, Entry, Holder, Outcome};
use super::state::Resolution;
use super::verdict::{Completed, Failure, Reason, Status, Verdict};
use crate::clock::Clock;
use crate::peer::{Link, Protocol};
use crate::{log, name, wire};

/// Number of partitions; must be the same at all hosts of an environment.
pub const PARTITIONS: u16 = 64;

/// Minimum interval between two appends by one host to one partition.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Timeout of a claim, after which it is withdrawn.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Timeout of a call to another host.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Hosts tried before this host appends the entry itself: the owner and its backup.
const OWNERS_PER_PARTITION: usize = 2;

/// First and longest delay between two attempts to record an outcome.
const RECORD_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Outcomes waiting for the log at which a host refuses new calls.
const MAX_PENDING_OUTCOMES: u64 = 4_096;

/// Age of the newest record after which an owner appends an empty one, in milliseconds.
const KEEPALIVE_AGE_MS: u64 = 60_000;

/// Time until a retry after a refusal, in seconds.
const RETRY_AFTER_S: u64 = 1;

struct Inner<L, K, V, C> {
    holder: Holder,
    log: L,
    link: K,
    ownership: V,
    clock: C,
    partitions: Mutex<HashMap<u16, Arc<Partition<L>>>>,
    key_window_ms: AtomicU64,
    draining: AtomicBool,
    active_calls: watch::Sender<u64>,
    pending_outcomes: watch::Sender<u64>,
    counter: Counter,
}

/// The claims service of a host. Clones share one state.
pub struct Service<L, K, V, C>(Arc<Inner<L, K, V, C>>);

impl<L, K, V, C> Clone for Service<L, K, V, C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Result of appending an entry.
enum AppendResult {
    Resolution(Resolution),
    Stored,
    NotAppended,
    Unconfirmed,
}

impl<L: log::Log, K: Link, V: Ownership, C: Clock> Service<L, K, V, C> {
    /// Creates the service of `holder`, which refuses keys older than `key_window_ms` milliseconds.
    pub fn new(
        holder: Holder,
        log: L,
        link: K,
        ownership: V,
        clock: C,
        key_window_ms: u64,
    ) -> Self {
        Self(Arc::new(Inner {
            holder,
            log,
            link,
            ownership,
            clock,
            partitions: Mutex::default(),
            key_window_ms: AtomicU64::new(key_window_ms),
            draining: AtomicBool::new(false),
            active_calls: watch::Sender::new(0),
            pending_outcomes: watch::Sender::new(0),
            counter: Counter::new(),
        }))
    }

    /// Sets the age up to which keys are accepted, in milliseconds.
    pub fn set_key_window_ms(&self, key_window_ms: u64) {
        self.0.key_window_ms.store(key_window_ms, Ordering::Relaxed);
    }

    /// The counters.
    pub fn counter(&self) -> &Counter {
        &self.0.counter
    }

    /// Claims `call` and runs `dispatch` once if the claim wins.
    ///
    /// The call continues if the returned future is dropped, so that its outcome is recorded.
    pub async fn run<R, F, D>(&self, call: Call, dispatch: D) -> Verdict<R>
    where
        R: Send + 'static,
        F: Future<Output = Result<Completed<R>, Failure>> + Send + 'static,
        D: FnOnce(DispatchWindow<C>) -> F + Send + 'static,
    {
        if self.0.draining.load(Ordering::Relaxed) {
            return self.count(not_run(Reason::Draining));
        }
        if *self.0.pending_outcomes.borrow() >= MAX_PENDING_OUTCOMES {
            return self.count(not_run(Reason::OutcomeBacklog));
        }
        if let Some(refusal) = self.reject_key_by_age(call.key) {
            return self.count(refusal);
        }
        let active = CountGuard::new(self.clone(), |inner| &inner.active_calls);
        let service = self.clone();
        let task = tokio::spawn(async move {
            let verdict = service.claim_and_dispatch(call, dispatch).await;
            drop(active);
            verdict
        });
        let verdict = task.await.unwrap_or(Verdict::Unknown { retry_after_s: RETRY_AFTER_S });
        self.count(verdict)
    }

    fn count<R>(&self, verdict: Verdict<R>) -> Verdict<R> {
        self.0.counter.count(&verdict);
        verdict
    }

    /// Refuses a key that is too old or too far in the future by this host's clock.
    fn reject_key_by_age<R>(&self, key: Key) -> Option<Verdict<R>> {
        let now_ms = self.now_ms();
        let reason = if key.time_ms() > now_ms.saturating_add(MAX_AHEAD_MS) {
            Reason::KeyAhead
        } else if now_ms.saturating_sub(key.time_ms())
            > self.0.key_window_ms.load(Ordering::Relaxed)
        {
            Reason::KeyExpired
        } else {
            return None;
        };
        Some(expired(reason))
    }

    async fn claim_and_dispatch<R, F, D>(&self, call: Call, dispatch: D) -> Verdict<R>
    where
        F: Future<Output = Result<Completed<R>, Failure>>,
        D: FnOnce(DispatchWindow<C>) -> F,
    {
        let window = DispatchWindow { clock: self.0.clock.clone(), start: self.0.clock.read() };
        let claim = self.new_claim(call);
        let appended =
            timeout(CLAIM_TIMEOUT, self.resolve(&claim)).await.unwrap_or(AppendResult::Unconfirmed);
        let resolution = match appended {
            AppendResult::Resolution(resolution) => resolution,
            AppendResult::NotAppended => return not_run(Reason::LogDown),
            AppendResult::Unconfirmed | AppendResult::Stored => {
                self.record_outcome(&claim, End::NotRun);
                return not_run(Reason::Unconfirmed);
            }
        };
        if resolution != Resolution::Won {
            return self.rejected_verdict(&claim, resolution);
        }
        if !window.is_open() {
            self.record_outcome(&claim, End::NotRun);
            return not_run(Reason::DispatchTimeout);
        }
        match dispatch(window).await {
            Ok(Completed { response, reply }) => {
                self.record_outcome(&claim, End::Done(reply));
                Verdict::Ran(response)
            }
            Err(Failure::NotSent) => {
                self.record_outcome(&claim, End::NotRun);
                not_run(Reason::NotSent)
            }
            Err(Failure::Unknown) => {
                self.record_outcome(&claim, End::Unknown);
                Verdict::Unknown { retry_after_s: RETRY_AFTER_S }
            }
        }
    }

    fn new_claim(&self, call: Call) -> Claim {
        Claim {
            id: uuid::Uuid::new_v4().as_u128(),
            key: call.key,
            organisation: call.organisation,
            fingerprint: call.fingerprint,
            holder: self.0.holder.clone(),
            dispatch_ms: DISPATCH_WINDOW_MS,
            timeout_ms: call.timeout_ms,
        }
    }

    /// The verdict on an attempt that did not win and never dispatches.
    fn rejected_verdict<R>(&self, claim: &Claim, resolution: Resolution) -> Verdict<R> {
        match resolution {
            Resolution::Done(reply) => Verdict::Recorded(reply),
            Resolution::InProgress(until_ms) => {
                let remaining_s = until_ms.saturating_sub(self.now_ms()).div_ceil(1_000);
                Verdict::InProgress { retry_after_s: remaining_s.clamp(RETRY_AFTER_S, 2) }
            }
            Resolution::Unknown => Verdict::Unknown { retry_after_s: RETRY_AFTER_S },
            Resolution::Conflict => Verdict::Conflict,
            Resolution::KeyAhead => expired(Reason::KeyAhead),
            Resolution::HistoryMissing => {
                // A reader with more history may decide that this attempt won.
                self.record_outcome(claim, End::NotRun);
                expired(Reason::HistoryGone)
            }
            Resolution::Won | Resolution::Unclaimed | Resolution::Withdrawn => {
                self.record_outcome(claim, End::NotRun);
                not_run(Reason::Unconfirmed)
            }
        }
    }

    /// Appends the claim and returns its resolution.
    async fn resolve(&self, claim: &Claim) -> AppendResult {
        let (slot, key) = (claim.slot(), claim.key);
        let partition_id = slot.partition(PARTITIONS);
        let appended = self.append(partition_id, Entry::Claim(claim.clone())).await;
        if !matches!(appended, AppendResult::Resolution(Resolution::HistoryMissing)) {
            return appended;
        }
        let partition = self.partition(partition_id);
        let history =
            partition.resolve_from_history(slot, key, Some(claim.id), self.now_ms()).await;
        history.map_or(AppendResult::Unconfirmed, AppendResult::Resolution)
    }

    /// Appends through the partition's owner, its backup or, if neither confirms the result, directly from this host.
    async fn append(&self, partition_id: u16, entry: Entry) -> AppendResult {
        let (mut unconfirmed, mut refused) = (false, false);
        for host in self.owners(partition_id) {
            if host == self.0.holder.host {
                match entry {
                    Entry::Claim(_) => break,
                    // An outcome held by another host survives the failure of this one.
                    Entry::Outcome(_) => continue,
                }
            }
            match self.call_peer(&host, &Request::Append(entry.clone())).await {
                Ok(Response::Resolution(resolution)) => {
                    return AppendResult::Resolution(resolution);
                }
                Ok(Response::Stored) => return AppendResult::Stored,
                Ok(Response::Refused) => refused = true,
                Ok(Response::Unconfirmed) => unconfirmed = true,
                Err(error) => unconfirmed |= error.may_have_arrived(),
            }
        }
        if refused && !unconfirmed {
            // A further attempt would only add load to a log that is down.
            return AppendResult::NotAppended;
        }
        match self.partition(partition_id).submit(entry, self.now_ms()).await {
            Response::Resolution(resolution) => AppendResult::Resolution(resolution),
            Response::Stored => AppendResult::Stored,
            Response::Refused if !unconfirmed => AppendResult::NotAppended,
            Response::Refused | Response::Unconfirmed => AppendResult::Unconfirmed,
        }
    }

    async fn call_peer(&self, host: &name::Host, request: &Request) -> Result<Response, PeerError> {
        let body = wire::encode(request).map_err(|_| PeerError::NotSent)?;
        let call = self.0.link.call(host, Protocol::Claim, body);
        match timeout(PEER_TIMEOUT, call).await {
            Ok(Ok(bytes)) => wire::decode(&bytes).map_err(|_| PeerError::Lost),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(PeerError::Lost),
        }
    }

    /// Records how a claim ended, and retries until the log accepts the outcome.
    fn record_outcome(&self, claim: &Claim, end: End) {
        let outcome =
            Outcome { id: claim.id, key: claim.key, organisation: claim.organisation.clone(), end };
        let slot = claim.slot();
        let partition_id = slot.partition(PARTITIONS);
        if let End::Done(reply) = &outcome.end {
            self.partition(partition_id).cache_reply(slot, reply.clone());
        }
        let pending = CountGuard::new(self.clone(), |inner| &inner.pending_outcomes);
        let service = self.clone();
        tokio::spawn(async move {
            let (mut delay, max_delay) = RECORD_BACKOFF;
            let entry = Entry::Outcome(outcome);
            while !matches!(service.append(partition_id, entry.clone()).await, AppendResult::Stored)
            {
                sleep(delay).await;
                delay = (delay * 2).min(max_delay);
            }
            service.partition(partition_id).remove_reply(slot);
            drop(pending);
        });
    }

    /// Returns the status of a key, for `GET /v1/outcomes/KEY`.
    pub async fn outcome(&self, organisation: &name::Organisation, key: Key) -> Status {
        if self.reject_key_by_age::<()>(key).is_some() {
            return Status::Expired;
        }
        let slot = Slot::new(organisation, key);
        let partition_id = slot.partition(PARTITIONS);
        let resolution = match self.status(organisation, key).await {
            Some(Resolution::HistoryMissing) => self
                .partition(partition_id)
                .resolve_from_history(slot, key, None, self.now_ms())
                .await
                .ok(),
            resolution => resolution,
        };
        Status::from_resolution(resolution, RETRY_AFTER_S)
    }

    async fn status(&self, organisation: &name::Organisation, key: Key) -> Option<Resolution> {
        let slot = Slot::new(organisation, key);
        let partition_id = slot.partition(PARTITIONS);
        let request = Request::Status { organisation: organisation.clone(), key };
        for host in self.owners(partition_id) {
            if host == self.0.holder.host {
                break;
            }
            if let Ok(Response::Resolution(resolution)) = self.call_peer(&host, &request).await {
                return Some(resolution);
            }
        }
        self.partition(partition_id).status(slot, key, self.now_ms()).await.ok()
    }

    /// Handles a [`Protocol::Claim`] call from another host.
    ///
    /// # Errors
    ///
    /// Returns a [`wire::Error`] if `body` is not a request or the response is too large.
    pub async fn handle(&self, body: &[u8]) -> Result<Bytes, wire::Error> {
        let response = match wire::decode(body)? {
            Request::Append(entry) => {
                let partition_id = entry.slot().partition(PARTITIONS);
                self.partition(partition_id).submit(entry, self.now_ms()).await
            }
            Request::Status { organisation, key } => {
                let slot = Slot::new(&organisation, key);
                let partition = self.partition(slot.partition(PARTITIONS));
                let resolution = partition.status(slot, key, self.now_ms()).await;
                resolution.map_or(Response::Refused, Response::Resolution)
            }
        };
        wire::encode(&response)
    }

    /// Opens the partitions that this host owns, appends keepalive records to their streams, and drops the other
    /// partitions from memory. Call it about every 20 s.
    pub async fn maintain(&self) {
        for partition_id in 0..PARTITIONS {
            if self.owners(partition_id).contains(&self.0.holder.host) {
                // Retried by the next call.
                let _ = self
                    .partition(partition_id)
                    .append_keepalive(KEEPALIVE_AGE_MS, self.now_ms())
                    .await;
            } else {
                self.release_partition(partition_id);
            }
        }
    }

    fn release_partition(&self, partition_id: u16) {
        let mut partitions = self.0.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        // Tasks that still use the partition hold a reference; a second instance is safe.
        if partitions.get(&partition_id).is_some_and(|partition| !partition.is_flushing()) {
            partitions.remove(&partition_id);
        }
    }

    /// Refuses new calls, and waits until all calls have ended and all outcomes are in the log.
    ///
    /// Does not return while the log is down; limit the wait by the shutdown timeout.
    pub async fn drain(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
        // The senders live as long as `self`, so the waits cannot fail.
        let _ = self.0.active_calls.subscribe().wait_for(|count| *count == 0).await;
        let _ = self.0.pending_outcomes.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Number of running calls and of outcomes not yet in the log.
    pub fn in_flight(&self) -> u64 {
        *self.0.active_calls.borrow() + *self.0.pending_outcomes.borrow()
    }

    fn owners(&self, partition_id: u16) -> Vec<name::Host> {
        self.0.ownership.owners(&super::record::stream(partition_id), OWNERS_PER_PARTITION)
    }

    fn partition(&self, partition_id: u16) -> Arc<Partition<L>> {
        let mut partitions = self.0.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = partitions.entry(partition_id);
        entry
            .or_insert_with(|| {
                Arc::new(Partition::new(self.0.log.clone(), partition_id, BATCH_INTERVAL))
            })
            .clone()
    }

    fn now_ms(&self) -> u64 {
        self.0.clock.read().wall_ms
    }
}

fn not_run<R>(reason: Reason) -> Verdict<R> {
    Verdict::NotRun { reason, retry_after_s: RETRY_AFTER_S }
}

fn expired<R>(reason: Reason) -> Verdict<R> {
    Verdict::Expired { reason, retry_after_s: RETRY_AFTER_S }
}

/// Why a call to another host failed.
enum PeerError {
    NotSent,
    Lost,
}

impl PeerError {
    fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost)
    }
}

impl From<crate::peer::Error> for PeerError {
    fn from(error: crate::peer::Error) -> Self {
        use crate::peer::Error;
        match error {
            Error::UnknownHost(_) | Error::Unreachable(_) => Self::NotSent,
            _ => Self::Lost,
        }
    }
}

/// Increments a gauge of the service until dropped.
struct CountGuard<L, K, V, C> {
    service: Service<L, K, V, C>,
    gauge: fn(&Inner<L, K, V, C>) -> &watch::Sender<u64>,
}

impl<L, K, V, C> CountGuard<L, K, V, C> {
    fn new(
        service: Service<L, K, V, C>,
        gauge: fn(&Inner<L, K, V, C>) -> &watch::Sender<u64>,
    ) -> Self {
        gauge(&service.0).send_modify(|count| *count += 1);
        Self { service, gauge }
    }
}

impl<L, K, V, C> Drop for CountGuard<L, K, V, C> {
    fn drop(&mut self) {
        (self.gauge)(&self.service.0).send_modify(|count| *count -= 1);
    }
}
