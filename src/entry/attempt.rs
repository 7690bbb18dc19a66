//! Makes the attempts of one admitted request, until a server's response can be forwarded or no further attempt is
//! allowed.

use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode, response};
use slog::info;

use super::body::Body;
use super::context::{Context, Reservation};
use super::crash;
use super::error_response::{Reason, error_response};
use super::exchange::{self, Buffered, Exchange};
use super::forward;
use super::handler::finish;
use super::hedge;
use super::job::Job;
use super::place;
use super::relay;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::dispatch::{Attempts, Failure, Step};
use crate::name;
use crate::platform::headers;
use crate::route::Kind;

/// An idempotent request is sent to another server as well after this many times its objective without a response.
const SLOW_OBJECTIVE_FACTOR: u32 = 2;

/// A server's response.
pub(super) enum Received {
    Buffered(Buffered),
    Stream(Box<Exchange>),
}

impl Received {
    /// Whether the response can be forwarded. If not, it is an error of the server, or a refusal without the header that
    /// states that the request was not run.
    pub(super) fn is_usable(&self) -> bool {
        match self {
            Self::Buffered(response) => !is_failure(response),
            Self::Stream(_) => true,
        }
    }
}

/// An attempt that has ended.
pub(super) struct Attempted {
    pub(super) server: Arc<Server>,
    pub(super) result: Result<Received, Failure>,
}

/// Serves a request: makes attempts until one succeeds, the retry rules end them or the request times out.
pub(crate) async fn run(context: &Arc<Context>, job: Job) -> Response<Body> {
    let mut attempts = Attempts::new(job.route.kind, job.route.max_runs);
    let mut excluded = Vec::new();
    loop {
        let is_cut = !attempts.may_have_run()
            && context.links().is_cut(&job.service)
            && !context.is_evacuated(&job.service, &job.constraint(context));
        if is_cut && job.from_host {
            return give_up(context, &job, Reason::NoServer, excluded.len());
        }
        if is_cut {
            match forward::ask_hosts(context, &job).await {
                Some(Ok(reply)) => return forward::respond(context, job, reply),
                Some(Err(forward::Lost)) => return give_up(context, &job, Reason::Lost, 1),
                None => {}
            }
        }
        // No other host serves it: only a server that was not tried yet may be reached.
        let failed = is_cut.then(|| context.links().failed_servers(&job.service));
        let skipped = [failed.unwrap_or_default(), excluded.clone()].concat();
        if excluded.is_empty() {
            context.count_request(&job.service);
        }
        let place = match place::find(context, &job, &skipped).await {
            Ok(place) => place,
            Err(reason) => {
                let may_have_run = attempts.may_have_run() && reason != Reason::Timeout;
                let reason = if may_have_run { Reason::Lost } else { reason };
                return give_up(context, &job, reason, excluded.len());
            }
        };
        let attempted = attempt(context, &job, place, &mut attempts, &mut excluded).await;
        let Attempted { server, result } = attempted;
        let (failure, response) = match result {
            Ok(Received::Stream(exchange)) => {
                return relay::start(context, job, *exchange, attempts);
            }
            Ok(Received::Buffered(response)) if !is_failure(&response) => {
                if response.head.status.is_success() {
                    crash::prove(context, &job.request);
                }
                return forward(context, &job, response, &server, excluded.len() + 1);
            }
            Ok(Received::Buffered(response)) => (Failure::Failed, Some(response)),
            Err(failure) => (failure, None),
        };
        let step = attempts.record_failure(failure, || job.try_retry(context));
        // Another request of this host may have used the server's limit in the meantime, which is no failure of the server.
        let is_sent = failure != Failure::NotSent;
        if is_sent || server.busy_until_ms(boot_ms()).is_none() {
            context.tracker().record_failure(&server.entry.id, boot_ms());
        }
        info!(context.logger, "attempt failed"; "request" => &*job.request.head.id_text,
            "server" => server.entry.id.as_str(), "failure" => format!("{failure:?}"),
            "next" => format!("{step:?}"));
        excluded.push(server.entry.id.clone());
        match (step, response) {
            (Step::Retry, _) => {}
            (Step::Relay, Some(response)) => {
                return forward(context, &job, response, &server, excluded.len());
            }
            (Step::NotRun, _) => return give_up(context, &job, Reason::Full, excluded.len()),
            (Step::Unknown | Step::Relay, _) => {
                let reason = if job.remaining().is_zero() { Reason::Timeout } else { Reason::Lost };
                return give_up(context, &job, reason, excluded.len());
            }
        }
    }
}

