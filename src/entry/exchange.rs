//! One attempt to send a request to one server.

use std::sync::Arc;
use std::time::Duration;

use bytes::BytesMut;
use http::response;
use http_body_util::{BodyExt as _, Full, Limited};
use slog::info;

use super::cold_start;
use super::context::{Context, Reservation};
use super::crash;
use super::evacuations;
use super::freshness_query;
use super::full_server;
use super::homes;
use super::links;
use super::request::{Checks, Continuation, Outgoing};
use super::server_limit;
use super::server_speeds;
use super::suspects;
use crate::clock::boot_ms;
use crate::connect;
use crate::directory::{Phase, Server};
use crate::dispatch::Failure;
use crate::freshness::Purpose;
use crate::platform::{engine, headers};

/// Time allowed for the status report of a server that is about to continue a stream.
const REPORT_TIMEOUT: Duration = Duration::from_millis(150);

/// Size limit of a buffered response.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// A server's response whose body is still to be read. Dropping it closes the connection, which cancels the
/// request at the server.
pub(crate) struct Exchange {
    pub(crate) reservation: Reservation,
    pub(crate) head: response::Parts,
    pub(crate) checks: Checks,
    pub(crate) body: connect::Body,
    /// When this host received the first event of the response.
    pub(crate) first_event_ms: Option<u64>,
    /// The prefill of the prompt, until it is measured.
    pub(crate) prefill: Option<Prefill>,
}

/// The prefill of a prompt at an engine.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Prefill {
    /// Tokens that awaited prefill at the engine, those of the prompt included.
    pub(crate) tokens: u64,
    /// When the prompt was sent, in milliseconds.
    pub(crate) sent_ms: u64,
}

/// Sends `request` to the server of `reservation`, which has `remaining` to respond.
pub(crate) async fn send(
    context: &Arc<Context>,
    request: &Outgoing,
    reservation: Reservation,
    remaining: Duration,
    continuation: Option<&Continuation>,
) -> Result<Exchange, Failure> {
    let server = &Arc::clone(&reservation.server);
    if !evacuations::may_send(context, server, continuation, boot_ms()) {
        return Err(Failure::NotSent);
    }
    let started_ms = boot_ms();
    let connection = match connect::open(server.entry.address).await {
        Ok(connection) => connection,
        Err(error) => {
            links::record(context, server, false);
            info!(context.logger, "cannot connect to server"; "request" => &*request.head.id_text,
                "server" => server.entry.id.as_str(), "error" => error.kind().to_string(),
                "ms" => boot_ms().saturating_sub(started_ms));
            return Err(Failure::NotSent);
        }
    };
    links::record(context, server, true);
    if continues_elsewhere(request, continuation) && !is_same_process(server).await {
        info!(context.logger, "server started again; its entry is out of date";
            "request" => &*request.head.id_text, "server" => server.entry.id.as_str());
        return Err(Failure::NotSent);
    }
    if !may_send(context, request, server, continuation) {
        return Err(Failure::NotSent);
    }
    let sent_ms = boot_ms();
    let pending_tokens = context.tracker().total(&server.entry.id, sent_ms).prefill_tokens;
    let connect_time = Duration::from_millis(sent_ms.saturating_sub(started_ms));
    let remaining = remaining.saturating_sub(connect_time);
    // The process may have been suspended while it connected.
    if remaining.is_zero() {
        return Err(Failure::NotSent);
    }
    let mut http_request = http::Request::new(Full::new(request.body.clone()));
    *http_request.method_mut() = request.method.clone();
    *http_request.uri_mut() = request.target.clone();
    *http_request.headers_mut() =
        headers::outgoing(request, &server.entry.id, remaining, continuation);
    let Ok(response) = connection.send(http_request).await else {
        let is_leaving = server.phase() == Phase::Leaving;
        let has_ended = crash::check(context, request, server, None).await;
        if !is_leaving && !has_ended {
            suspects::record_break(context, server);
        }
        return Err(Failure::Lost);
    };
    suspects::record_response(context, server, sent_ms);
    let (head, body) = response.into_parts();
    let checks = headers::reply(&head, &request.head.id);
    if !checks.id_matches {
        return Err(Failure::Lost);
    }
    if !checks.misdirected {
        record_announcements(context, server, checks, sent_ms);
    }
    if checks.not_run {
        return Err(Failure::NotRun);
    }
    let prefill = Some(Prefill { tokens: pending_tokens, sent_ms });
    let prefill = prefill.filter(|_| continuation.is_none() && reservation.prefill_tokens() > 0);
    Ok(Exchange { reservation, head, checks, body, first_event_ms: None, prefill })
}

