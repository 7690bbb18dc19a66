//! Runs non-idempotent calls at most once.

use std::collections::HashMap;
use std::future::Future;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::{sleep, timeout};

use super::call::{Call, DISPATCH_MS, Right, View};
use super::counter::Counter;
use super::key::{Key, MAX_AHEAD_MS, Slot};
use super::message::{Answer, Request};
use super::partition::Partition;
use super::record::{Claim, End, Entry, Holder, Outcome};
use super::state::Standing;
use super::verdict::{Failure, Ran, Reason, Status, Verdict};
use crate::clock::Clock;
use crate::peer::{Link, Protocol};
use crate::{log, name, wire};

/// Number of partitions; all hosts of an environment must agree on it.
pub const PARTITIONS: u16 = 64;

/// Least time between two appends to one partition by one host.
pub const BATCH_INTERVAL: Duration = Duration::from_millis(300);

/// Longest time that a claim takes before it is given up.
const CLAIM_TIMEOUT: Duration = Duration::from_secs(4);

/// Longest wait for another host's answer.
const PEER_TIMEOUT: Duration = Duration::from_millis(1_200);

/// Hosts asked before a host appends by itself: the owner and its backup.
const OWNERS: usize = 2;

/// First and longest pause between two attempts to record an outcome.
const RECORD_BACKOFF: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));

/// Most outcomes that wait for the log at one host before it takes no new claims.
const MAX_PENDING: u64 = 4_096;

/// Age of the newest record after which the owner appends an empty one, in milliseconds.
const MARK_AGE_MS: u64 = 60_000;

/// When to come back after a refusal, in seconds.
const RETRY_AFTER_S: u64 = 1;

struct Inner<L, K, V, C> {
    holder: Holder,
    log: L,
    link: K,
    view: V,
    clock: C,
    partitions: Mutex<HashMap<u16, Arc<Partition<L>>>>,
    window_ms: AtomicU64,
    draining: AtomicBool,
    open: watch::Sender<u64>,
    pending: watch::Sender<u64>,
    counter: Counter,
}

/// The claims service of a host. Clones share one state.
pub struct Service<L, K, V, C>(Arc<Inner<L, K, V, C>>);

impl<L, K, V, C> Clone for Service<L, K, V, C> {
    fn clone(&self) -> Self {
        Self(self.0.clone())
    }
}

/// Where a claim stands, or why it does not stand anywhere.
enum Settled {
    Standing(Standing),
    Stored,
    NotAppended,
    Unsure,
}

impl<L: log::Log, K: Link, V: View, C: Clock> Service<L, K, V, C> {
    /// A service for the host and incarnation `holder`, which refuses keys older than `window_ms` milliseconds.
    pub fn new(holder: Holder, log: L, link: K, view: V, clock: C, window_ms: u64) -> Self {
        Self(Arc::new(Inner {
            holder,
            log,
            link,
            view,
            clock,
            partitions: Mutex::default(),
            window_ms: AtomicU64::new(window_ms),
            draining: AtomicBool::new(false),
            open: watch::Sender::new(0),
            pending: watch::Sender::new(0),
            counter: Counter::new(),
        }))
    }

    /// Changes the age up to which keys are accepted, in milliseconds.
    pub fn set_window_ms(&self, window_ms: u64) {
        self.0.window_ms.store(window_ms, Ordering::Relaxed);
    }

    /// The counters.
    pub fn counter(&self) -> &Counter {
        &self.0.counter
    }

    /// Claims `call` and, if this is its first claim, runs `dispatch` once.
    ///
    /// The call goes on when the returned future is dropped, so that its outcome is recorded.
    pub async fn run<R, F, D>(&self, call: Call, dispatch: D) -> Verdict<R>
    where
        R: Send + 'static,
        F: Future<Output = Result<Ran<R>, Failure>> + Send + 'static,
        D: FnOnce(Right<C>) -> F + Send + 'static,
    {
        if self.0.draining.load(Ordering::Relaxed) {
            return self.count(not_run(Reason::Draining));
        }
        if *self.0.pending.borrow() >= MAX_PENDING {
            return self.count(not_run(Reason::Busy));
        }
        if let Some(refusal) = self.refusal(call.key) {
            return self.count(refusal);
        }
        let open = Guard::new(self.clone(), |inner| &inner.open);
        let service = self.clone();
        let task = tokio::spawn(async move {
            let verdict = service.claim_and_dispatch(call, dispatch).await;
            drop(open);
            verdict
        });
        let verdict = task.await.unwrap_or(Verdict::Unknown { retry_after_s: RETRY_AFTER_S });
        self.count(verdict)
    }

