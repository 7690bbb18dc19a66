//! Open connections of a listener: which of them are idle for too long, and which is closed to make room for a new one.

use std::collections::HashMap;
use std::sync::atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::{Notify, watch};
use tokio::time::Instant;

/// Divisor of the largest number of connections that gives those beyond it. They are accepted while none is idle, so that their
/// requests can be declined.
const SURPLUS_DIVISOR: usize = 16;

/// Time between two looks for an idle connection while there is no room for one more.
const ROOM_CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for which the host counts as full after a connection could not be accepted, in milliseconds. Accepting is tried more
/// often while callers are waiting.
const STARVED_MS: u64 = 1_000;

/// Longest times that a caller may take on a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timeouts {
    /// Time between two requests, or before the first one.
    pub idle: Duration,
    /// Time from the first byte of a request's head to its last one.
    pub head: Duration,
}

/// The open connections of a listener. Clones share them.
#[derive(Clone, Debug)]
pub struct Connections(Arc<Shared>);

#[derive(Debug)]
struct Shared {
    max: usize,
    state: Mutex<State>,
    /// Number of connections that are open, those that are being closed included.
    open: watch::Sender<usize>,
    evicted: AtomicU64,
    /// Until when the host counts as full, as a connection could not be accepted. In milliseconds since `started`.
    starved_until_ms: AtomicU64,
    started: Instant,
}

#[derive(Debug, Default)]
struct State {
    next_id: u64,
    /// Connections whose requests are served. Those that are being closed are not among them.
    kept: HashMap<u64, Arc<Activity>>,
    /// Connections whose requests are declined, likewise.
    surplus: HashMap<u64, Arc<Activity>>,
}

impl Connections {
    /// No connections yet, and up to `max` of them.
    ///
    /// ```
    /// use nutmeghead::api::listener::Connections;
    /// assert!(!Connections::new(1).is_full());
    /// ```
    pub fn new(max: usize) -> Self {
        Self(Arc::new(Shared {
            max,
            state: Mutex::default(),
            open: watch::Sender::new(0),
            evicted: AtomicU64::new(0),
            starved_until_ms: AtomicU64::new(0),
            started: Instant::now(),
        }))
    }

    /// Whether no connection can be accepted for a request: all are in use, or the system has no descriptor for one.
    pub fn is_full(&self) -> bool {
        let state = self.0.state();
        let has_room = state.kept.len() < self.0.max || longest_idle(&state.kept).is_some();
        !has_room || elapsed_ms(self.0.started) < self.0.starved_until_ms.load(Ordering::Relaxed)
    }

    /// Number of idle connections that were closed to make room for new ones.
    pub fn evicted(&self) -> u64 {
        self.0.evicted.load(Ordering::Relaxed)
    }

    /// Waits until one more connection can be accepted, be it to decline its requests. Closes one that is idle if there are
    /// too many.
    pub(super) async fn wait_for_room(&self) {
        let limit = self.0.max + (self.0.max / SURPLUS_DIVISOR).max(1);
        let mut open = self.0.open.subscribe();
        while *open.borrow_and_update() >= limit {
            self.0.evict_beyond(limit);
            // All may be in use now, and one of them idle later.
            let _ = tokio::time::timeout(ROOM_CHECK_INTERVAL, open.changed()).await;
        }
    }

    /// Waits until all connections are closed.
    pub(super) async fn wait_closed(&self) {
        let _ = self.0.open.subscribe().wait_for(|open| *open == 0).await;
    }

    /// Whether any connection is open.
    pub(super) fn has_open(&self) -> bool {
        *self.0.open.borrow() > 0
    }

    /// Records whether a connection could be accepted. One that is idle is closed if not.
    pub(super) fn record_accept(&self, accepted: bool) {
        if accepted {
            return self.0.starved_until_ms.store(0, Ordering::Relaxed);
        }
        let until_ms = elapsed_ms(self.0.started) + STARVED_MS;
        self.0.starved_until_ms.store(until_ms, Ordering::Relaxed);
        self.0.evict(&mut self.0.state().kept);
    }

    /// Adds a connection that was accepted, and closes the one that was idle for longest if there are too many.
    pub(super) fn add(&self) -> Slot {
        let mut state = self.0.state();
        let has_room = state.kept.len() < self.0.max || self.0.evict(&mut state.kept);
        state.next_id += 1;
        let id = state.next_id;
        let activity = Arc::new(Activity {
            started: self.0.started,
            since_ms: AtomicU64::new(elapsed_ms(self.0.started)),
            ..Activity::default()
        });
        let connections = if has_room { &mut state.kept } else { &mut state.surplus };
        connections.insert(id, Arc::clone(&activity));
        drop(state);
        self.0.open.send_modify(|open| *open += 1);
        Slot { shared: Arc::clone(&self.0), id, activity, is_surplus: !has_room }
    }

