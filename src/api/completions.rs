//! `POST /v1/completions`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use serde::Serialize;
use tokio::sync::mpsc;
use uuid::Uuid;

use super::ask::Ask;
use super::problem::{Kind, Outcome, Problem};
use super::relay::{Interruption, Progress, Relay, Sink};
use super::{Body, Caller, Context, Parts};
use crate::gate::{Gate, Grant, Permit, Request};
use crate::lifecycle::Work;
use crate::limit;
use crate::{document, engine, name, resume};

/// Engines tried for one request.
const MAX_ATTEMPTS: usize = 4;

/// Pieces that wait for a caller that reads slowly.
const QUEUED_PIECES: usize = 16;

/// An open request, counted for the node and for its organisation.
pub(super) type Open = (Work, limit::Guard);

type PermitOf<P> = <<P as Parts>::Gate as Gate>::Permit;

/// A generation whose first tokens have come.
struct Opened<P> {
    relay: Relay,
    permit: P,
}

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
    let mut failures = Failures::default();
    let (opened, progress) = open(context, &caller, &ask, &mut sink, &mut failures).await?;
    Ok(respond(context, caller, opened, progress, sink, work))
}

/// Answers with the whole text. No token is seen before the end, so that a failed generation can be made anew.
async fn collect<P: Parts>(
    context: &Arc<Context<P>>,
    caller: Caller,
    ask: Ask,
) -> Result<Response<Body>, Problem> {
    let mut failures = Failures::default();
    loop {
        let mut sink = Text::default();
        let (mut opened, mut progress) =
            open(context, &caller, &ask, &mut sink, &mut failures).await?;
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
        failures.ran(opened.relay.engine().name.clone());
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
    let sink = Events::new(context, &position.stream)?;
    let opened = Opened { relay, permit: None::<PermitOf<P>> };
    Ok(respond_with(context, caller, opened, Progress::Open, sink, work))
}

/// Starts a generation and waits for its first token, on another engine if one fails before that.
async fn open<P: Parts, S: Sink + Prepare>(
    context: &Arc<Context<P>>,
    caller: &Caller,
    ask: &Ask,
    sink: &mut S,
    failures: &mut Failures,
) -> Result<(Opened<PermitOf<P>>, Progress), Problem> {
    let model = caller.active.model(&ask.model).ok_or_else(|| Problem::new(Kind::UnknownModel))?;
    let engines = caller.active.engines_of(&model.name);
    let asked = Instant::now();
    while failures.count < MAX_ATTEMPTS {
        let request = request(caller, ask, model);
        let mut admitted = context.gate.admit(&request, engines, &failures.engines).await;
        if admitted.is_err() && !failures.lost.is_empty() {
            // No other engine can take the request, so those that only lost an answer are tried again.
            let refused: Vec<_> = failures.refused().cloned().collect();
            admitted = context.gate.admit(&request, engines, &refused).await;
        }
        let grant = admitted.map_err(|refusal| {
            context.instruments.act("refused");
            failures.problem(refusal.retry_after)
        })?;
        if let Some(opened) =
            attempt(context, caller, ask, request.attempt, grant, sink, failures, asked).await?
        {
            return Ok(opened);
        }
        context.instruments.act("retried");
    }
    Err(failures.problem(Duration::from_secs(1)))
}

/// Tries one engine. `None` means that another engine may be tried.
#[allow(clippy::too_many_arguments, reason = "one attempt needs all of the request")]
async fn attempt<P: Parts, S: Sink + Prepare>(
    context: &Arc<Context<P>>,
    caller: &Caller,
    ask: &Ask,
    attempt: Uuid,
    grant: Grant<PermitOf<P>>,
    sink: &mut S,
    failures: &mut Failures,
    asked: Instant,
) -> Result<Option<(Opened<PermitOf<P>>, Progress)>, Problem> {
    let Grant { engine, engine_priority, mut permit } = grant;
    let body = ask.to_engine(attempt, engine_priority);
    let stream = match context.engines.start(engine.address, attempt, body).await {
        Ok(stream) => stream,
        Err(engine::Error::Rejected(status)) => {
            permit.failed();
            let problem = Problem { retry_after: None, ..Problem::new(Kind::Rejected) };
            return Err(problem.with_detail(status));
        }
        Err(error) => {
            failures.add(engine.name.clone(), &error);
            permit.failed();
            return Ok(None);
        }
    };
    let identity = resume::Stream {
        engine: engine.name.clone(),
        generation: stream.generation,
        request: attempt,
        organisation: caller.organisation.name.clone(),
        workload: caller.workload.clone(),
    };
    sink.prepare(&context.key, &identity)?;
    let times = context.instruments.stream(&caller.organisation.name, &caller.workload);
    let mut relay = Relay::new(
        context.engines.clone(),
        context.instruments.clone(),
        engine,
        stream,
        attempt,
        0,
    )
    .with_times(times, asked);
    let mut orphan = Orphan::new(context.engines.clone(), &relay);
    match relay.fill(sink).await {
        Ok(progress) => {
            permit.started(relay.generation());
            orphan.keep();
            Ok(Some((Opened { relay, permit }, progress)))
        }
        Err(_) => {
            failures.ran(relay.engine().name.clone());
            permit.failed();
            Ok(None)
        }
    }
}

fn request(caller: &Caller, ask: &Ask, model: &document::Model) -> Request {
    Request {
        attempt: Uuid::new_v4(),
        model: model.name.clone(),
        organisation: caller.organisation.name.clone(),
        share: caller.organisation.share,
        workload: caller.workload.clone(),
        priority: caller.priority,
        prompt_tokens: ask.prompt_tokens,
        max_tokens: ask.max_tokens,
        prefix: ask.prefix,
    }
}

/// Cancels a generation of which no token was delivered, unless it is kept.
struct Orphan {
    client: engine::Client,
    engine: std::net::SocketAddr,
    generation: Option<Uuid>,
}

impl Orphan {
    fn new(client: engine::Client, relay: &Relay) -> Self {
        Self { client, engine: relay.engine().address, generation: Some(relay.generation()) }
    }

    fn keep(&mut self) {
        self.generation = None;
    }
}

impl Drop for Orphan {
    fn drop(&mut self) {
        let Some(generation) = self.generation else { return };
        let (client, engine) = (self.client.clone(), self.engine);
        tokio::spawn(async move { client.cancel(engine, generation).await });
    }
}

/// What failed so far for one request.
#[derive(Default)]
struct Failures {
    count: usize,
    /// All engines that failed.
    engines: Vec<name::Engine>,
    /// Those of them that may have run the request.
    lost: Vec<name::Engine>,
}

impl Failures {
    fn add(&mut self, engine: name::Engine, error: &engine::Error) {
        self.count += 1;
        if !error.is_not_run() {
            self.lost.push(engine.clone());
        }
        self.engines.push(engine);
    }

    /// The engines that refused the request.
    fn refused(&self) -> impl Iterator<Item = &name::Engine> {
        self.engines.iter().filter(|engine| !self.lost.contains(engine))
    }

    fn ran(&mut self, engine: name::Engine) {
        self.add(engine, &engine::Error::Lost);
    }

    fn problem(&self, retry_after: Duration) -> Problem {
        let kind = if self.lost.is_empty() { Kind::Busy } else { Kind::Interrupted };
        Problem::new(kind).with_retry_after(retry_after)
    }
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
            sink.out.extend_from_slice(b"data: [DONE]\n\n");
        }
        if !sink.out.is_empty() && !send(&sender, sink.take(), slow).await {
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

/// Gets a sink ready for a new generation.
trait Prepare {
    fn prepare(&mut self, key: &resume::Key, stream: &resume::Stream) -> Result<(), Problem>;
}

/// Writes tokens as events with signed resume tokens.
#[derive(Default)]
struct Events {
    signer: Option<resume::Signer>,
    out: Vec<u8>,
}

impl Events {
    fn new<P: Parts>(context: &Context<P>, stream: &resume::Stream) -> Result<Self, Problem> {
        let mut events = Self::default();
        events.prepare(&context.key, stream)?;
        Ok(events)
    }

    fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.out).into()
    }

    fn interrupted(&mut self, interruption: Interruption) {
        let problem = Problem::new(Kind::Interrupted)
            .with_retry_after(Duration::from_secs(1))
            .with_detail(interruption);
        self.out.extend_from_slice(b"event: error\ndata: ");
        self.out.extend_from_slice(&problem.to_json());
        self.out.extend_from_slice(b"\n\n");
    }
}