/// Makes one attempt. If it is slow and the request may be repeated, another server may run the request instead, which is
/// then one of those that `attempts` and `excluded` count.
async fn attempt(
    context: &Arc<Context>,
    job: &Job,
    place: Reservation,
    attempts: &mut Attempts,
    excluded: &mut Vec<name::Server>,
) -> Attempted {
    let server = Arc::clone(&place.server);
    let mut received = Box::pin(receive_in_time(context, job, place));
    let remaining = job.remaining();
    let slow_after = match job.route.kind {
        Kind::Idempotent => job.route.objective * SLOW_OBJECTIVE_FACTOR,
        Kind::Stream { resumable: true } => job.route.objective,
        Kind::NonIdempotent | Kind::Stream { resumable: false } => remaining,
    };
    if slow_after >= remaining {
        return Attempted { server, result: received.await };
    }
    match tokio::time::timeout(slow_after, &mut received).await {
        Ok(result) => Attempted { server, result },
        Err(_) => {
            let first = hedge::Attempt { server, received };
            hedge::run(context, job, first, attempts, excluded).await
        }
    }
}

/// Like [`receive`], until the request times out or has to end as the host shuts down.
pub(super) async fn receive_in_time(
    context: &Arc<Context>,
    job: &Job,
    place: Reservation,
) -> Result<Received, Failure> {
    let remaining = job.remaining();
    let received = async {
        tokio::select! {
            received = receive(context, job, place, remaining) => received,
            () = job.wait_end() => Err(Failure::Lost),
        }
    };
    tokio::time::timeout(remaining, received).await.unwrap_or(Err(Failure::Lost))
}

/// Sends the request to the server of `place` and receives the response, or its head if it is that of a stream.
async fn receive(
    context: &Arc<Context>,
    job: &Job,
    place: Reservation,
    remaining: Duration,
) -> Result<Received, Failure> {
    let exchange = exchange::send(context, &job.request, place, remaining, None).await?;
    if job.route.kind.is_stream() && exchange.is_success() {
        return Ok(Received::Stream(Box::new(exchange)));
    }
    Ok(Received::Buffered(exchange.buffer(&job.request).await?))
}

/// Whether the response is a server error, or a refusal without the header that states that the request was not run.
fn is_failure(response: &Buffered) -> bool {
    response.head.status.is_server_error() || is_refusal(response.head.status)
}

/// Whether a caller concludes from `status` that the request was not run.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Forwards a server's response to the caller.
fn forward(
    context: &Context,
    job: &Job,
    response: Buffered,
    server: &Arc<Server>,
    tries: usize,
) -> Response<Body> {
    // A refusal without the header that states that the request was not run: this server, or an earlier one, may have
    // run the request, but the caller would conclude the opposite from the status.
    if is_refusal(response.head.status) {
        return give_up(context, job, Reason::Lost, tries);
    }
    let outcome = if response.head.status.is_success() { "ok" } else { "server_failure" };
    let tries = u32::try_from(tries).unwrap_or(u32::MAX);
    finish(context, job, outcome, Some(&server.entry.id), tries);
    respond(response.head, Body::from(response.body))
}

/// The response to the caller, with a server's head.
pub(crate) fn respond(head: response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::from_parts(head, body);
    *response.version_mut() = http::Version::HTTP_11;
    response.extensions_mut().clear();
    headers::remove_hop_by_hop(response.headers_mut());
    response
}

/// Ends a request without a server's response.
fn give_up(context: &Context, job: &Job, reason: Reason, tries: usize) -> Response<Body> {
    let not_run =
        matches!(reason, Reason::Full | Reason::NoServer | Reason::Evacuated | Reason::NoDocument);
    let tries = u32::try_from(tries).unwrap_or(u32::MAX);
    finish(context, job, reason.as_str(), None::<&name::Server>, tries);
    error_response(
        reason,
        Some(&job.request.head),
        not_run.then(|| place::retry_after(context, job, reason)),
    )
}