    fn count<R>(&self, verdict: Verdict<R>) -> Verdict<R> {
        self.0.counter.verdict(&verdict);
        verdict
    }

    /// The refusal of a key by this host's clock alone, if any.
    fn refusal<R>(&self, key: Key) -> Option<Verdict<R>> {
        let now_ms = self.now_ms();
        let reason = if key.time_ms() > now_ms.saturating_add(MAX_AHEAD_MS) {
            Reason::KeyAhead
        } else if now_ms.saturating_sub(key.time_ms()) > self.0.window_ms.load(Ordering::Relaxed) {
            Reason::KeyExpired
        } else {
            return None;
        };
        Some(expired(reason))
    }

    async fn claim_and_dispatch<R, F, D>(&self, call: Call, dispatch: D) -> Verdict<R>
    where
        F: Future<Output = Result<Ran<R>, Failure>>,
        D: FnOnce(Right<C>) -> F,
    {
        let right = Right { clock: self.0.clock.clone(), start: self.0.clock.read() };
        let claim = self.claim(call);
        let settled = timeout(CLAIM_TIMEOUT, self.settle(&claim)).await.unwrap_or(Settled::Unsure);
        let standing = match settled {
            Settled::Standing(standing) => standing,
            Settled::NotAppended => return not_run(Reason::LogDown),
            Settled::Unsure | Settled::Stored => {
                self.record(&claim, End::NotRun);
                return not_run(Reason::Unsettled);
            }
        };
        if standing != Standing::Won {
            return self.lost(&claim, standing);
        }
        if !right.holds() {
            self.record(&claim, End::NotRun);
            return not_run(Reason::Late);
        }
        match dispatch(right).await {
            Ok(Ran { full, reply }) => {
                self.record(&claim, End::Done(reply));
                Verdict::Ran(full)
            }
            Err(Failure::NotSent) => {
                self.record(&claim, End::NotRun);
                not_run(Reason::NotSent)
            }
            Err(Failure::Unknown) => {
                self.record(&claim, End::Unknown);
                Verdict::Unknown { retry_after_s: RETRY_AFTER_S }
            }
        }
    }

    fn claim(&self, call: Call) -> Claim {
        Claim {
            id: uuid::Uuid::new_v4().as_u128(),
            key: call.key,
            organisation: call.organisation,
            fingerprint: call.fingerprint,
            holder: self.0.holder.clone(),
            dispatch_ms: DISPATCH_MS,
            timeout_ms: call.timeout_ms,
        }
    }

    /// The verdict on an attempt that did not win. It will never dispatch.
    fn lost<R>(&self, claim: &Claim, standing: Standing) -> Verdict<R> {
        match standing {
            Standing::Done(reply) => Verdict::Recorded(reply),
            Standing::InProgress(until_ms) => {
                let left_s = until_ms.saturating_sub(self.now_ms()).div_ceil(1_000);
                Verdict::InProgress { retry_after_s: left_s.clamp(RETRY_AFTER_S, 2) }
            }
            Standing::Unknown => Verdict::Unknown { retry_after_s: RETRY_AFTER_S },
            Standing::Conflict => Verdict::Conflict,
            Standing::Early => expired(Reason::KeyAhead),
            Standing::Stale => {
                // Readers that know more may take the attempt for the first.
                self.record(claim, End::NotRun);
                expired(Reason::HistoryGone)
            }
            Standing::Won | Standing::Free | Standing::Withdrawn => {
                self.record(claim, End::NotRun);
                not_run(Reason::Unsettled)
            }
        }
    }

