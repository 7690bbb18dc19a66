//! The attempts of one request, until a server's answer can be passed on or none can come any more.

use std::pin::pin;
use std::sync::Arc;
use std::time::Duration;

use http::{Response, StatusCode, response};
use slog::info;
use tokio::time::Instant;

use super::answer::{Reason, refuse};
use super::body::Body;
use super::context::Context;
use super::exchange::{self, Answer, Exchange};
use super::handler::finish;
use super::job::Job;
use super::relay;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::dispatch::{Attempts, Failure, Step};
use crate::freshness::Purpose;
use crate::load::Choice;
use crate::name;
use crate::platform::headers;
use crate::route::{Kind, Table};

/// When callers come back to a service whose servers took nothing: a server that is replaced takes about that long.
const FULL_RETRY: Duration = Duration::from_millis(600);

/// Part of its objective for which a request waits for an engine with room.
const ROOM_WAIT_PART: u32 = 8;

/// Time between two looks for room: a few decoding steps.
const ROOM_INTERVAL: Duration = Duration::from_millis(25);

/// An answer to a repeatable request that takes this many times its objective is sought elsewhere.
const SLOW_OBJECTIVES: u32 = 2;

/// What a server gave.
enum Got {
    Whole(Answer),
    Events(Box<Exchange>),
}

/// Serves a request.
pub(crate) async fn run(context: &Arc<Context>, job: Job) -> Response<Body> {
    let mut attempts = Attempts::new(job.route.kind, job.route.max_attempts);
    let mut excluded = Vec::new();
    loop {
        let server = match next_server(context, &job, &excluded).await {
            Ok(server) => server,
            Err(reason) => {
                let may_have_run = attempts.may_have_run() && reason != Reason::Timeout;
                let reason = if may_have_run { Reason::Lost } else { reason };
                return give_up(context, &job, reason, excluded.len());
            }
        };
        let (failure, answer, step) = match attempt(context, &job, &server, &mut attempts).await {
            Ok(Got::Events(exchange)) => return relay::start(context, job, *exchange),
            Ok(Got::Whole(answer)) if !is_failure(&answer) => {
                return pass_on(context, &job, answer, &server, excluded.len() + 1);
            }
            Ok(Got::Whole(answer)) => {
                let step = attempts.record_failure(Failure::Failed, || context.spend(&job.service));
                (Failure::Failed, Some(answer), step)
            }
            Err((failure, step)) => (failure, None, step),
        };
        context.ledger().record_failure(&server.entry.id, boot_ms());
        info!(context.logger, "attempt failed"; "request" => &*job.request.head.id_text,
            "server" => server.entry.id.as_str(), "failure" => format!("{failure:?}"),
            "next" => format!("{step:?}"));
        excluded.push(server.entry.id.clone());
        match (step, answer) {
            (Step::Retry, _) => {}
            (Step::Relay, Some(answer)) => {
                return pass_on(context, &job, answer, &server, excluded.len());
            }
            (Step::NotRun, _) => return give_up(context, &job, Reason::Full, excluded.len()),
            (Step::Unknown | Step::Relay, _) => {
                let reason = if job.left().is_zero() { Reason::Timeout } else { Reason::Lost };
                return give_up(context, &job, reason, excluded.len());
            }
        }
    }
}

/// The server for the next attempt, or why there is none.
async fn next_server(
    context: &Arc<Context>,
    job: &Job,
    excluded: &[name::Server],
) -> Result<Arc<Server>, Reason> {
    let left = job.left();
    if left.is_zero() {
        return Err(Reason::Timeout);
    }
    let current =
        context.beliefs.current(Purpose::Dispatch, boot_ms()).ok_or(Reason::NoDocument)?;
    let choice = choose(context, job, &current.table, excluded).await?;
    info!(context.logger, "request sent"; "request" => &*job.request.head.id_text,
        "server" => choice.server.entry.id.as_str(),
        "occupancy" => format!("{:.2}", choice.occupancy),
        "reading_ms" => choice.prefill_ms,
        "excluded" => excluded.len(), "left_ms" => left.as_millis() as u64,
        "document_age_ms" => current.age_ms);
    Ok(choice.server)
}

