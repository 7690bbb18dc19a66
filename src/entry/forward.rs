//! Forwards requests to other entry hosts while this host reaches no server of their service.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use slog::info;
use tokio::time::Instant;

use super::MAX_ASKED_HOSTS;
use super::attempt;
use super::body::{Body, Truncated};
use super::context::Context;
use super::ending::{self, Ending};
use super::handler::finish;
use super::job::Job;
use crate::clock::boot_ms;
use crate::connect;
use crate::platform::headers;

/// Frames of a response that may be queued for the caller.
const QUEUED_FRAMES: usize = 16;

/// A response of another host, whose body is still to be read.
pub(crate) type Reply = Response<connect::Body>;

/// Another host may have run the request, but sent no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("another host may have run the request")]
pub(crate) struct Lost;

/// Sends the request to other hosts until one of them serves or refuses it; `None` if none of them reaches a server. No
/// server may have run the request before.
pub(crate) async fn ask_hosts(context: &Context, job: &Job) -> Option<Result<Reply, Lost>> {
    let request = &*job.request.head.id_text;
    for address in context.keepers(request, MAX_ASKED_HOSTS) {
        if !context.links().may_ask(address, boot_ms()) || job.remaining().is_zero() {
            continue;
        }
        let reply = ask(job, address).await;
        let outcome = match &reply {
            Ok(Some(_)) => "served",
            Ok(None) => "declined",
            Err(Lost) => "lost",
        };
        info!(context.logger, "request sent to another host"; "request" => request,
            "host" => address.to_string(), "outcome" => outcome);
        context.instruments.count_action(outcome);
        match reply {
            Ok(Some(reply)) => return Some(Ok(reply)),
            Ok(None) => context.links().record_declined(address, boot_ms()),
            Err(Lost) => return Some(Err(Lost)),
        }
    }
    None
}

/// Sends the request to the host at `address`; `None` if that host did not and will not run it.
async fn ask(job: &Job, address: SocketAddr) -> Result<Option<Reply>, Lost> {
    let Ok(connection) = connect::open(address).await else { return Ok(None) };
    let mut request = Request::new(Full::new(job.request.body.clone()));
    *request.method_mut() = job.request.method.clone();
    *request.uri_mut() = job.request.target.clone();
    *request.headers_mut() = headers::to_host(&job.request, job.remaining());
    let reply = tokio::time::timeout(job.remaining(), connection.send(request)).await;
    let reply = reply.map_err(|_| Lost)?.map_err(|_| Lost)?;
    if !headers::id_matches(reply.headers(), &job.request.head.id) {
        return Err(Lost);
    }
    Ok((!headers::is_declined(reply.headers())).then_some(reply))
}

/// Forwards the response of another host to the caller.
pub(crate) fn respond(context: &Arc<Context>, job: Job, reply: Reply) -> Response<Body> {
    let (head, body) = reply.into_parts();
    let (sender, receiver, ending) = ending::channel(QUEUED_FRAMES);
    tokio::spawn(relay(Arc::clone(context), job, body, sender, ending));
    attempt::respond(head, Body::Events(receiver))
}

/// Forwards the body. If it breaks off, so does the response, which shows the caller that it is incomplete.
async fn relay(
    context: Arc<Context>,
    job: Job,
    mut body: connect::Body,
    sender: ending::Sender,
    ending: Ending,
) {
    let deadline = Instant::now() + job.remaining();
    // The other host forwards complete events only.
    let bound = match job.route.kind.is_stream() {
        true => job.expectation().bound(),
        false => job.remaining(),
    };
    let outcome = loop {
        let frame = tokio::select! {
            frame = body.frame() => frame.map(|frame| frame.map_err(|_| Truncated)),
            () = sender.closed() => break "caller_left",
            () = tokio::time::sleep_until(deadline) => Some(Err(Truncated)),
            () = tokio::time::sleep(bound) => Some(Err(Truncated)),
        };
        match frame {
            None => break "forwarded",
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                if sender.send(Ok(data)).await.is_err() {
                    break "caller_left";
                }
            }
            Some(Err(_)) => break "broken",
        }
    };
    match outcome {
        "broken" => drop(ending),
        _ => ending.complete(),
    }
    finish(&context, &job, outcome, None, 1);
}