/// Whether the server continues a stream that another one began, without a copy of its KV cache.
fn continues_elsewhere(request: &Outgoing, continuation: Option<&Continuation>) -> bool {
    match continuation {
        Some(continuation) => continuation.kv_cache.is_none(),
        None => request.head.resumption.is_some(),
    }
}

/// Whether the process that listens at the address of `server` is the one that wrote its entry. One that started again
/// under the same name may have another build. A server that does not say when it started is taken for the same.
pub(crate) async fn is_same_process(server: &Server) -> bool {
    let report = engine::report(server.entry.address, REPORT_TIMEOUT).await;
    let started_ms = report.ok().and_then(|report| report.started_ms);
    let stated = started_ms.zip(Some(server.entry.started_ms).filter(|started_ms| *started_ms > 0));
    stated.is_none_or(|(reported, listed)| reported == listed)
}

/// Records what the server says of itself in the head of a response.
fn record_announcements(context: &Context, server: &Server, checks: Checks, sent_ms: u64) {
    if checks.leaving {
        freshness_query::report_leaving(context, server, "response");
    }
    server_limit::observe(context, server, checks.limit, sent_ms);
    server_speeds::observe(context, server, checks.stated);
    if let Some(left_ms) = checks.cold_ms {
        cold_start::observe(context, server, left_ms, sent_ms);
    }
    full_server::observe(context, server, checks.rejections_per_s, checks.not_run);
    if let Some(wait) = checks.wait {
        server.set_wait(boot_ms() + wait.as_millis() as u64);
        context.instruments.count_action("server_wait");
        info!(context.logger, "server wants no requests for some time";
            "server" => server.entry.id.as_str(), "ms" => wait.as_millis() as u64);
    }
}

/// Whether the request may still be sent to `server`: the server or the key may have been removed while connecting.
fn may_send(
    context: &Context,
    request: &Outgoing,
    server: &Server,
    continuation: Option<&Continuation>,
) -> bool {
    let now_ms = boot_ms();
    if !evacuations::may_send(context, server, continuation, now_ms)
        || !homes::allow(context, request, server)
    {
        return false;
    }
    server_limit::update_share(context, server, now_ms);
    // A stopped generation was admitted before, and a leaving engine may hold the only copy of its KV cache.
    if continuation.is_some_and(|continuation| continuation.kv_cache.is_some()) {
        server.pace().count(now_ms);
        return true;
    }
    // This request is one of those that count as running there.
    let running = context.tracker().own_requests(&server.entry.id).saturating_sub(1);
    let available = server.phase() == Phase::Ready
        && server.wait_until_ms(now_ms).is_none()
        && server.room().has_room(running, now_ms);
    if !available || (continuation.is_none() && !is_authorised(context, request)) {
        return false;
    }
    server.pace().take(now_ms)
}

/// Whether the key of `request`, if it has one, is still valid.
fn is_authorised(context: &Context, request: &Outgoing) -> bool {
    let Some(current) = context.cache.current(Purpose::Dispatch, boot_ms()) else { return false };
    let key_valid =
        request.head.key.as_ref().is_none_or(|key| current.table.organisation(key).is_some());
    request.organisation.is_none() || key_valid
}

impl Exchange {
    /// Whether the response is a success, carries the server's stamp and is not encoded.
    pub(crate) fn is_success(&self) -> bool {
        self.head.status.is_success() && self.checks.stamped && self.checks.unencoded
    }

    /// Reads the complete body, up to [`MAX_RESPONSE_BYTES`] and what is left of the memory for responses.
    /// `request` is what the server was sent.
    pub(crate) async fn buffer(self, request: &Outgoing) -> Result<Buffered, Failure> {
        let context = Arc::clone(self.reservation.context());
        let mut body = Limited::new(self.body, MAX_RESPONSE_BYTES);
        let mut bytes = BytesMut::new();
        let mut hold = context.memory.hold(None);
        while let Some(frame) = body.frame().await {
            let Ok(frame) = frame else {
                crash::check(&context, request, &self.reservation.server, None).await;
                return Err(Failure::Lost);
            };
            let Ok(data) = frame.into_data() else { continue };
            hold.grow_response(data.len()).map_err(|_| Failure::Lost)?;
            bytes.extend_from_slice(&data);
        }
        let body = hold.around(bytes.freeze());
        let success = self.head.status.is_success();
        if !self.checks.unencoded || (success && !self.checks.stamped) {
            return Err(Failure::Lost);
        }
        Ok(Buffered { head: self.head, body })
    }
}

/// A server's response with its complete body.
pub(crate) struct Buffered {
    pub(crate) head: response::Parts,
    pub(crate) body: bytes::Bytes,
}