    /// Gets the claim into the log and learns where it stands.
    async fn settle(&self, claim: &Claim) -> Settled {
        let (slot, key) = (claim.slot(), claim.key);
        let number = slot.partition(PARTITIONS);
        let settled = self.append(number, Entry::Claim(claim.clone())).await;
        if !matches!(settled, Settled::Standing(Standing::Stale)) {
            return settled;
        }
        let partition = self.partition(number);
        let history = partition.history(slot, key, Some(claim.id), self.now_ms()).await;
        history.map_or(Settled::Unsure, Settled::Standing)
    }

    /// Appends by the partition's owner, its backup or, where neither answers for sure, this host itself.
    async fn append(&self, number: u16, entry: Entry) -> Settled {
        let (mut unsure, mut refused) = (false, false);
        for host in self.owners(number) {
            if host == self.0.holder.host {
                match entry {
                    Entry::Claim(_) => break,
                    // An outcome also outlives its holder when another host has it.
                    Entry::Outcome(_) => continue,
                }
            }
            match self.ask(&host, &Request::Append(entry.clone())).await {
                Ok(Answer::Standing(standing)) => return Settled::Standing(standing),
                Ok(Answer::Stored) => return Settled::Stored,
                Ok(Answer::Refused) => refused = true,
                Ok(Answer::Unsure) => unsure = true,
                Err(error) => unsure |= error.may_have_arrived(),
            }
        }
        if refused && !unsure {
            // One more host that tries does not help a log that is down.
            return Settled::NotAppended;
        }
        match self.partition(number).submit(entry, self.now_ms()).await {
            Answer::Standing(standing) => Settled::Standing(standing),
            Answer::Stored => Settled::Stored,
            Answer::Refused if !unsure => Settled::NotAppended,
            Answer::Refused | Answer::Unsure => Settled::Unsure,
        }
    }

    async fn ask(&self, host: &name::Host, request: &Request) -> Result<Answer, AskError> {
        let body = wire::encode(request).map_err(|_| AskError::NotSent)?;
        let call = self.0.link.call(host, Protocol::Claim, body);
        match timeout(PEER_TIMEOUT, call).await {
            Ok(Ok(bytes)) => wire::decode(&bytes).map_err(|_| AskError::Lost),
            Ok(Err(error)) => Err(error.into()),
            Err(_) => Err(AskError::Lost),
        }
    }

    /// Records how a claim ended, now or when the log is back.
    fn record(&self, claim: &Claim, end: End) {
        let outcome =
            Outcome { id: claim.id, key: claim.key, organisation: claim.organisation.clone(), end };
        let slot = claim.slot();
        let number = slot.partition(PARTITIONS);
        if let End::Done(reply) = &outcome.end {
            self.partition(number).remember(slot, reply.clone());
        }
        let pending = Guard::new(self.clone(), |inner| &inner.pending);
        let service = self.clone();
        tokio::spawn(async move {
            let (mut pause, longest) = RECORD_BACKOFF;
            let entry = Entry::Outcome(outcome);
            while !matches!(service.append(number, entry.clone()).await, Settled::Stored) {
                sleep(pause).await;
                pause = (pause * 2).min(longest);
            }
            service.partition(number).forget(slot);
            drop(pending);
        });
    }

    /// What became of a key, as `GET /v1/outcomes/KEY` tells.
    pub async fn outcome(&self, organisation: &name::Organisation, key: Key) -> Status {
        if self.refusal::<()>(key).is_some() {
            return Status::Expired;
        }
        let slot = Slot::new(organisation, key);
        let number = slot.partition(PARTITIONS);
        let standing = match self.status(organisation, key).await {
            Some(Standing::Stale) => {
                self.partition(number).history(slot, key, None, self.now_ms()).await.ok()
            }
            standing => standing,
        };
        Status::from_standing(standing, RETRY_AFTER_S)
    }

    async fn status(&self, organisation: &name::Organisation, key: Key) -> Option<Standing> {
        let slot = Slot::new(organisation, key);
        let number = slot.partition(PARTITIONS);
        let request = Request::Status { organisation: organisation.clone(), key };
        for host in self.owners(number) {
            if host == self.0.holder.host {
                break;
            }
            if let Ok(Answer::Standing(standing)) = self.ask(&host, &request).await {
                return Some(standing);
            }
        }
        self.partition(number).status(slot, key, self.now_ms()).await.ok()
    }

