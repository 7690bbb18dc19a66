//! Moves a running generation away from an engine that leaves, or whose failure domain is evacuated. Called by `relay`.
//!
//! A leaving engine ends soon, so its generations move at once. An evacuated domain has no deadline: its generations
//! move one after another where there is room, and end where they are otherwise.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use slog::info;

use super::context::Context;
use super::job::Job;
use super::migrate::{self, Stopped};
use crate::clock::boot_ms;
use crate::directory::{Phase, Server};
use crate::evacuation::{self, Ticket};
use crate::freshness::Purpose;
use crate::load::Class;

/// Time between two checks whether a generation may move: some times in the part of a turn in which moves start.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);

/// Tokens that a generation must still produce to be moved: one that ends within a second is not worth a copy.
const MIN_REMAINING_TOKENS: u64 = 100;

/// Why a generation moves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Cause {
    /// Its engine leaves.
    Leaving,
    /// The failure domain of its engine is evacuated.
    Evacuation,
}

impl Cause {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Leaving => "leaving",
            Self::Evacuation => "evacuation",
        }
    }
}

/// A generation that may have to move.
pub(crate) struct Generation {
    pub(crate) context: Arc<Context>,
    pub(crate) job: Arc<Job>,
    pub(crate) source: Arc<Server>,
    /// Tokens that it holds in the KV cache now.
    pub(crate) tokens: Arc<AtomicU64>,
    /// True while the source may have received a request to stop the generation and has not denied it.
    pub(crate) stop_sent: Arc<AtomicBool>,
}

/// Moves the generation. Returns `None` if it stays. For [`Cause::Evacuation`], waits for an evacuation first and returns
/// `None` only after a request to stop the generation.
pub(crate) async fn run(generation: Generation, cause: Cause) -> Option<Stopped> {
    match cause {
        Cause::Leaving => generation.migrate(cause).await,
        Cause::Evacuation => generation.evacuate().await,
    }
}

impl Generation {
    async fn migrate(&self, cause: Cause) -> Option<Stopped> {
        let Self { context, job, source, tokens, stop_sent } = self;
        let tokens = tokens.load(Ordering::Relaxed);
        let (context, job, source) = (Arc::clone(context), Arc::clone(job), Arc::clone(source));
        migrate::migrate(context, job, source, tokens, Arc::clone(stop_sent), cause).await
    }

    async fn evacuate(&self) -> Option<Stopped> {
        let domain = &self.source.entry.domain;
        let mut domains = self.context.evacuations.subscribe();
        loop {
            if domains.wait_for(|domains| domains.contains(domain)).await.is_err() {
                return std::future::pending().await;
            }
            let place = Place::new(self);
            while self.context.evacuations.is_evacuated(domain) {
                if !self.is_due(&place) {
                    tokio::time::sleep(CHECK_INTERVAL).await;
                    continue;
                }
                let stopped = self.migrate(Cause::Evacuation).await;
                let action =
                    if stopped.is_some() { "evacuation_moved" } else { "evacuation_stayed" };
                self.context.instruments.count_action(action);
                if stopped.is_some() || self.stop_sent.load(Ordering::Relaxed) {
                    return stopped;
                }
                info!(self.context.logger, "generation stays in an evacuated domain for now";
                    "request" => &*self.job.request.head.id_text,
                    "server" => self.source.entry.id.as_str());
                self.context.evacuations.queue().fail(
                    &self.source.entry.id,
                    place.ticket,
                    boot_ms(),
                );
            }
        }
    }

    /// Whether the generation moves now. If so, no other of this host moves away from the same engine.
    fn is_due(&self, place: &Place<'_>) -> bool {
        let (context, engine, now_ms) = (&self.context, &self.source.entry.id, boot_ms());
        let remaining = self.remaining();
        context.evacuations.queue().set_remaining(engine, place.ticket, remaining);
        let may_begin = remaining >= MIN_REMAINING_TOKENS
            && self.source.phase() == Phase::Ready
            && self.is_turn(now_ms)
            && context.evacuations.queue().try_begin(engine, place.ticket, now_ms);
        if !may_begin {
            return false;
        }
        let tokens = self.held_tokens();
        if migrate::has_evacuation_target(context, &self.job, &self.source, tokens) {
            return true;
        }
        // A smaller generation may find room.
        context.evacuations.queue().fail(engine, place.ticket, now_ms);
        false
    }

    /// Whether it is the turn of this host among those that have generations at the engine.
    fn is_turn(&self, now_ms: u64) -> bool {
        let engine = &self.source.entry.id;
        let Some(since_ms) = self.context.evacuations.since_ms(&self.source.entry.domain) else {
            return false;
        };
        let others = self.context.tracker().other_holders(engine, now_ms);
        let elapsed_ms = now_ms.saturating_sub(since_ms);
        evacuation::may_start(engine, &self.context.settings.host, &others, elapsed_ms)
    }

    fn held_tokens(&self) -> u64 {
        self.tokens.load(Ordering::Relaxed)
    }

    /// Tokens that the generation will still produce, at most.
    fn remaining(&self) -> u64 {
        let produced = self.held_tokens().saturating_sub(self.job.requirement().tokens);
        let max_output = self.job.request.head.prompt.map_or(0, |prompt| prompt.max_output);
        max_output.saturating_sub(produced)
    }
}

/// The place of a generation in the queue of its engine, until it is dropped.
struct Place<'a> {
    generation: &'a Generation,
    ticket: Ticket,
}

impl<'a> Place<'a> {
    fn new(generation: &'a Generation) -> Self {
        let engine = &generation.source.entry.id;
        let ticket = generation.context.evacuations.queue().enter(engine);
        Self { generation, ticket }
    }
}

impl Drop for Place<'_> {
    fn drop(&mut self) {
        let Generation { context, source, .. } = self.generation;
        context.evacuations.queue().leave(&source.entry.id, self.ticket);
    }
}

/// Whether `server` still has room for a generation that moves there and counts as its load already.
pub(crate) fn has_room(context: &Context, job: &Job, server: &Server) -> bool {
    let now_ms = boot_ms();
    let current = context.cache.current(Purpose::Continuation, now_ms);
    let Some(pool) = current.as_ref().and_then(|current| current.table.pool(&job.service)) else {
        return false;
    };
    let load = context.tracker().total(&server.entry.id, now_ms);
    let profile = context.tracker().profile(&job.service);
    let tokens = load.tokens as f64 / pool.memory_tokens.max(1) as f64;
    let slots = f64::from(load.requests) / f64::from(pool.batch.max(1));
    server.phase() == Phase::Ready
        && server.wait_until_ms(now_ms).is_none()
        && !context.evacuations.is_evacuated(&server.entry.domain)
        && profile.fits(Class::Long, pool.memory_tokens, tokens.max(slots), 0, 0)
}

/// Waits for the migration, or forever if there is none.
pub(crate) async fn wait<F>(migration: &mut Option<Pin<Box<F>>>) -> Option<Stopped>
where
    F: Future<Output = Option<Stopped>>,
{
    match migration {
        Some(migration) => migration.await,
        None => std::future::pending().await,
    }
}