/// Chooses a server. Waits for a moment for an engine with room; a request that finds none is refused
/// while its caller has all its time left to try again.
async fn choose(
    context: &Arc<Context>,
    job: &Job,
    table: &Table,
    excluded: &[name::Server],
) -> Result<Choice, Reason> {
    let started = Instant::now();
    let until = started + job.route.objective / ROOM_WAIT_PART;
    loop {
        let choice = context.choose(table, &job.service, excluded, job.need());
        let choice = choice.ok_or(Reason::NoServer)?;
        if choice.fits {
            return Ok(choice);
        }
        if Instant::now() + ROOM_INTERVAL > until {
            info!(context.logger, "no room"; "request" => &*job.request.head.id_text,
                "occupancy" => format!("{:.2}", choice.occupancy),
                "reading_ms" => choice.prefill_ms, "excluded" => excluded.len(),
                "waited_ms" => started.elapsed().as_millis() as u64);
            return Err(Reason::Full);
        }
        tokio::time::sleep(ROOM_INTERVAL).await;
    }
}

/// One attempt. A slow answer to a repeatable request is given up if another attempt may be made.
async fn attempt(
    context: &Arc<Context>,
    job: &Job,
    server: &Arc<Server>,
    attempts: &mut Attempts,
) -> Result<Got, (Failure, Step)> {
    let left = job.left();
    let mut exchanged = pin!(async {
        let exchange =
            exchange::send(context, &job.request, server, left, job.need().tokens, None).await?;
        if job.route.kind.is_stream() && exchange.is_success() {
            return Ok(Got::Events(Box::new(exchange)));
        }
        exchange.whole().await.map(Got::Whole)
    });
    let conclude = |attempts: &mut Attempts, failure| {
        let step = attempts.record_failure(failure, || context.spend(&job.service));
        Err((failure, step))
    };
    let patience = match job.route.kind {
        Kind::Idempotent => job.route.objective * SLOW_OBJECTIVES,
        Kind::Stream { resumable: true } => job.route.objective,
        Kind::NonIdempotent | Kind::Stream { resumable: false } => left,
    };
    if patience < left {
        match tokio::time::timeout(patience, &mut exchanged).await {
            Ok(Ok(got)) => return Ok(got),
            Ok(Err(failure)) => return conclude(attempts, failure),
            Err(_) => {
                let mut after = attempts.clone();
                let step = after.record_failure(Failure::Lost, || context.spend(&job.service));
                if step == Step::Retry {
                    *attempts = after;
                    return Err((Failure::Lost, step));
                }
            }
        }
    }
    match tokio::time::timeout(job.left(), exchanged).await {
        Ok(Ok(got)) => Ok(got),
        Ok(Err(failure)) => conclude(attempts, failure),
        Err(_) => conclude(attempts, Failure::Lost),
    }
}

/// A server error, or a refusal that states no "not run" and so promises nothing.
fn is_failure(answer: &Answer) -> bool {
    answer.head.status.is_server_error() || is_refusal(answer.head.status)
}

/// Statuses by which a caller takes the request as not run.
fn is_refusal(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Passes a server's answer on.
fn pass_on(
    context: &Context,
    job: &Job,
    answer: Answer,
    server: &Arc<Server>,
    tries: usize,
) -> Response<Body> {
    // The server did not state that it did not run the request, and another may have run it before.
    if is_refusal(answer.head.status) {
        return give_up(context, job, Reason::Lost, tries);
    }
    let outcome = if answer.head.status.is_success() { "ok" } else { "server_failure" };
    let tries = u32::try_from(tries).unwrap_or(u32::MAX);
    finish(context, job, outcome, Some(&server.entry.id), tries);
    respond(answer.head, Body::from(answer.body))
}

/// An answer with a server's head.
pub(crate) fn respond(head: response::Parts, body: Body) -> Response<Body> {
    let mut response = Response::from_parts(head, body);
    *response.version_mut() = http::Version::HTTP_11;
    response.extensions_mut().clear();
    headers::remove_connection_headers(response.headers_mut());
    response
}

/// Ends a request without a server's answer.
fn give_up(context: &Context, job: &Job, reason: Reason, tries: usize) -> Response<Body> {
    let not_run = matches!(reason, Reason::Full | Reason::NoServer | Reason::NoDocument);
    let tries = u32::try_from(tries).unwrap_or(u32::MAX);
    finish(context, job, reason.as_str(), None::<&name::Server>, tries);
    refuse(reason, Some(&job.request.head), not_run.then_some(FULL_RETRY))
}
