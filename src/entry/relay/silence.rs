//! Streams whose engine sends no events for now: it may go on, or another engine continues the stream before that.

use std::future::Future;
use std::pin::pin;

use bytes::Bytes;
use http_body_util::BodyExt as _;
use slog::info;
use tokio::time::Instant;

use super::{End, Relay};
use crate::clock::boot_ms;
use crate::entry::exchange::Exchange;

/// How the silence of an engine ended.
pub(super) enum Outcome {
    /// The engine goes on, or it is still silent and no other one continues the stream.
    GoesOn,
    /// Another engine continues the stream.
    Resumed(Box<Exchange>),
    /// The stream has ended, or its engine's response has.
    Ended(End),
}

impl Outcome {
    fn as_str(&self) -> &'static str {
        match self {
            Self::GoesOn => "goes_on",
            Self::Resumed(_) => "resumed",
            Self::Ended(_) => "ended",
        }
    }
}

impl Relay {
    /// Asks another engine to continue the stream while events are still awaited from the current one. The first of both
    /// that has one is used: the response of the current engine is dropped only once another engine responds.
    pub(super) async fn outlast_silence(&mut self) -> Outcome {
        let mut resumption = self.resumption();
        let outcome = self.race(resumption.next()).await;
        if matches!(outcome, Outcome::Resumed(_)) {
            self.attempts = resumption.into_attempts();
        } else {
            // The current engine has not failed, but others may have run the request.
            resumption.record_others(&mut self.attempts);
        }
        self.watch.restart(boot_ms());
        self.context.instruments.count_action("engine_silent");
        info!(self.context.logger, "engine silent"; "request" => &*self.job.request.head.id_text,
            "server" => self.exchange.reservation.server.entry.id.as_str(),
            "outcome" => outcome.as_str(),
            "silent_ms" => boot_ms().saturating_sub(self.last_event_ms));
        outcome
    }

    /// Waits for the next event of the current engine or the response of another one.
    async fn race(&mut self, next: impl Future<Output = Option<Exchange>>) -> Outcome {
        let deadline = Instant::now() + self.job.remaining();
        let events = self.splitter.complete_events();
        let mut next = pin!(next);
        let mut is_broken = false;
        loop {
            let frame = tokio::select! {
                frame = self.exchange.body.frame(), if !is_broken => frame,
                resumed = &mut next => match resumed {
                    Some(exchange) => {
                        if is_broken {
                            self.check_engine().await;
                        }
                        return Outcome::Resumed(Box::new(exchange));
                    }
                    None if is_broken => return Outcome::Ended(End::Broken),
                    None => return Outcome::GoesOn,
                },
                closed = self.sender.closed() => return Outcome::Ended(closed.into()),
                () = tokio::time::sleep_until(deadline) => return Outcome::Ended(End::Timeout),
            };
            match self.forward_frame(frame).await {
                // The engine that was asked may still continue the stream.
                Some(End::Broken) => is_broken = true,
                Some(end) => return Outcome::Ended(end),
                None if self.splitter.complete_events() > events => return Outcome::GoesOn,
                None => {}
            }
        }
    }

    /// Forwards the events of a frame of the current engine. Returns why forwarding ended, if it did.
    async fn forward_frame(
        &mut self,
        frame: Option<hyper::Result<hyper::body::Frame<Bytes>>>,
    ) -> Option<End> {
        match frame {
            Some(Ok(frame)) => self.forward(frame.data_ref()?).await,
            Some(Err(_)) => Some(End::Broken),
            None => Some(self.complete().await),
        }
    }
}
