//! Continues a stream at another engine: a generation that was stopped to move, or one that broke off and may be resumed.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderMap, header};
use slog::info;

use super::Relay;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::dispatch::{Attempts, Failure, Step};
use crate::entry::context::{Context, Reservation};
use crate::entry::exchange::{self, Exchange};
use crate::entry::homes::Constraint;
use crate::entry::job::Job;
use crate::entry::migrate::Stopped;
use crate::entry::request::Continuation;
use crate::freshness::Purpose;
use crate::name;
use crate::origin::Origin;

impl Relay {
    /// Continues a stopped generation at the engine that has the copy of its KV cache, or else at the engine that
    /// stopped it.
    pub(super) async fn continue_stopped(&mut self, stopped: Stopped) -> Option<Exchange> {
        self.migrations += 1;
        let last_event = self.splitter.last_id().cloned();
        let continuation = Continuation { kv_cache: Some(stopped.kv_cache), last_event };
        let source = Arc::clone(&self.exchange.reservation.server);
        let resumption = self.resumption();
        if !resumption.is_resumable {
            return None;
        }
        let targets = stopped
            .target
            .iter()
            .map(|reservation: &Reservation| &reservation.server)
            .filter(|target| target.wait_until_ms(boot_ms()).is_none())
            .chain([&source]);
        for target in targets {
            self.context.count_retry(&self.job.service);
            match resumption.send(target, &continuation).await {
                Ok(exchange) => return Some(exchange),
                Err(Failure::NotSent | Failure::NotRun) => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Resumes a generation that broke off at another engine after its last event, without its KV cache.
    pub(super) async fn resume(&mut self) -> Option<Exchange> {
        let mut resumption = self.resumption();
        let exchange = resumption.next().await;
        self.attempts = resumption.into_attempts();
        exchange
    }

    /// The continuation of the stream after its last event so far.
    pub(super) fn resumption(&self) -> Resumption {
        let reservation = &self.exchange.reservation;
        Resumption {
            context: Arc::clone(&self.context),
            job: Arc::clone(&self.job),
            source: Arc::clone(&reservation.server),
            tokens: reservation.tokens(),
            origin: self.origin.clone(),
            last_event: self.splitter.last_id().cloned(),
            is_resumable: self.splitter.can_continue(),
            kind: media_type(&self.exchange.head.headers),
            attempts: self.attempts.clone(),
            others: 0,
        }
    }
}

/// The continuation of a stream at another engine.
pub(super) struct Resumption {
    context: Arc<Context>,
    job: Arc<Job>,
    /// The engine that has broken off the stream, or is silent.
    source: Arc<Server>,
    /// Tokens that the generation holds in the KV cache.
    tokens: u64,
    origin: Option<Origin>,
    last_event: Option<Bytes>,
    /// Whether the last event tells where the stream has to continue.
    is_resumable: bool,
    /// Media type of the stream, if its engine said.
    kind: Option<Bytes>,
    attempts: Attempts,
    /// Other engines that may have run the request.
    others: u32,
}

impl Resumption {
    /// The attempts, with that of the engine before as a lost one.
    pub(super) fn into_attempts(self) -> Attempts {
        self.attempts
    }

    /// Adds the other engines that may have run the request to `attempts`, which goes on at its engine.
    pub(super) fn record_others(self, attempts: &mut Attempts) {
        for _ in 0..self.others {
            attempts.record_failure(Failure::Lost, || false);
        }
    }

    /// Sends the request to other engines until one continues the stream. `None` if none of them may or does.
    pub(super) async fn next(&mut self) -> Option<Exchange> {
        // If not the same, the stream began at another build than the entry of its engine says.
        if !self.job.route.kind.may_repeat()
            || !self.is_resumable
            || !self.attempts.may_repeat_after(Failure::Lost)
            || !exchange::is_same_process(&self.source).await
        {
            return None;
        }
        let (mut failed, mut failure) = (Arc::clone(&self.source), Failure::Lost);
        let mut excluded = Vec::new();
        loop {
            self.context.tracker().record_failure(&failed.entry.id, boot_ms());
            excluded.push(failed.entry.id.clone());
            let server = self.choose(&excluded)?;
            let try_retry = || self.job.try_retry(&self.context);
            if self.attempts.record_failure(failure, try_retry) != Step::Retry {
                return None;
            }
            let continuation = Continuation { kv_cache: None, last_event: self.last_event.clone() };
            // Until its response shows that it has not.
            self.others += 1;
            match self.send(&server, &continuation).await {
                Ok(exchange) => return Some(exchange),
                Err(next_failure) => (failed, failure) = (server, next_failure),
            }
            self.others -= u32::from(matches!(failure, Failure::NotSent | Failure::NotRun));
        }
    }

    /// Chooses an engine outside `excluded`.
    fn choose(&self, excluded: &[name::Server]) -> Option<Arc<Server>> {
        let current = self.context.cache.current(Purpose::Continuation, boot_ms())?;
        let constraint = Constraint::new(&self.context, &self.job.request, self.origin.as_ref());
        let (service, requirement) = (&self.job.service, self.job.requirement());
        let choice =
            self.context.choose(&current.table, service, excluded, requirement, &constraint);
        choice.map(|choice| choice.server)
    }

    /// Whether the response can be the rest of the stream. Its events show whether it is.
    fn is_continuation(&self, exchange: &Exchange) -> bool {
        let kind = media_type(&exchange.head.headers);
        exchange.is_success() && (self.kind.is_none() || kind == self.kind)
    }

    /// Sends the request with `continuation` to `server`.
    async fn send(
        &self,
        server: &Arc<Server>,
        continuation: &Continuation,
    ) -> Result<Exchange, Failure> {
        let remaining = self.job.remaining();
        let request = &self.job.request;
        let prompt = request.head.prompt.filter(|_| continuation.kv_cache.is_none());
        let prefill_tokens = prompt.map_or(0, |prompt| prompt.input);
        let place = self.context.reserve(server, self.tokens, prefill_tokens);
        let sent = exchange::send(&self.context, request, place, remaining, Some(continuation));
        let sent = tokio::time::timeout(remaining, sent).await.unwrap_or(Err(Failure::Lost));
        let sent = sent.and_then(|exchange| match self.is_continuation(&exchange) {
            true => Ok(exchange),
            false => Err(Failure::Lost),
        });
        info!(self.context.logger, "continuation attempt finished";
            "request" => &*self.job.request.head.id_text, "server" => server.entry.id.as_str(),
            "build" => server.build_text(), "with_memory" => continuation.kv_cache.is_some(),
            "outcome" => sent.as_ref().err().map_or("ok".to_owned(), |f| format!("{f:?}")));
        sent
    }
}

/// The media type of a body in lower case, without its parameters.
fn media_type(headers: &HeaderMap) -> Option<Bytes> {
    let value = headers.get(header::CONTENT_TYPE)?.as_bytes();
    let end = value.iter().position(|byte| *byte == b';').unwrap_or(value.len());
    Some(value[..end].trim_ascii().to_ascii_lowercase().into())
}
