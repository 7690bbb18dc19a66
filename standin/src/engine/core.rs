//! The state of an engine, and the task that runs its steps.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use uuid::Uuid;

use super::Settings;
use super::cache::Page;
use super::control::{Change, State};
use super::generation::{End, Generation};
use super::inner::{Injection, Inner, Rejection};
use super::order::{Loaded, Order, Record};
use super::stream::Reader;
use super::wire::{Completion, Load};
use crate::control::Signal;
use crate::web::Stop;

/// Time for a reclaimed engine to send its last events before it stops, in milliseconds.
const FLUSH_MS: u64 = 50;

/// Bounds of the interval between two sweeps of orphaned and expired generations, in milliseconds.
const SWEEP_MS: (u64, u64) = (5, 500);

/// A completion that has started.
#[derive(Debug)]
pub(super) struct Started {
    pub(super) reader: Reader,
    pub(super) injection: Injection,
}

/// The engine that the HTTP interface and the task that runs the steps share.
#[derive(Debug)]
pub(super) struct Core {
    settings: Settings,
    inner: Mutex<Inner>,
    /// Wakes the task that runs the steps.
    wakeup: Notify,
    /// Signals changes of the faults.
    changed: Signal,
    stop: Stop,
}

impl Core {
    pub(super) fn new(settings: Settings, stop: Stop) -> Self {
        let inner = Inner::new(&settings);
        Self {
            settings,
            inner: Mutex::new(inner),
            wakeup: Notify::new(),
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

    /// The time in the text of a token that is sent now, in microseconds since the Unix epoch; none without `stamps`.
    pub(super) fn stamp(&self) -> Option<u64> {
        self.settings.stamps.then(crate::web::unix_us)
    }

    /// Runs the steps until the engine stops.
    pub(super) async fn run(self: Arc<Self>) {
        let stop = self.stop.clone();
        let mut stopped = std::pin::pin!(stop.stopped());
        loop {
            let wake_at = self.step();
            if self.is_reclaimed() {
                tokio::time::sleep(Duration::from_millis(FLUSH_MS)).await;
                self.stop.stop();
            }
            let idle_until = Instant::now() + Duration::from_secs(3_600);
            tokio::select! {
                () = &mut stopped => return,
                () = self.wakeup.notified() => {}
                () = tokio::time::sleep_until(wake_at.unwrap_or(idle_until)) => {}
            }
        }
    }

    /// Runs the work that is due and returns when to run again; none while the clock is paused.
    fn step(&self) -> Option<Instant> {
        let (updates, now_us, wake_at) = {
            let mut inner = self.lock();
            let now_us = inner.clock.now_us();
            let mut updates = inner.advance(now_us);
            if now_us >= inner.sweep_at_us {
                inner.sweep(now_us, self.settings.retention_ms * 1_000, &mut updates);
                let period_ms = inner.faults.linger_ms.min(self.settings.retention_ms) / 8;
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

    /// Whether a step has ended all generations because the engine is reclaimed. The time of the reclaim alone may come
    /// right after a step that ended none.
    fn is_reclaimed(&self) -> bool {
        self.lock().model.is_reclaimed()
    }

    /// Waits while the engine is frozen.
    pub(super) async fn wait_until_thawed(&self) {
        self.changed.wait_while(|| self.lock().faults.frozen).await;
    }

    pub(super) fn control(&self, change: Change) {
        let mut inner = self.lock();
        inner.faults.apply(&change);
        let paused = inner.faults.frozen || inner.faults.stalled;
        inner.clock.set_paused(paused);
        if let Some(notice_ms) = change.reclaim_in_ms {
            inner.leave_at_us = Some(inner.clock.now_us() + notice_ms * 1_000);
        }
        drop(inner);
        if change.die {
            self.stop.stop();
        }
        self.changed.notify();
        self.wakeup.notify_one();
    }

    /// Stops the engine if this prompt does so.
    pub(super) fn die_on(&self, prompt: &str) {
        let start = self.lock().faults.die_on.clone();
        if !start.is_empty() && prompt.starts_with(&start) {
            self.stop.stop();
        }
    }

    pub(super) fn has_stopped(&self) -> bool {
        self.stop.is_stopped()
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
        self.lock().by_id.get(&generation).cloned()
    }

    pub(super) fn orders(&self) -> Vec<Record> {
        self.lock().orders.clone()
    }

    /// Starts a generation.
    pub(super) fn submit(self: &Arc<Self>, completion: &Completion) -> Result<Started, Rejection> {
        let (generation, injection) = self.lock().submit(completion, self.settings.max_waiting)?;
        self.wakeup.notify_one();
        Ok(Started { reader: Reader::new(Arc::clone(self), generation), injection })
    }

    /// Cancels a generation. Returns whether it exists.
    pub(super) fn cancel(&self, generation: Uuid) -> bool {
        let mut inner = self.lock();
        let Some(generation) = inner.by_id.get(&generation).cloned() else {
            return false;
        };
        if inner.remove(&generation) {
            inner.counters.cancelled += 1;
        }
        let now_us = inner.clock.now_us();
        drop(inner);
        generation.advance(now_us, 0, Some(End::Cancelled));
        true
    }

    /// Changes the priority of a generation. Returns whether it exists.
    pub(super) fn set_priority(&self, generation: Uuid, priority: u8) -> bool {
        let mut inner = self.lock();
        let Some(key) = inner.by_id.get(&generation).map(|generation| generation.key) else {
            return false;
        };
        inner.model.set_priority(key, priority);
        true
    }

    /// Executes an order. Returns the state after it, and whether the order was accepted.
    pub(super) async fn execute_order(self: &Arc<Self>, order: Order) -> (Loaded, bool) {
        let (accepted, order_ms) = self.lock().receive(&order);
        if !accepted {
            return (self.loaded(), false);
        }
        let core = Arc::clone(self);
        // A separate task, so that the order takes effect even if the caller disconnects.
        let work = tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(order_ms)).await;
            core.lock().execute_order(&order);
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
