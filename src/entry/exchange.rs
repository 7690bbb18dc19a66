//! One attempt of a request at one server.

use std::sync::Arc;
use std::time::Duration;

use http::response;
use http_body_util::{BodyExt as _, Full, Limited};

use super::context::{Context, Place};
use super::request::{Continuation, Reply, Whole};
use crate::clock::boot_ms;
use crate::connect;
use crate::directory::{Phase, Server};
use crate::dispatch::Failure;
use crate::freshness::Use;
use crate::platform::headers;

/// Largest whole answer, in bytes.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// The head of a server's answer, with the body to come. Dropping it closes the connection, which ends the work.
pub(crate) struct Exchange {
    pub(crate) place: Place,
    pub(crate) head: response::Parts,
    pub(crate) reply: Reply,
    pub(crate) body: connect::Body,
}

/// Sends `request` to `server`, which has `left` to answer.
pub(crate) async fn send(
    context: &Arc<Context>,
    request: &Whole,
    server: &Arc<Server>,
    left: Duration,
    tokens: u64,
    continuation: Option<&Continuation>,
) -> Result<Exchange, Failure> {
    let moved = continuation.is_some_and(|continuation| continuation.memory.is_some());
    let unread = request.head.prompt.filter(|_| !moved).map_or(0, |prompt| prompt.input);
    let place = context.occupy(server, tokens, unread);
    let started_ms = boot_ms();
    let connection = connect::open(server.entry.address).await.map_err(|_| Failure::NotSent)?;
    if !may_send(context, request, server, continuation) {
        return Err(Failure::NotSent);
    }
    let connecting = Duration::from_millis(boot_ms().saturating_sub(started_ms));
    let left = left.saturating_sub(connecting);
    let mut wire = http::Request::new(Full::new(request.body.clone()));
    *wire.method_mut() = request.method.clone();
    *wire.uri_mut() = request.target.clone();
    *wire.headers_mut() = headers::outgoing(request, &server.entry.id, left, continuation);
    let answer = connection.send(wire).await.map_err(|_| Failure::Lost)?;
    let (head, body) = answer.into_parts();
    let reply = headers::reply(&head, &request.head.id);
    if !reply.matches {
        return Err(Failure::Lost);
    }
    if reply.not_run {
        return Err(Failure::NotRun);
    }
    Ok(Exchange { place, head, reply, body })
}

/// Whether the request may still go to `server`, now that the connection stands.
fn may_send(
    context: &Context,
    request: &Whole,
    server: &Server,
    continuation: Option<&Continuation>,
) -> bool {
    // A generation that goes on is no new work, and the engine that stopped it may be the only one to hold it.
    match continuation {
        Some(Continuation { memory: Some(_), .. }) => return true,
        Some(Continuation { memory: None, .. }) => return server.phase() == Phase::Ready,
        None => {}
    }
    let Some(current) = context.beliefs.current(Use::Dispatch, boot_ms()) else { return false };
    let key_holds =
        request.head.key.as_ref().is_none_or(|key| current.table.organisation(key).is_some());
    let anonymous = request.organisation.is_none();
    (anonymous || key_holds) && server.phase() == Phase::Ready
}

impl Exchange {
    /// Whether the server answered with a success that it proves to have made.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status.is_success() && self.reply.stamped && self.reply.plain
    }

    /// Reads the whole body.
    pub(crate) async fn whole(self) -> Result<Answer, Failure> {
        let body = Limited::new(self.body, MAX_ANSWER_BYTES).collect().await;
        let body = body.map_err(|_| Failure::Lost)?.to_bytes();
        let success = self.head.status.is_success();
        if !self.reply.plain || (success && !self.reply.stamped) {
            return Err(Failure::Lost);
        }
        Ok(Answer { head: self.head, body })
    }
}

/// A whole answer of a server.
pub(crate) struct Answer {
    pub(crate) head: response::Parts,
    pub(crate) body: bytes::Bytes,
}
