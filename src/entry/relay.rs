//! Passes the events of one generation on to its caller, across engines if its own leaves or fails.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Response;
use http_body_util::BodyExt as _;
use slog::info;
use tokio::sync::mpsc;
use tokio::time::Instant;

use super::attempt::respond;
use super::body::{Body, Broken};
use super::context::{Context, Place};
use super::exchange::{self, Exchange};
use super::handler::finish;
use super::job::Job;
use super::migrate::{self, Stopped};
use super::request::Continuation;
use crate::clock::boot_ms;
use crate::directory::{Phase, Server};
use crate::dispatch::{Attempts, Failure, Step};
use crate::freshness::Purpose;
use crate::sse::Splitter;

/// Runs of events that wait for a slow caller before its engine's connection is left unread.
const QUEUED_RUNS: usize = 8;

/// Time for the last events of a generation that was stopped; they are already on their way.
const DRAIN_TIMEOUT: Duration = Duration::from_millis(120);

/// Time without an event after which a resumable generation is sought elsewhere: several times the longest pause that
/// callers accept.
const SILENCE: Duration = Duration::from_millis(900);

/// Starts passing on `exchange` and returns the head for the caller.
pub(crate) fn start(context: &Arc<Context>, job: Job, exchange: Exchange) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(QUEUED_RUNS);
    let head = exchange.head.clone();
    let attempts = Attempts::new(job.route.kind, job.route.max_attempts);
    let current = context.beliefs.current(Purpose::Continuation, boot_ms());
    let pool = current.and_then(|current| current.table.pool(&job.service));
    let relay = Relay {
        context: Arc::clone(context),
        job: Arc::new(job),
        exchange,
        splitter: Splitter::default(),
        sender,
        attempts,
        event_tokens: pool.map_or(1, |pool| pool.event_tokens),
        first_event_ms: None,
        last_event_ms: boot_ms(),
        longest_pause_ms: 0,
        moves: 0,
    };
    tokio::spawn(relay.run());
    respond(head, Body::Events(receiver))
}

/// How a stretch at one engine ended.
enum End {
    /// The generation is whole.
    Complete,
    /// The caller has left.
    CallerLeft,
    /// The time for the request is over.
    Timeout,
    /// The engine broke off or fell silent.
    Broken,
    /// The generation was stopped, to go on elsewhere.
    Stopped(Stopped),
}

impl End {
    fn as_str(&self) -> &'static str {
        match self {
            Self::Complete => "ok",
            Self::CallerLeft => "caller_left",
            Self::Timeout => "timeout",
            Self::Broken => "broken",
            Self::Stopped(_) => "stopped",
        }
    }
}

struct Relay {
    context: Arc<Context>,
    job: Arc<Job>,
    exchange: Exchange,
    splitter: Splitter,
    sender: mpsc::Sender<Result<Bytes, Broken>>,
    attempts: Attempts,
    /// Tokens in one event.
    event_tokens: u64,
    first_event_ms: Option<u64>,
    last_event_ms: u64,
    longest_pause_ms: u64,
    moves: u32,
}

impl Relay {
    async fn run(mut self) {
        let end = loop {
            let end = self.stretch().await;
            let resumed = match end {
                End::Stopped(stopped) => self.take_up(stopped).await,
                End::Broken => self.resume().await,
                end => break end,
            };
            let Some(exchange) = resumed else { break End::Broken };
            self.splitter = Splitter::new(self.splitter.last_id().cloned());
            self.exchange = exchange;
        };
        if matches!(end, End::Broken | End::Timeout) {
            // Without a whole end the caller sees that the stream is cut off. A caller that left sees nothing.
            let _ = self.sender.send(Err(Broken)).await;
        }
        self.context.instruments.act(match end {
            End::Complete => "stream_complete",
            End::CallerLeft => "stream_left",
            _ => "stream_cut",
        });
        info!(self.context.logger, "stream ended"; "request" => &*self.job.request.head.id_text,
            "outcome" => end.as_str(), "moves" => self.moves,
            "first_event_ms" => self.first_event_ms,
            "longest_pause_ms" => self.longest_pause_ms,
            "last_event" => self.splitter.last_id().map(|id| String::from_utf8_lossy(id).into_owned()));
        let server = &self.exchange.place.server.entry.id;
        finish(&self.context, &self.job, end.as_str(), Some(server), self.moves + 1);
    }

    /// Passes events of one engine on until something ends that.
    async fn stretch(&mut self) -> End {
        let mut phase = self.exchange.place.server.subscribe();
        let deadline = Instant::now() + self.job.left();
        let resumable = self.job.route.kind.may_repeat();
        let mut moving = None;
        let mut movable = self.can_move();
        loop {
            if movable && *phase.borrow_and_update() == Phase::Leaving {
                movable = false;
                moving = Some(Box::pin(migrate::migrate(
                    Arc::clone(&self.context),
                    Arc::clone(&self.job),
                    Arc::clone(&self.exchange.place.server),
                    self.exchange.place.tokens(),
                )));
            }
            let silent = Instant::now() + SILENCE;
            tokio::select! {
                biased;
                frame = self.exchange.body.frame() => match frame {
                    Some(Ok(frame)) => {
                        let Ok(bytes) = frame.into_data() else { continue };
                        if let Some(end) = self.pass(&bytes).await {
                            return end;
                        }
                    }
                    Some(Err(_)) => return self.broken(moving).await,
                    None => return self.complete().await,
                },
                stopped = wait(&mut moving) => {
                    moving = None;
                    if let Some(stopped) = stopped {
                        self.drain().await;
                        return End::Stopped(stopped);
                    }
                }
                () = self.sender.closed() => return End::CallerLeft,
                () = tokio::time::sleep_until(deadline) => return End::Timeout,
                () = tokio::time::sleep_until(silent), if resumable => return End::Broken,
                changed = phase.changed(), if movable => movable = changed.is_ok(),
            }
        }
    }

