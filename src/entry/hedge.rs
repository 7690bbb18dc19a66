//! A second attempt beside a slow one. The server of the first may still respond, so it is given up only once another
//! server runs the request.

use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use std::time::Duration;

use slog::info;

use super::attempt::{Attempted, Received, receive_in_time};
use super::context::{Context, Reservation};
use super::job::Job;
use super::place;
use crate::clock::boot_ms;
use crate::directory::Server;
use crate::dispatch::{Attempts, Failure};
use crate::name;

/// Time for which two servers may work on a request whose response is received as a whole. One that refuses it does so
/// within this time.
const OVERLAP: Duration = Duration::from_millis(300);

/// An attempt whose response is still to come.
pub(super) struct Attempt<F> {
    pub(super) server: Arc<Server>,
    /// Dropping it closes the connection, which cancels the request at the server.
    pub(super) received: Pin<Box<F>>,
}

impl<F: Future<Output = Result<Received, Failure>>> Attempt<F> {
    async fn finish(self) -> Attempted {
        Attempted { server: self.server, result: self.received.await }
    }
}

/// Which of two attempts has ended.
enum Ended {
    First(Result<Received, Failure>),
    Second(Result<Received, Failure>),
    /// Neither, and one of them has to be given up.
    Neither,
}

/// Sends the request to another server as well, if it may run there, and returns the attempt that decides about the request.
/// The other one is added to `attempts`, if its server may have run the request, and to `excluded`.
pub(super) async fn run<F>(
    context: &Arc<Context>,
    job: &Job,
    mut first: Attempt<F>,
    attempts: &mut Attempts,
    excluded: &mut Vec<name::Server>,
) -> Attempted
where
    F: Future<Output = Result<Received, Failure>>,
{
    let skipped = [&excluded[..], &[first.server.entry.id.clone()]].concat();
    let place = tokio::select! {
        result = &mut first.received => return Attempted { server: first.server, result },
        place = find_place(context, job, attempts, &skipped) => place,
    };
    let Some(place) = place else { return first.finish().await };
    let server = Arc::clone(&place.server);
    let mut second = Attempt { server, received: Box::pin(receive_in_time(context, job, place)) };
    // The response of a stream shows that its server runs it.
    let overlap = if job.route.kind.is_stream() { job.remaining() } else { OVERLAP };
    let ended = tokio::select! {
        result = &mut first.received => Ended::First(result),
        result = &mut second.received => Ended::Second(result),
        () = tokio::time::sleep(overlap) => Ended::Neither,
    };
    log_end(context, job, &first.server, &second.server, &ended);
    let record = |attempts: &mut Attempts, server: &Server, failure| {
        attempts.record_failure(failure, || true);
        context.tracker().record_failure(&server.entry.id, boot_ms());
        server.entry.id.clone()
    };
    match ended {
        Ended::First(result) if is_usable(&result) => {
            // The other server has not failed, but may have begun to run the request.
            attempts.record_failure(Failure::Lost, || true);
            Attempted { server: first.server, result }
        }
        Ended::First(result) => {
            excluded.push(record(attempts, &first.server, failure(&result)));
            second.finish().await
        }
        Ended::Second(result) if is_usable(&result) => {
            excluded.push(record(attempts, &first.server, Failure::Lost));
            Attempted { server: second.server, result }
        }
        Ended::Second(result) => {
            excluded.push(record(attempts, &second.server, failure(&result)));
            first.finish().await
        }
        Ended::Neither => {
            excluded.push(record(attempts, &first.server, Failure::Lost));
            drop(first);
            second.finish().await
        }
    }
}

/// A place at a server outside `skipped`, if the request may run there beside its first server.
async fn find_place(
    context: &Arc<Context>,
    job: &Job,
    attempts: &Attempts,
    skipped: &[name::Server],
) -> Option<Reservation> {
    if !attempts.may_repeat_after(Failure::Lost) {
        return None;
    }
    let place = place::find(context, job, skipped).await.ok()?;
    job.try_retry(context).then_some(place)
}

fn is_usable(result: &Result<Received, Failure>) -> bool {
    result.as_ref().is_ok_and(Received::is_usable)
}

/// The failure of an attempt that has no usable response.
fn failure(result: &Result<Received, Failure>) -> Failure {
    result.as_ref().err().copied().unwrap_or(Failure::Failed)
}

fn log_end(context: &Context, job: &Job, first: &Server, second: &Server, ended: &Ended) {
    let (decides, result) = match ended {
        Ended::First(result) => ("first", Some(result)),
        Ended::Second(result) => ("second", Some(result)),
        Ended::Neither => ("neither", None),
    };
    let failure = result.filter(|result| !is_usable(result)).map(failure);
    context.instruments.count_action("slow_attempt");
    info!(context.logger, "second attempt beside a slow one"; "request" => &*job.request.head.id_text,
        "first" => first.entry.id.as_str(), "second" => second.entry.id.as_str(),
        "ended" => decides, "failure" => failure.map(|failure| format!("{failure:?}")));
}
