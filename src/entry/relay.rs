//! Forwards the events of one generation to its caller, and continues at another engine if the current one leaves or
//! fails. Called by `attempt` once an engine has started to respond.

use std::future::Future;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::Duration;

use http::Response;
use http_body_util::BodyExt as _;
use slog::info;
use tokio::time::Instant;

use super::attempt::respond;
use super::body::{Body, Stream, Truncated};
use super::context::Context;
use super::crash;
use super::exchange::{Exchange, Prefill};
use super::handler::finish;
use super::job::Job;
use super::migrate::Stopped;
use super::origins;
use super::queue::{Closed, Sender};
use super::relocate::{self, Cause, Generation};
use crate::clock::boot_ms;
use crate::connect::Framing;
use crate::directory::Phase;
use crate::dispatch::Attempts;
use crate::freshness::Purpose;
use crate::load::{Class, Requirement};
use crate::origin::Origin;
use crate::quarantine::PROOF_MS;
use crate::sse::Splitter;
use crate::stall;

mod continuation;
mod silence;

use silence::Outcome;

/// Time beyond which forwarding events shows that the caller is slow to take them, in milliseconds.
const MAX_FORWARD_MS: u64 = 5;

/// Time allowed for receiving the last events of a stopped generation, which are already in flight.
const IN_FLIGHT_TIMEOUT: Duration = Duration::from_millis(120);

/// Starts to forward the events of `exchange` and returns the response for the caller. `attempts` are those before it, which
/// count with the ones that continue the stream.
pub(crate) fn start(
    context: &Arc<Context>,
    job: Job,
    exchange: Exchange,
    mut attempts: Attempts,
) -> Response<Body> {
    let (sender, receiver) = job.queue(context);
    let head = exchange.head.clone();
    attempts.record_start();
    let current = context.cache.current(Purpose::Continuation, boot_ms());
    let pool = current.and_then(|current| current.table.pool(&job.service));
    let watch = stall::Watch::new(job.expectation(), boot_ms());
    let relay = Relay {
        watch,
        origin: job.origin.clone(),
        is_origin_recorded: false,
        context: Arc::clone(context),
        job: Arc::new(job),
        exchange,
        splitter: Splitter::default(),
        sender,
        attempts,
        event_tokens: pool.map_or(1, |pool| pool.event_tokens),
        first_event_ms: None,
        last_event_ms: boot_ms(),
        caller_blocked: false,
        longest_pause_ms: 0,
        proven: false,
        migrations: 0,
        tokens: Arc::default(),
    };
    tokio::spawn(relay.run());
    respond(head, Body::Stream(Stream(receiver)))
}

/// Why forwarding from one engine ended.
enum End {
    /// The generation is complete.
    Complete,
    /// The caller closed the connection.
    CallerLeft,
    /// The caller has read nothing for too long.
    CallerStalled,
    /// The request timed out.
    Timeout,
    /// The engine's response ended early, or has an event that is too large, or bytes came for longer than callers accept
    /// and completed no event.
    Broken,
    /// The engine sends no events for now.
    Silent,
    /// The generation was stopped to continue at another engine.
    Stopped(Stopped),
}

impl From<Closed> for End {
    fn from(closed: Closed) -> Self {
        match closed {
            Closed::Left => Self::CallerLeft,
            Closed::Stalled => Self::CallerStalled,
        }
    }
}

impl End {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Complete => "ok",
            Self::CallerLeft => "caller_left",
            Self::CallerStalled => "caller_stalled",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::Silent => "silent",
            Self::Stopped(_) => "stopped",
        }
    }
}

struct Relay {
    context: Arc<Context>,
    job: Arc<Job>,
    exchange: Exchange,
    splitter: Splitter,
    sender: Sender,
    attempts: Attempts,
    watch: stall::Watch,
    /// Where the stream began; `None` until its first event.
    origin: Option<Origin>,
    /// Whether other hosts know the origin.
    is_origin_recorded: bool,
    /// Tokens per event.
    event_tokens: u64,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    /// Whether the caller was slow to take the last events, so that the next ones were queued before they arrive here.
    caller_blocked: bool,
    longest_pause_ms: u64,
    /// Whether the parts of the prompt were proven sound.
    proven: bool,
    /// Migrations that stopped the generation, including those after which it continued at its source.
    migrations: u32,
    /// Tokens that the generation holds in the KV cache.
    tokens: Arc<AtomicU64>,
}