    /// Answers a call of another host for [`Protocol::Claim`].
    ///
    /// # Errors
    ///
    /// Returns a [`wire::Error`] if `body` is not a request or the answer is too large.
    pub async fn handle(&self, body: &[u8]) -> Result<Bytes, wire::Error> {
        let answer = match wire::decode(body)? {
            Request::Append(entry) => {
                let number = entry.slot().partition(PARTITIONS);
                self.partition(number).submit(entry, self.now_ms()).await
            }
            Request::Status { organisation, key } => {
                let slot = Slot::new(&organisation, key);
                let partition = self.partition(slot.partition(PARTITIONS));
                let standing = partition.status(slot, key, self.now_ms()).await;
                standing.map_or(Answer::Refused, Answer::Standing)
            }
        };
        wire::encode(&answer)
    }

    /// Opens the partitions that this host owns, keeps their streams from falling empty, and drops the others from
    /// memory. Call it every 20 s or so.
    pub async fn maintain(&self) {
        for number in 0..PARTITIONS {
            if self.owners(number).contains(&self.0.holder.host) {
                // The next round tries again.
                let _ = self.partition(number).mark(MARK_AGE_MS, self.now_ms()).await;
            } else {
                self.forget(number);
            }
        }
    }

    fn forget(&self, number: u16) {
        let mut partitions = self.0.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        // Whoever still uses the partition keeps it alive; a second instance is safe.
        if partitions.get(&number).is_some_and(|partition| !partition.busy()) {
            partitions.remove(&number);
        }
    }

    /// Takes no new calls, and waits until all calls have ended and all outcomes are in the log.
    ///
    /// While the log is down this does not return; bound it by the time allowed for the shutdown.
    pub async fn drain(&self) {
        self.0.draining.store(true, Ordering::Relaxed);
        // The senders live as long as `self`, so waiting cannot fail.
        let _ = self.0.open.subscribe().wait_for(|count| *count == 0).await;
        let _ = self.0.pending.subscribe().wait_for(|count| *count == 0).await;
    }

    /// Number of calls that run and of outcomes not yet in the log.
    pub fn open(&self) -> u64 {
        *self.0.open.borrow() + *self.0.pending.borrow()
    }

    fn owners(&self, number: u16) -> Vec<name::Host> {
        self.0.view.rank(&super::record::stream(number), OWNERS)
    }

    fn partition(&self, number: u16) -> Arc<Partition<L>> {
        let mut partitions = self.0.partitions.lock().unwrap_or_else(PoisonError::into_inner);
        let entry = partitions.entry(number);
        entry
            .or_insert_with(|| Arc::new(Partition::new(self.0.log.clone(), number, BATCH_INTERVAL)))
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

/// Why another host gave no answer.
enum AskError {
    NotSent,
    Lost,
}

impl AskError {
    fn may_have_arrived(&self) -> bool {
        matches!(self, Self::Lost)
    }
}

impl From<crate::peer::Error> for AskError {
    fn from(error: crate::peer::Error) -> Self {
        use crate::peer::Error;
        match error {
            Error::UnknownHost(_) | Error::Unreachable(_) => Self::NotSent,
            _ => Self::Lost,
        }
    }
}

/// Counts one up in a gauge of the service for as long as it lives.
struct Guard<L, K, V, C> {
    service: Service<L, K, V, C>,
    gauge: fn(&Inner<L, K, V, C>) -> &watch::Sender<u64>,
}

impl<L, K, V, C> Guard<L, K, V, C> {
    fn new(
        service: Service<L, K, V, C>,
        gauge: fn(&Inner<L, K, V, C>) -> &watch::Sender<u64>,
    ) -> Self {
        gauge(&service.0).send_modify(|count| *count += 1);
        Self { service, gauge }
    }
}

impl<L, K, V, C> Drop for Guard<L, K, V, C> {
    fn drop(&mut self) {
        (self.gauge)(&self.service.0).send_modify(|count| *count -= 1);
    }
}
