//! Handlers of `POST /v1/completions`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use tokio::sync::mpsc;

use super::open::{Opened, Opener};
use super::params::Params;
use super::problem::{Kind, Outcome, Problem};
use super::relay::{Progress, Relay};
use super::sink::{Events, Text, text_response};
use super::{Body, Caller, Components, Context};
use crate::lifecycle::Work;
use crate::permits::{Issuer, Permit};
use crate::quarantine::PROOF_MS;
use crate::{engine, limit, name};

/// Largest number of chunks that are queued for a slow caller.
const MAX_QUEUED_CHUNKS: usize = 16;

/// Time for which an engine has to write before this shows that the prompt does not crash it.
const PROOF_TIME: Duration = Duration::from_millis(PROOF_MS);

/// Guards that count an open request for the node and for its organisation.
pub(super) type OpenRequest = (Work, limit::Guard);

type PermitOf<P> = <<P as Components>::Issuer as Issuer>::Permit;

/// Serves a new generation.
pub(super) async fn complete<P: Components>(
    context: &Arc<Context<P>>,
    caller: Caller,
    params: Params,
    open_request: OpenRequest,
) -> Result<Response<Body>, Problem> {
    if params.stream {
        stream(context, caller, params, open_request).await
    } else {
        collect(context, caller, params).await
    }
}

async fn stream<P: Components>(
    context: &Arc<Context<P>>,
    caller: Caller,
    params: Params,
    open_request: OpenRequest,
) -> Result<Response<Body>, Problem> {
    let mut sink = Events::default();
    let (opened, progress) = Opener::new(context, &caller, &params).open(&mut sink).await?;
    let parts = params.parts;
    Ok(new_stream_response(context, caller, opened, progress, sink, parts, open_request))
}

/// Responds with the complete text. The caller sees no token before the end, so a failed generation can be restarted.
async fn collect<P: Components>(
    context: &Arc<Context<P>>,
    caller: Caller,
    params: Params,
) -> Result<Response<Body>, Problem> {
    let mut opener = Opener::new(context, &caller, &params);
    loop {
        let mut sink = Text::default();
        let (mut opened, mut progress) = opener.open(&mut sink).await?;
        let began = Instant::now();
        loop {
            if progress == Progress::Complete {
                let generation = opened.relay.generation();
                opened.permit.finished(opened.relay.next());
                context.count_finished(&caller, "complete");
                context.quarantine.prove(&params.parts);
                return Ok(text_response(generation, &params.model, &sink));
            }
            match opened.relay.read_tokens(&mut sink).await {
                Ok(next) => progress = next,
                Err(_) => break,
            }
        }
        if began.elapsed() < PROOF_TIME {
            opener.check_engine(opened.relay.engine()).await;
        }
        opener.failures.add_lost(opened.relay.engine().name.clone());
        opened.permit.failed();
        context.instruments.count_action("retried");
    }
}

/// Resumes the stream of a generation at the position in a resume token.
pub(super) async fn resume<P: Components>(
    context: &Arc<Context<P>>,
    caller: Caller,
    token: &str,
    open_request: OpenRequest,
) -> Result<Response<Body>, Problem> {
    let position = context.resume_key.verify(token, &caller.organisation.name);
    let position = position.map_err(|error| {
        Problem { retry_after: None, ..Problem::new(Kind::InvalidResumeToken) }.with_detail(error)
    })?;
    let engine = caller.active.engine(position.identity.engine.as_str());
    let engine = engine.cloned().ok_or_else(|| Problem::new(Kind::Gone))?;
    let stream =
        context.engines.resume(engine.address, position.identity.generation, position.next);
    let stream = stream.await.map_err(|error| match error {
        engine::Error::UnknownGeneration => Problem::new(Kind::Gone),
        other => Problem::new(Kind::Interrupted)
            .with_retry_after(Duration::from_secs(1))
            .with_detail(other),
    })?;
    context.instruments.count_action("resumed");
    let caller = Caller { workload: position.identity.workload.clone(), ..caller };
    let relay = Relay::new(
        context.engines.clone(),
        context.instruments.clone(),
        engine,
        stream,
        position.identity.attempt,
        position.next,
    );
    let histograms = context.instruments.stream(&caller.organisation.name, &caller.workload);
    let relay = relay.with_histograms(histograms, Instant::now());
    let sink = Events::new(&context.resume_key, &position.identity)?;
    let opened = Opened { relay, permit: None::<PermitOf<P>> };
    // The token does not name the parts of the prompt.
    let parts = Vec::new();
    Ok(stream_response(context, caller, opened, Progress::Incomplete, sink, parts, open_request))
}