    /// Whether the engines of this service can move generations, and this one lasts long enough to be worth it.
    fn can_move(&self) -> bool {
        let current = self.context.beliefs.current(Purpose::Continuation, boot_ms());
        let pool = current.and_then(|current| current.table.pool(&self.job.service));
        pool.is_some_and(|pool| pool.can_migrate) && !self.job.route.kind.may_repeat()
    }

    /// Passes the whole events in `bytes` on.
    async fn pass(&mut self, bytes: &[u8]) -> Option<End> {
        let passed = self.splitter.passed();
        let Ok(events) = self.splitter.push(bytes) else { return Some(End::Broken) };
        if events.is_empty() {
            return None;
        }
        self.note_pause();
        let made = (self.splitter.passed() - passed) * self.event_tokens;
        self.exchange.place.read();
        self.exchange.place.grow(made);
        self.sender.send(Ok(events)).await.err().map(|_| End::CallerLeft)
    }

    fn note_pause(&mut self) {
        let now_ms = boot_ms();
        let last_ms = std::mem::replace(&mut self.last_event_ms, now_ms);
        if self.first_event_ms.is_none() {
            self.first_event_ms = Some(now_ms.saturating_sub(self.job.arrived_ms));
            return;
        }
        self.longest_pause_ms = self.longest_pause_ms.max(now_ms.saturating_sub(last_ms));
    }

    async fn complete(&mut self) -> End {
        let rest = self.splitter.rest();
        if !rest.is_empty() && self.sender.send(Ok(rest)).await.is_err() {
            return End::CallerLeft;
        }
        End::Complete
    }

    /// The connection ended early: because the generation was stopped for a move, or because the engine failed.
    async fn broken(&mut self, moving: Option<impl Future<Output = Option<Stopped>>>) -> End {
        let Some(moving) = moving else { return End::Broken };
        match moving.await {
            Some(stopped) => End::Stopped(stopped),
            None => End::Broken,
        }
    }

    /// Passes on what a stopped generation had already sent.
    async fn drain(&mut self) {
        let until = Instant::now() + DRAIN_TIMEOUT;
        while let Ok(Some(Ok(frame))) =
            tokio::time::timeout_at(until, self.exchange.body.frame()).await
        {
            let Ok(bytes) = frame.into_data() else { continue };
            if self.pass(&bytes).await.is_some() {
                return;
            }
        }
    }

    /// Goes on with a stopped generation, at the engine that holds its copy or else at the one that stopped it.
    async fn take_up(&mut self, stopped: Stopped) -> Option<Exchange> {
        self.moves += 1;
        let last_event = self.splitter.last_id().cloned();
        let continuation = Continuation { memory: Some(stopped.memory), last_event };
        let source = Arc::clone(&self.exchange.place.server);
        let targets = stopped.target.iter().map(|place: &Place| &place.server).chain([&source]);
        for target in targets {
            self.context.charge(&self.job.service);
            match self.send(target, &continuation).await {
                Ok(exchange) => return Some(exchange),
                Err(Failure::NotSent | Failure::NotRun) => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Starts a resumable generation anew after its last event.
    async fn resume(&mut self) -> Option<Exchange> {
        let mut excluded = Vec::new();
        let mut failure = Failure::Lost;
        loop {
            excluded.push(self.exchange.place.server.entry.id.clone());
            let failed = self.exchange.place.server.entry.id.clone();
            self.context.ledger().record_failure(&failed, boot_ms());
            let service = &self.job.service;
            let step = self.attempts.record_failure(failure, || self.context.spend(service));
            if step != Step::Retry {
                return None;
            }
            let current = self.context.beliefs.current(Purpose::Continuation, boot_ms())?;
            let choice =
                self.context.choose(&current.table, service, &excluded, self.job.need())?;
            let last_event = self.splitter.last_id().cloned();
            let continuation = Continuation { memory: None, last_event };
            match self.send(&choice.server, &continuation).await {
                Ok(exchange) => return Some(exchange),
                Err(other) => {
                    failure = other;
                    excluded.push(choice.server.entry.id.clone());
                }
            }
        }
    }

    async fn send(
        &self,
        server: &Arc<Server>,
        continuation: &Continuation,
    ) -> Result<Exchange, Failure> {
        let left = self.job.left();
        let tokens = self.exchange.place.tokens();
        let sent = exchange::send(
            &self.context,
            &self.job.request,
            server,
            left,
            tokens,
            Some(continuation),
        );
        let sent = tokio::time::timeout(left, sent).await.unwrap_or(Err(Failure::Lost));
        let sent = sent.and_then(|exchange| match exchange.is_success() {
            true => Ok(exchange),
            false => Err(Failure::Lost),
        });
        info!(self.context.logger, "stream taken up";
            "request" => &*self.job.request.head.id_text, "server" => server.entry.id.as_str(),
            "with_memory" => continuation.memory.is_some(),
            "outcome" => sent.as_ref().err().map_or("ok".to_owned(), |f| format!("{f:?}")));
        sent
    }
}

/// Waits for a move, or for ever if there is none.
async fn wait<F>(moving: &mut Option<Pin<Box<F>>>) -> Option<Stopped>
where
    F: Future<Output = Option<Stopped>>,
{
    match moving {
        Some(moving) => moving.await,
        None => std::future::pending().await,
    }
}