    /// Closes connections whose callers took too long.
    pub(super) fn expire(&self, timeouts: Timeouts) {
        let now_ms = elapsed_ms(self.0.started);
        let is_kept = |activity: &Activity| {
            let expired = activity.is_expired(timeouts, now_ms);
            if expired {
                activity.closing.notify_one();
            }
            !expired
        };
        let mut state = self.0.state();
        state.kept.retain(|_, activity| is_kept(activity));
        state.surplus.retain(|_, activity| is_kept(activity));
    }
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Closes a connection that is idle, if there are `limit` connections apart from those that are being closed.
    fn evict_beyond(&self, limit: usize) {
        let mut state = self.state();
        if state.kept.len() + state.surplus.len() >= limit && !self.evict(&mut state.surplus) {
            self.evict(&mut state.kept);
        }
    }

    /// Closes the connection that was idle for longest. Returns whether there was one.
    fn evict(&self, connections: &mut HashMap<u64, Arc<Activity>>) -> bool {
        let longest = longest_idle(connections);
        let Some(activity) = longest.and_then(|id| connections.remove(&id)) else { return false };
        activity.closing.notify_one();
        self.evicted.fetch_add(1, Ordering::Relaxed);
        true
    }
}

fn longest_idle(connections: &HashMap<u64, Arc<Activity>>) -> Option<u64> {
    let idle = connections.iter().filter(|(_, activity)| activity.is_idle());
    let longest = idle.min_by_key(|(id, activity)| (activity.since_ms(), **id));
    longest.map(|(id, _)| *id)
}

/// The place of an open connection, free again on drop.
#[derive(Debug)]
pub(super) struct Slot {
    shared: Arc<Shared>,
    id: u64,
    activity: Arc<Activity>,
    is_surplus: bool,
}

impl Slot {
    /// Whether the requests of the connection are to be declined.
    pub(super) fn is_surplus(&self) -> bool {
        self.is_surplus
    }

    pub(super) fn activity(&self) -> &Arc<Activity> {
        &self.activity
    }

    /// Waits until the connection is to be closed.
    pub(super) async fn wait_closing(&self) {
        self.activity.closing.notified().await;
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.kept.remove(&self.id);
        state.surplus.remove(&self.id);
        drop(state);
        self.shared.open.send_modify(|open| *open -= 1);
    }
}

/// What happens on one connection. Times are in milliseconds since `started`.
#[derive(Debug)]
pub(super) struct Activity {
    started: Instant,
    /// Requests that were received and whose responses are not complete.
    requests: AtomicUsize,
    /// When the last request ended, the last bytes of a response were written, or the connection was accepted.
    since_ms: AtomicU64,
    /// When the first byte of a head arrived that is not complete; 0 if none did.
    head_ms: AtomicU64,
    /// Whether several requests share the connection. Bytes then belong to no request in particular.
    is_shared: AtomicBool,
    closing: Notify,
}

impl Default for Activity {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            requests: AtomicUsize::new(0),
            since_ms: AtomicU64::new(0),
            head_ms: AtomicU64::new(0),
            is_shared: AtomicBool::new(false),
            closing: Notify::new(),
        }
    }
}

impl Activity {
    /// Counts a request whose head is complete, until the guard is dropped.
    pub(super) fn begin(self: &Arc<Self>) -> InProgress {
        self.requests.fetch_add(1, Ordering::Relaxed);
        self.head_ms.store(0, Ordering::Relaxed);
        InProgress(Arc::clone(self))
    }

    /// Records that the connection carries several requests at a time.
    pub(super) fn set_shared(&self) {
        self.is_shared.store(true, Ordering::Relaxed);
    }

    /// Bytes arrived.
    pub(super) fn record_read(&self) {
        if !self.is_shared() && !self.is_used() && self.head_ms.load(Ordering::Relaxed) == 0 {
            self.head_ms.store(elapsed_ms(self.started).max(1), Ordering::Relaxed);
        }
    }

    /// Bytes were written.
    pub(super) fn record_write(&self) {
        if !self.is_shared() {
            self.since_ms.store(elapsed_ms(self.started), Ordering::Relaxed);
        }
    }

    /// Whether a request is in progress.
    pub(super) fn is_used(&self) -> bool {
        self.requests.load(Ordering::Relaxed) > 0
    }

    fn is_shared(&self) -> bool {
        self.is_shared.load(Ordering::Relaxed)
    }

    fn since_ms(&self) -> u64 {
        self.since_ms.load(Ordering::Relaxed)
    }

    fn is_idle(&self) -> bool {
        !self.is_used() && self.head_ms.load(Ordering::Relaxed) == 0
    }

    fn is_expired(&self, timeouts: Timeouts, now_ms: u64) -> bool {
        if self.is_used() {
            return false;
        }
        let (since_ms, timeout) = match self.head_ms.load(Ordering::Relaxed) {
            0 => (self.since_ms(), timeouts.idle),
            head_ms => (head_ms, timeouts.head),
        };
        u128::from(now_ms.saturating_sub(since_ms)) >= timeout.as_millis()
    }
}

/// A request in progress.
#[derive(Debug)]
pub(super) struct InProgress(Arc<Activity>);

impl Drop for InProgress {
    fn drop(&mut self) {
        self.0.since_ms.store(elapsed_ms(self.0.started), Ordering::Relaxed);
        self.0.requests.fetch_sub(1, Ordering::Relaxed);
    }
}

fn elapsed_ms(started: Instant) -> u64 {
    u64::try_from(started.elapsed().as_millis()).unwrap_or(u64::MAX)
}