fn new_stream_response<P: Components>(
    context: &Arc<Context<P>>,
    caller: Caller,
    opened: Opened<PermitOf<P>>,
    progress: Progress,
    sink: Events,
    parts: Vec<name::Part>,
    open_request: OpenRequest,
) -> Response<Body> {
    let opened = Opened { relay: opened.relay, permit: Some(opened.permit) };
    stream_response(context, caller, opened, progress, sink, parts, open_request)
}

fn stream_response<P: Components>(
    context: &Arc<Context<P>>,
    caller: Caller,
    opened: Opened<Option<PermitOf<P>>>,
    progress: Progress,
    sink: Events,
    parts: Vec<name::Part>,
    open_request: OpenRequest,
) -> Response<Body> {
    let (sender, receiver) = mpsc::channel(MAX_QUEUED_CHUNKS);
    let context = Arc::clone(context);
    tokio::spawn(async move {
        let outcome = forward(&context, &caller, &parts, opened, progress, sink, sender).await;
        context.count_finished(&caller, outcome);
        drop(open_request);
    });
    let mut response = Response::new(Body::Stream(receiver));
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(header::CACHE_CONTROL, HeaderValue::from_static("no-store"));
    response
}

/// Forwards tokens until the generation completes, is interrupted or is abandoned by the caller. Returns the outcome
/// as a metric label.
async fn forward<P: Components>(
    context: &Context<P>,
    caller: &Caller,
    parts: &[name::Part],
    opened: Opened<Option<PermitOf<P>>>,
    mut progress: Progress,
    mut sink: Events,
    sender: mpsc::Sender<Bytes>,
) -> &'static str {
    let Opened { mut relay, permit } = opened;
    let began = Instant::now();
    let mut proven = false;
    let timeout = Duration::from_millis(caller.active.document().limits.slow_caller_ms);
    loop {
        if progress == Progress::Complete {
            sink.write_done();
        }
        if !proven && (progress == Progress::Complete || began.elapsed() >= PROOF_TIME) {
            proven = true;
            context.quarantine.prove(parts);
        }
        if !sink.is_empty() && !send(&sender, sink.take_buffered(), timeout).await {
            return "abandoned";
        }
        if progress == Progress::Complete {
            if let Some(permit) = permit {
                permit.finished(relay.next());
            }
            return "complete";
        }
        let result = tokio::select! {
            result = relay.read_tokens(&mut sink) => result,
            () = sender.closed() => return "abandoned",
        };
        match result {
            Ok(next) => progress = next,
            Err(interruption) => {
                context.instruments.count_action("interrupted");
                if !proven {
                    let engine = relay.engine();
                    context.quarantine.check(parts, engine.name.as_str(), engine.address).await;
                }
                if let Some(permit) = permit {
                    permit.failed();
                }
                sink.write_interruption(interruption);
                send(&sender, sink.take_buffered(), timeout).await;
                return Outcome::Interrupted.as_str();
            }
        }
    }
}

/// Sends a chunk to the caller. Returns false if the caller disconnected or did not read it within `timeout`.
async fn send(sender: &mpsc::Sender<Bytes>, chunk: Bytes, timeout: Duration) -> bool {
    match sender.try_send(chunk) {
        Ok(()) => true,
        Err(mpsc::error::TrySendError::Closed(_)) => false,
        Err(mpsc::error::TrySendError::Full(chunk)) => {
            sender.send_timeout(chunk, timeout).await.is_ok()
        }
    }
}