impl Relay {
    async fn run(mut self) {
        let end = loop {
            let end = match self.forward_events().await {
                End::Silent => match self.outlast_silence().await {
                    Outcome::GoesOn => continue,
                    Outcome::Resumed(exchange) => {
                        self.log_engine_end(&End::Silent);
                        self.use_exchange(*exchange);
                        continue;
                    }
                    Outcome::Ended(end) => end,
                },
                end => end,
            };
            self.log_engine_end(&end);
            if matches!(end, End::Broken) {
                self.check_engine().await;
            }
            let resumed = match end {
                End::Stopped(stopped) => self.continue_stopped(stopped).await,
                End::Broken => self.resume().await,
                end => break end,
            };
            let Some(exchange) = resumed else { break End::Broken };
            self.use_exchange(exchange);
        };
        match end {
            End::Complete => {
                self.record_output();
                self.sender.finish(Ok(()));
            }
            End::CallerStalled => self.sender.cut(),
            // The error closes the caller's connection, which shows that the stream is incomplete.
            _ => self.sender.finish(Err(Truncated)),
        }
        self.context.instruments.count_action(match end {
            End::Complete => "stream_complete",
            End::CallerLeft => "stream_left",
            End::CallerStalled => "stream_stalled",
            _ => "stream_cut",
        });
        info!(self.context.logger, "stream ended"; "request" => &*self.job.request.head.id_text,
            "outcome" => end.as_str(), "moves" => self.migrations,
            "first_event_ms" => self.first_event_ms,
            "longest_pause_ms" => self.longest_pause_ms,
            "objective_ms" => self.job.route.objective.as_millis() as u64,
            "max_pause_ms" => self.job.requirement().max_pause_ms,
            "last_event" => self.splitter.last_id().map(|id| String::from_utf8_lossy(id).into_owned()));
        let server = &self.exchange.reservation.server.entry.id;
        finish(&self.context, &self.job, end.as_str(), Some(server), self.migrations + 1);
    }

    /// Forwards the events of `exchange` from now on, and closes the connection of the engine before.
    fn use_exchange(&mut self, exchange: Exchange) {
        self.splitter = self.splitter.continuing();
        self.watch = stall::Watch::new(self.job.expectation(), boot_ms());
        self.exchange = exchange;
    }

    /// Finds out whether the engine that broke off the stream has ended.
    async fn check_engine(&self) {
        let Exchange { reservation, first_event_ms, .. } = &self.exchange;
        let writing_ms = first_event_ms.map(|first_ms| boot_ms().saturating_sub(first_ms));
        crash::check(&self.context, &self.job.request, &reservation.server, writing_ms).await;
    }

    /// Counts and logs why forwarding from the current engine ended, with what is known about the end of its response.
    fn log_engine_end(&self, end: &End) {
        let framing = self.framing().as_str();
        let server = &self.exchange.reservation.server;
        self.context.instruments.count_engine_stream(framing, end.as_str());
        info!(self.context.logger, "engine response ended";
            "request" => &*self.job.request.head.id_text,
            "server" => server.entry.id.as_str(), "build" => server.build_text(),
            "outcome" => end.as_str(), "framing" => framing,
            "unfinished_bytes" => self.splitter.unfinished_bytes());
    }

