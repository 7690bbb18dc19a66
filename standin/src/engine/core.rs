//! The state of an engine and the task that drives its steps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use uuid::Uuid;

use super::Settings;
use super::cache::Page;
use super::control::{Change, State};
use super::generation::{End, Generation};
use super::inner::{Answer, Inner, Rejection};
use super::order::{Loaded, Order, Seen};
use super::stream::Reader;
use super::wire::{Completion, Load};
use crate::change::Signal;
use crate::web::Stop;

/// Time for the last events of a reclaimed engine to leave, in milliseconds.
const LAST_EVENTS_MS: u64 = 50;

/// Bounds of the time between two searches for orphaned and expired generations, in milliseconds.
const SWEEP_MS: (u64, u64) = (5, 500);

/// A completion that started.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) reader: Reader,
    pub(super) answer: Answer,
}

/// An engine without its HTTP calls.
#[derive(Debug)]
pub(super) struct Core {
    settings: Settings,
    inner: Mutex<Inner>,
    /// Wakes the task that drives the steps.
    submitted: Notify,
    /// Tells of changes of behaviour.
    changed: Signal,
    stop: Stop,
}

impl Core {
    pub(super) fn new(settings: Settings, stop: Stop) -> Self {
        let inner = Inner::new(&settings);
        Self {
            settings,
            inner: Mutex::new(inner),
            submitted: Notify::new(),
            changed: Signal::new(),
            stop,
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn now_us(&self) -> u64 {
        self.lock().clock.now_us()
    }

    /// The time that tokens sent now are to tell, in microseconds since the Unix epoch.
    pub(super) fn stamp(&self) -> Option<u64> {
        self.settings.stamps.then(crate::web::unix_us)
    }

    /// Drives the steps until the engine stops.
    pub(super) async fn run(self: Arc<Self>) {
        let stop = self.stop.clone();
        let mut stopped = std::pin::pin!(stop.stopped());
        loop {
            let wake_at = self.step();
            if self.is_reclaimed() {
                tokio::time::sleep(Duration::from_millis(LAST_EVENTS_MS)).await;
                self.stop.stop();
            }
            let far = Instant::now() + Duration::from_secs(3_600);
            tokio::select! {
                () = &mut stopped => return,
                () = self.submitted.notified() => {}
                () = tokio::time::sleep_until(wake_at.unwrap_or(far)) => {}
            }
        }
    }

    /// Runs what is due and returns when to run again; none while the clock is held.
    fn step(&self) -> Option<Instant> {
        let (updates, now_us, wake_at) = {
            let mut inner = self.lock();
            let now_us = inner.clock.now_us();
            let mut updates = inner.advance(now_us);
            if now_us >= inner.sweep_at_us {
                inner.sweep(now_us, self.settings.keep_ms * 1_000, &mut updates);
                let period_ms = inner.faults.linger_ms.min(self.settings.keep_ms) / 8;
                inner.sweep_at_us = now_us + period_ms.clamp(SWEEP_MS.0, SWEEP_MS.1) * 1_000;
            }
            if inner.leave_at_us.is_some_and(|at_us| at_us <= now_us) {
                inner.reclaim(&mut updates);
            }
            let due = [inner.model.step_end_us(), inner.leave_at_us, Some(inner.sweep_at_us)];
            let next_us = due.into_iter().flatten().min();
            (updates, now_us, next_us.and_then(|at_us| inner.clock.instant(at_us)))
        };
        for update in updates {
            update.generation.advance(now_us, update.produced, update.end);
        }
        wake_at
    }

    fn is_reclaimed(&self) -> bool {
        let inner = self.lock();
        inner.leave_at_us.is_some_and(|at_us| at_us <= inner.clock.now_us())
    }

    /// Waits until the engine answers calls.
    pub(super) async fn ready(&self) {
        self.changed.pass(|| self.lock().faults.frozen).await;
    }

    pub(super) fn control(&self, change: Change) {
        let mut inner = self.lock();
        inner.faults.apply(&change);
        let held = inner.faults.frozen || inner.faults.stalled;
        inner.clock.hold(held);
        if let Some(notice_ms) = change.reclaim_in_ms {
            inner.leave_at_us = Some(inner.clock.now_us() + notice_ms * 1_000);
        }
        drop(inner);
        if change.die {
            self.stop.stop();
        }
        self.changed.notify();
        self.submitted.notify_one();
    }

    pub(super) fn state(&self) -> State {
        let inner = self.lock();
        let load = inner.model.current_load();
        State {
            faults: inner.faults.clone(),
            counters: inner.counters.clone(),
            running: load.running,
            waiting: load.waiting,
            used_tokens: load.used_tokens,
            preemptions: load.preemptions,
        }
    }

    pub(super) fn executions(&self, request_id: &str) -> u64 {
        self.lock().executions.get(request_id).copied().unwrap_or(0)
    }

    pub(super) fn progress(&self, generation: Uuid) -> Option<(u32, bool)> {
        let generation = self.generation(generation)?;
        let progress = generation.lock();
        Some((progress.produced, progress.end.is_some()))
    }

    pub(super) fn generation(&self, generation: Uuid) -> Option<Arc<Generation>> {
        self.lock().known.get(&generation).cloned()
    }

    pub(super) fn orders(&self) -> Vec<Seen> {
        self.lock().orders.clone()
    }

    /// Starts a generation.
    pub(super) fn submit(self: &Arc<Self>, completion: &Completion) -> Result<Started, Rejection> {
        let (generation, answer) = self.lock().submit(completion, self.settings.max_waiting)?;
        self.submitted.notify_one();
        Ok(Started { reader: Reader::new(Arc::clone(self), generation), answer })
    }

    /// Cancels a generation. Returns whether it is known.
    pub(super) fn cancel(&self, generation: Uuid) -> bool {
        let mut inner = self.lock();
        let Some(generation) = inner.known.get(&generation).cloned() else {
            return false;
        };
        if inner.close(&generation) {
            inner.counters.cancelled += 1;
        }
        let now_us = inner.clock.now_us();
        drop(inner);
        generation.advance(now_us, 0, Some(End::Cancelled));
        true
    }

    /// Changes a priority. Returns whether the generation is known.
    pub(super) fn set_priority(&self, generation: Uuid, priority: u8) -> bool {
        let mut inner = self.lock();
        let Some(key) = inner.known.get(&generation).map(|generation| generation.key) else {
            return false;
        };
        inner.model.set_priority(key, priority);
        true
    }

    /// Takes an order and carries it out. Returns the state then, and whether the order was taken.
    pub(super) async fn order(self: &Arc<Self>, order: Order) -> (Loaded, bool) {
        let (taken, order_ms) = self.lock().receive(&order);
        if !taken {
            return (self.loaded(), false);
        }
        let core = Arc::clone(self);
        // The order takes effect even if the caller goes away.
        let work = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(order_ms)).await;
            core.lock().carry_out(&order);
        });
        let _ = work.await;
        (self.loaded(), true)
    }

    pub(super) fn loaded(&self) -> Loaded {
        self.lock().loaded.clone()
    }

    pub(super) fn load(&self) -> Load {
        let inner = self.lock();
        let now_us = inner.clock.now_us();
        let load = inner.model.load(now_us);
        Load {
            state: inner.phase(),
            role: inner.loaded.role.clone(),
            running: load.running,
            waiting: load.waiting,
            memory_tokens: load.memory_tokens,
            used_tokens: load.used_tokens,
            preemptions: load.preemptions,
            report_ms: now_us.saturating_sub(self.settings.model.load_lag_us) / 1_000,
            leave_in_ms: inner.leave_at_us.map(|at_us| at_us.saturating_sub(now_us) / 1_000),
            token_ms: load.token_us as f64 / 1_000.0,
        }
    }

    pub(super) fn cache_events(&self, from: u64) -> Page {
        let inner = self.lock();
        inner.journal.read(inner.clock.now_us(), from)
    }
}
