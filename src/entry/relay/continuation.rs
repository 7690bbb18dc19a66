//! Continues a stream at another engine: a generation that was stopped to move, or one that broke off and may be resumed.

use std::sync::Arc;

use slog::info;

use super::Relay;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::dispatch::{Failure, Step};
use crate::entry::context::Reservation;
use crate::entry::exchange::{self, Exchange};
use crate::entry::homes::Constraint;
use crate::entry::migrate::Stopped;
use crate::entry::request::Continuation;
use crate::freshness::Purpose;

impl Relay {
    /// Continues a stopped generation at the engine that has the copy of its KV cache, or else at the engine that
    /// stopped it.
    pub(super) async fn continue_stopped(&mut self, stopped: Stopped) -> Option<Exchange> {
        self.migrations += 1;
        let last_event = self.splitter.last_id().cloned();
        let continuation = Continuation { kv_cache: Some(stopped.kv_cache), last_event };
        let source = Arc::clone(&self.exchange.reservation.server);
        let targets = stopped
            .target
            .iter()
            .map(|reservation: &Reservation| &reservation.server)
            .filter(|target| target.wait_until_ms(boot_ms()).is_none())
            .chain([&source]);
        for target in targets {
            self.context.count_retry(&self.job.service);
            match self.send(target, &continuation).await {
                Ok(exchange) => return Some(exchange),
                Err(Failure::NotSent | Failure::NotRun) => {}
                Err(_) => return None,
            }
        }
        None
    }

    /// Resumes a generation at another engine after its last event, without its KV cache.
    pub(super) async fn resume(&mut self) -> Option<Exchange> {
        let mut excluded = Vec::new();
        let mut failure = Failure::Lost;
        let server = &self.exchange.reservation.server;
        // If not, the stream began at another build than the entry of its engine says.
        if self.job.route.kind.may_repeat() && !exchange::is_same_process(server).await {
            return None;
        }
        loop {
            excluded.push(self.exchange.reservation.server.entry.id.clone());
            let failed = &self.exchange.reservation.server.entry.id;
            self.context.tracker().record_failure(failed, boot_ms());
            let service = &self.job.service;
            let try_retry = || self.job.try_retry(&self.context);
            let step = self.attempts.record_failure(failure, try_retry);
            if step != Step::Retry {
                return None;
            }
            let current = self.context.cache.current(Purpose::Continuation, boot_ms())?;
            let choice = self.context.choose(
                &current.table,
                service,
                &excluded,
                self.job.requirement(),
                &Constraint::new(&self.context, &self.job.request, self.origin.as_ref()),
            )?;
            let last_event = self.splitter.last_id().cloned();
            let continuation = Continuation { kv_cache: None, last_event };
            match self.send(&choice.server, &continuation).await {
                Ok(exchange) => return Some(exchange),
                Err(next_failure) => {
                    failure = next_failure;
                    excluded.push(choice.server.entry.id.clone());
                }
            }
        }
    }

    /// Sends the request with `continuation` to `server`.
    async fn send(
        &self,
        server: &Arc<Server>,
        continuation: &Continuation,
    ) -> Result<Exchange, Failure> {
        let remaining = self.job.remaining();
        let tokens = self.exchange.reservation.tokens();
        let request = &self.job.request;
        let prompt = request.head.prompt.filter(|_| continuation.kv_cache.is_none());
        let prefill_tokens = prompt.map_or(0, |prompt| prompt.input);
        let place = self.context.reserve(server, tokens, prefill_tokens);
        let sent = exchange::send(&self.context, request, place, remaining, Some(continuation));
        let sent = tokio::time::timeout(remaining, sent).await.unwrap_or(Err(Failure::Lost));
        let sent = sent.and_then(|exchange| match exchange.is_success() {
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