    /// Forwards the events of the current engine until one of the cases of [`End`] occurs.
    async fn forward_events(&mut self) -> End {
        let mut phase = self.exchange.reservation.server.subscribe();
        let deadline = Instant::now() + self.job.remaining();
        let may_resume = self.job.route.kind.may_repeat();
        let stop_sent = Arc::new(AtomicBool::new(false));
        let mut migratable = self.can_migrate();
        self.tokens.store(self.exchange.reservation.tokens(), Ordering::Relaxed);
        let generation = migratable.then(|| self.generation(&stop_sent));
        let mut migration =
            generation.map(|generation| Box::pin(relocate::run(generation, Cause::Evacuation)));
        let mut is_leaving = false;
        loop {
            // A generation that may be stopped already moves to the target of that stop.
            let is_stopping = migration.is_some() && stop_sent.load(Ordering::Relaxed);
            if migratable && !is_stopping && *phase.borrow_and_update() == Phase::Leaving {
                migratable = false;
                let generation = self.generation(&stop_sent);
                migration = Some(Box::pin(relocate::run(generation, Cause::Leaving)));
                is_leaving = true;
            }
            let until_silent = Duration::from_millis(self.watch.remaining_ms(boot_ms()));
            tokio::select! {
                biased;
                frame = self.exchange.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else { continue };
                        if let Some(end) = self.forward(&bytes).await {
                            return end;
                        }
                        if may_resume && self.watch.remaining_ms(boot_ms()) == 0 {
                            return End::Silent;
                        }
                    }
                    Some(Err(_)) => {
                        // A generation that was not stopped broke off, and no migration has to be waited for.
                        let is_moving = is_leaving || stop_sent.load(Ordering::Relaxed);
                        return self.handle_disconnect(migration.filter(|_| is_moving)).await;
                    }
                    None => return self.handle_end(migration, &stop_sent).await,
                },
                stopped = relocate::wait(&mut migration) => {
                    migration = None;
                    if let Some(stopped) = stopped {
                        self.forward_in_flight().await;
                        return End::Stopped(stopped);
                    }
                }
                closed = self.sender.closed() => return closed.into(),
                () = tokio::time::sleep_until(deadline) => return End::Timeout,
                () = tokio::time::sleep(until_silent), if may_resume => return End::Silent,
                changed = phase.changed(), if migratable => migratable = changed.is_ok(),
            }
        }
    }

    /// The generation at the current engine, which may have to move.
    fn generation(&self, stop_sent: &Arc<AtomicBool>) -> Generation {
        Generation {
            context: Arc::clone(&self.context),
            job: Arc::clone(&self.job),
            source: Arc::clone(&self.exchange.reservation.server),
            tokens: Arc::clone(&self.tokens),
            stop_sent: Arc::clone(stop_sent),
        }
    }

    /// Records the progress of the stream. Ends it if it has timed out, or if bytes have come for longer than callers accept
    /// and completed no event.
    fn watch_progress(&mut self) -> Option<End> {
        self.watch.record(self.splitter.complete_events(), boot_ms());
        if self.watch.is_stalled() {
            self.context.instruments.count_action("stream_stalled");
            return Some(End::Broken);
        }
        // While bytes are always there to be read, no timer is polled.
        self.job.remaining().is_zero().then_some(End::Timeout)
    }

    /// Whether the engines of this service can migrate generations and this one is not resumable. Resumable ones end
    /// too soon to be worth a migration.
    fn can_migrate(&self) -> bool {
        let current = self.context.cache.current(Purpose::Continuation, boot_ms());
        let pool = current.and_then(|current| current.table.pool(&self.job.service));
        pool.is_some_and(|pool| pool.can_migrate) && !self.job.route.kind.may_repeat()
    }

    /// Forwards the complete events in `bytes`; incomplete ones stay buffered. Returns why forwarding ended, if it did.
    async fn forward(&mut self, bytes: &[u8]) -> Option<End> {
        let end = self.forward_complete(bytes).await;
        // After the wait for a slow caller, which is not the engine's.
        end.or_else(|| self.watch_progress())
    }

    async fn forward_complete(&mut self, bytes: &[u8]) -> Option<End> {
        let events_before = self.splitter.forwarded_events();
        let Ok(text) = self.splitter.push(bytes) else { return Some(End::Broken) };
        if text.is_empty() {
            return None;
        }
        let now_ms = boot_ms();
        let is_first = self.exchange.first_event_ms.is_none();
        let first_event_ms = *self.exchange.first_event_ms.get_or_insert(now_ms);
        if now_ms >= first_event_ms + PROOF_MS {
            self.prove_parts();
        }
        self.record_prefill(now_ms);
        let events = self.splitter.forwarded_events() - events_before;
        if !is_first && !self.caller_blocked {
            self.record_speed(events, now_ms);
        }
        self.record_event_time(now_ms);
        self.record_origin();
        let tokens = events * self.event_tokens;
        self.exchange.reservation.mark_prefilled();
        self.exchange.reservation.add_tokens(tokens);
        self.tokens.store(self.exchange.reservation.tokens(), Ordering::Relaxed);
        let sent = self.sender.send(&text).await;
        self.caller_blocked = boot_ms().saturating_sub(now_ms) > MAX_FORWARD_MS;
        sent.err().map(End::from)
    }

    /// Records how long the prefill of the prompt took, at the first event of the engine that began the stream.
    fn record_prefill(&mut self, now_ms: u64) {
        let Some(Prefill { tokens, sent_ms }) = self.exchange.prefill.take() else { return };
        let elapsed_ms = now_ms.saturating_sub(sent_ms);
        self.context.tracker().record_prefill(&self.job.service, tokens, elapsed_ms);
    }

    /// Records the output of a complete long generation.
    fn record_output(&self) {
        let Requirement { class, tokens, .. } = self.job.requirement();
        if class == Class::Long {
            let produced = self.tokens.load(Ordering::Relaxed).saturating_sub(tokens);
            self.context.tracker().record_output(&self.job.service, produced);
        }
    }

    /// Records the time between events as a measure of the engine's speed.
    fn record_speed(&self, events: u64, now_ms: u64) {
        let elapsed_ms = now_ms.saturating_sub(self.last_event_ms);
        let server = &self.exchange.reservation.server;
        self.context.tracker().measure(server, events, elapsed_ms, now_ms);
    }

    /// Remembers where the stream began, and lets other hosts know if its caller may resume it there, also if this request
    /// resumes it already.
    fn record_origin(&mut self) {
        if std::mem::replace(&mut self.is_origin_recorded, true) {
            return;
        }
        let server = &self.exchange.reservation.server;
        let origin = self.origin.get_or_insert_with(|| Origin::from(&server.entry));
        if self.job.route.kind.may_repeat() {
            origins::publish(&self.context, &self.job.request.head.id_text, origin);
        }
    }

    /// Updates the time to the first event or the longest pause between two events.
    fn record_event_time(&mut self, now_ms: u64) {
        let last_ms = std::mem::replace(&mut self.last_event_ms, now_ms);
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(now_ms.saturating_sub(self.job.arrived_ms));
            return;
        }
        self.longest_pause_ms = self.longest_pause_ms.max(now_ms.saturating_sub(last_ms));
    }

    /// The response ended without an error. One that ends with its connection ends in the same way if the migration
    /// stopped the generation.
    async fn handle_end(
        &mut self,
        migration: Option<impl Future<Output = Option<Stopped>>>,
        stop_sent: &AtomicBool,
    ) -> End {
        if self.framing() == Framing::Connection && stop_sent.load(Ordering::Relaxed) {
            let end = self.handle_disconnect(migration).await;
            if matches!(end, End::Stopped(_)) || stop_sent.load(Ordering::Relaxed) {
                return end;
            }
        }
        self.complete().await
    }

    /// The response has ended: the generation is complete unless the response ended inside an event, or with its
    /// connection before any event.
    async fn complete(&mut self) -> End {
        if self.framing() == Framing::Connection && self.is_unframed_end_doubtful().await {
            return End::Broken;
        }
        let Ok(rest) = self.splitter.finish() else { return End::Broken };
        if let Err(closed) = self.sender.send(&rest).await {
            return closed.into();
        }
        self.prove_parts();
        End::Complete
    }

    /// Whether a response that ended with its connection may have been broken off: it has no event, or the engine itself
    /// has ended.
    async fn is_unframed_end_doubtful(&self) -> bool {
        self.splitter.forwarded_events() == 0
            || crash::has_ended(&self.exchange.reservation.server).await
    }

    /// Records that the request does not crash engines, once for each stream.
    fn prove_parts(&mut self) {
        if !std::mem::replace(&mut self.proven, true) {
            crash::prove(&self.context, &self.job.request);
        }
    }

    fn framing(&self) -> Framing {
        Framing::new(&self.exchange.head)
    }

    /// The connection ended early: the migration stopped the generation, or the engine failed. Waits for the migration
    /// to find out which.
    async fn handle_disconnect(
        &mut self,
        migration: Option<impl Future<Output = Option<Stopped>>>,
    ) -> End {
        let Some(migration) = migration else { return End::Broken };
        migration.await.map_or(End::Broken, End::Stopped)
    }

    /// Forwards the events that the source sent before it stopped the generation.
    async fn forward_in_flight(&mut self) {
        let deadline = Instant::now() + IN_FLIGHT_TIMEOUT;
        while let Ok(Some(Ok(frame))) =
            tokio::time::timeout_at(deadline, self.exchange.body.frame()).await
        {
            let Ok(bytes) = frame.into_data() else { continue };
            if self.forward(&bytes).await.is_some() {
                return;
            }
        }
    }
}
