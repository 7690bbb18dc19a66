//! Forwards requests to other entry hosts while this host reaches no server of their service.

use std::net::SocketAddr;
use std::sync::Arc;

use http::{Request, Response};
use http_body_util::{BodyExt as _, Full};
use slog::info;
use tokio::time::Instant;

use super::MAX_ASKED_HOSTS;
use super::attempt;
use super::body::{Body, Stream, Truncated};
use super::context::Context;
use super::handler::finish;
use super::homes;
use super::job::Job;
use super::queue::{Closed, Sender};
use crate::clock::boot_ms;
use crate::connect;
use crate::platform::headers;

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
    let mut hosts = context.keepers(request, usize::MAX);
    hosts.retain(|address| homes::allow_host(context, &job.request, *address));
    hosts.truncate(MAX_ASKED_HOSTS);
    for address in hosts {
        if !context.links().may_ask(address, boot_ms())
            || job.remaining().is_zero()
            || !homes::allow_host(context, &job.request, address)
        {
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
    let (sender, receiver) = job.queue(context);
    tokio::spawn(relay(Arc::clone(context), job, body, sender));
    attempt::respond(head, Body::Stream(Stream(receiver)))
}

/// Forwards the body. If it breaks off, so does the response, which shows the caller that it is incomplete. The other host
/// deals with an engine that is silent.
async fn relay(context: Arc<Context>, job: Job, mut body: connect::Body, sender: Sender) {
    let deadline = Instant::now() + job.remaining();
    let outcome = loop {
        let frame = tokio::select! {
            frame = body.frame() => frame.map(|frame| frame.map_err(|_| Truncated)),
            closed = sender.closed() => break end_at_caller(&sender, closed),
            () = tokio::time::sleep_until(deadline) => Some(Err(Truncated)),
        };
        match frame {
            None => {
                sender.finish(Ok(()));
                break "forwarded";
            }
            Some(Ok(frame)) => {
                let Ok(data) = frame.into_data() else { continue };
                if let Err(closed) = sender.send(&data).await {
                    break end_at_caller(&sender, closed);
                }
            }
            Some(Err(truncated)) => {
                sender.finish(Err(truncated));
                break "broken";
            }
        }
    };
    finish(&context, &job, outcome, None, 1);
}

/// The outcome if the caller does not read; one that has read nothing for too long is cut off.
fn end_at_caller(sender: &Sender, closed: Closed) -> &'static str {
    match closed {
        Closed::Left => "caller_left",
        Closed::Stalled => {
            sender.cut();
            "caller_stalled"
        }
    }
}