impl Prepare for Events {
    fn prepare(&mut self, key: &resume::Key, stream: &resume::Stream) -> Result<(), Problem> {
        self.out.clear();
        // Only a name beyond the wire's limit fails to encode, and names are bounded.
        self.signer = Some(key.signer(stream).map_err(|_| Problem::new(Kind::Interrupted))?);
        Ok(())
    }
}

impl Sink for Events {
    fn token(&mut self, next: u64, data: &Bytes, _: &engine::Chunk<'_>) {
        let Some(signer) = &self.signer else { return };
        self.out.extend_from_slice(b"id: ");
        signer.write(next, &mut self.out);
        self.out.extend_from_slice(b"\ndata: ");
        self.out.extend_from_slice(data);
        self.out.extend_from_slice(b"\n\n");
    }
}

/// Puts tokens together.
#[derive(Default)]
struct Text {
    text: String,
    tokens: u64,
    finish_reason: Option<String>,
}

impl Prepare for Text {
    fn prepare(&mut self, _: &resume::Key, _: &resume::Stream) -> Result<(), Problem> {
        *self = Self::default();
        Ok(())
    }
}

impl Sink for Text {
    fn token(&mut self, next: u64, _: &Bytes, chunk: &engine::Chunk<'_>) {
        let choice = &chunk.choices[0];
        // The text was parsed as JSON once, so it can only be a JSON string or a malformed token.
        let text: String = serde_json::from_str(choice.text.get()).unwrap_or_default();
        self.text.push_str(&text);
        self.tokens = next;
        self.finish_reason = choice.finish_reason.map(str::to_owned);
    }
}

#[derive(Serialize)]
struct Answer<'a> {
    id: String,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

fn whole(generation: Uuid, model: &str, sink: &Text) -> Response<Body> {
    let choice =
        Choice { index: 0, text: &sink.text, finish_reason: sink.finish_reason.as_deref() };
    let answer = Answer {
        id: generation.to_string(),
        object: "text_completion",
        model,
        choices: [choice],
        usage: Usage { completion_tokens: sink.tokens },
    };
    // A struct of strings and numbers always has a JSON form.
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
