//! `POST /v1/completions`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use tokio::sync::mpsc;

use super::ask::Ask;
use super::open::{Opened, Opening};
use super::problem::{Kind, Outcome, Problem};
use super::relay::{Progress, Relay};
use super::sink::{Events, Text, whole};
use super::{Body, Caller, Context, Parts};
use crate::lifecycle::Work;
use crate::permits::{Issuer, Permit};
use crate::{engine, limit};

/// Pieces that wait for a caller that reads slowly.
const QUEUED_PIECES: usize = 16;

/// An open request, counted for the node and for its organisation.
pub(super) type Open = (Work, limit::Guard);

type PermitOf<P> = <<P as Parts>::Issuer as Issuer>::Permit;

/// Serves a new generation.
pub(super) async fn complete<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    ask: Ask,
    work: Open,
) -> Result<Response<Body>, Problem> {
    if ask.stream {
        stream(context, caller, ask, work).await
    } else {
        collect(context, caller, ask).await
    }
}

async fn stream<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    ask: Ask,
    work: Open,
) -> Result<Response<Body>, Problem> {
    let mut sink = Events::default();
    let (opened, progress) = Opening::new(context, &caller, &ask).open(&mut sink).await?;
    Ok(respond(context, caller, opened, progress, sink, work))
}

/// Answers with the whole text. No token is seen before the end, so that a failed generation can be made anew.
async fn collect<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    ask: Ask,
) -> Result<Response<Body>, Problem> {
    let mut opening = Opening::new(context, &caller, &ask);
    loop {
        let mut sink = Text::default();
        let (mut opened, mut progress) = opening.open(&mut sink).await?;
        loop {
            if progress == Progress::Whole {
                let generation = opened.relay.generation();
                opened.permit.finished(opened.relay.next());
                context.finish(&caller, "complete");
                return Ok(whole(generation, &ask.model, &sink));
            }
            match opened.relay.fill(&mut sink).await {
                Ok(next) => progress = next,
                Err(_) => break,
            }
        }
        opening.failures.ran(opened.relay.engine().name.clone());
        opened.permit.failed();
        context.instruments.act("retried");
    }
}

/// Resumes a generation behind a token that the caller has.
pub(super) async fn go_on<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    token: &str,
    work: Open,
) -> Result<Response<Body>, Problem> {
    let position = context.key.open(token, &caller.organisation.name);
    let position = position.map_err(|error| {
        Problem { retry_after: None, ..Problem::new(Kind::BadToken) }.with_detail(error)
    })?;
    let engine = caller.active.engine(position.stream.engine.as_str());
    let engine = engine.cloned().ok_or_else(|| Problem::new(Kind::Gone))?;
    let stream = context.engines.resume(engine.address, position.stream.generation, position.next);
    let stream = stream.await.map_err(|error| match error {
        engine::Error::Unknown => Problem::new(Kind::Gone),
        other => Problem::new(Kind::Interrupted)
            .with_retry_after(Duration::from_secs(1))
            .with_detail(other),
    })?;
    context.instruments.act("resumed");
    let caller = Caller { workload: position.stream.workload.clone(), ..caller };
    let relay = Relay::new(
        context.engines.clone(),
        context.instruments.clone(),
        engine,
        stream,
        position.stream.request,
        position.next,
    );
    let times = context.instruments.stream(&caller.organisation.name, &caller.workload);
    let relay = relay.with_times(times, Instant::now());
    let sink = Events::new(&context.key, &position.stream)?;
    let opened = Opened { relay, permit: None::<PermitOf<P>> };
    Ok(respond_with(context, caller, opened, Progress::Open, sink, work))
}

fn respond<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    opened: Opened<PermitOf<P>>,
    progress: Progress,
    sink: Events,
    work: Open,
) -> Response<Body> {
    let opened = Opened { relay: opened.relay, permit: Some(opened.permit) };
    respond_with(context, caller, opened, progress, sink, work)
}

fn respond_with<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    opened: Opened<Option<PermitOf<P>>>,
    progress: Progress,
    sink: Events,
    work: Open,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(QUEUED_PIECES);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let outcome = run(&context, &caller, opened, progress, sink, sender).await;
        context.finish(&caller, outcome);
        drop(work);
    });
    let mut response = Response::new(Body::Pieces(receiver));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Passes tokens on until the generation is whole, is interrupted or has no reader. Returns the outcome's name.
async fn run<P: Parts>(
    context: &Context<P>,
    caller: &Caller,
    opened: Opened<Option<PermitOf<P>>>,
    mut progress: Progress,
    mut sink: Events,
    sender: mpsc::Sender<Bytes>,
) -> &'static str {
    let Opened { mut relay, permit } = opened;
    let slow = Duration::from_millis(caller.active.document().limits.slow_caller_ms);
    loop {
        if progress == Progress::Whole {
            sink.end();
        }
        if !sink.is_empty() && !send(&sender, sink.take(), slow).await {
            return "abandoned";
        }
        if progress == Progress::Whole {
            if let Some(permit) = permit {
                permit.finished(relay.next());
            }
            return "complete";
        }
        let filled = tokio::select! {
            filled = relay.fill(&mut sink) => filled,
            () = sender.closed() => return "abandoned",
        };
        match filled {
            Ok(next) => progress = next,
            Err(interruption) => {
                context.instruments.act("interrupted");
                if let Some(permit) = permit {
                    permit.failed();
                }
                sink.interrupted(interruption);
                send(&sender, sink.take(), slow).await;
                return Outcome::Interrupted.as_str();
            }
        }
    }
}

/// Returns whether the caller took the piece in time.
async fn send(sender: &mpsc::Sender<Bytes>, piece: Bytes, slow: Duration) -> bool {
    match sender.try_send(piece) {
        Ok(()) => true,
        Err(mpsc::error::TrySendError::Closed(_)) => false,
        Err(mpsc::error::TrySendError::Full(piece)) => {
            sender.send_timeout(piece, slow).await.is_ok()
        }
    }
}
