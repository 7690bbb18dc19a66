//! Opens a generation: finds an engine for a request and waits for its first token.

use std::sync::Arc;
use std::time::{Duration, Instant};

use uuid::Uuid;

use super::ask::Ask;
use super::problem::{Kind, Problem};
use super::relay::{Progress, Relay, Sink};
use super::sink::Prepare;
use super::{Caller, Context, Parts};
use crate::permits::{Grant, Issuer, Permit, Request};
use crate::{document, engine, name, resume};

#[cfg(test)]
mod tests;

/// Engines tried for one request.
const MAX_ATTEMPTS: usize = 4;

/// When to come back after engines failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

type PermitOf<P> = <<P as Parts>::Issuer as Issuer>::Permit;

/// A generation whose first tokens have come.
pub(super) struct Opened<P> {
    pub(super) relay: Relay,
    pub(super) permit: P,
}

/// Searches an engine for one request.
pub(super) struct Opening<'a, P: Parts> {
    context: &'a Context<P>,
    caller: &'a Caller,
    ask: &'a Ask,
    asked: Instant,
    pub(super) failures: Failures,
}

impl<'a, P: Parts> Opening<'a, P> {
    /// Begins the search.
    pub(super) fn new(context: &'a Context<P>, caller: &'a Caller, ask: &'a Ask) -> Self {
        context.retries.count_request();
        Self { context, caller, ask, asked: Instant::now(), failures: Failures::default() }
    }

    /// Starts a generation and waits for its first token, on another engine if one fails before that.
    pub(super) async fn open<S: Sink + Prepare>(
        &mut self,
        sink: &mut S,
    ) -> Result<(Opened<PermitOf<P>>, Progress), Problem> {
        let active = &self.caller.active;
        let model =
            active.model(&self.ask.model).ok_or_else(|| Problem::new(Kind::UnknownModel))?;
        while self.failures.count < MAX_ATTEMPTS {
            if self.failures.count > 0 && !self.context.retries.try_retry() {
                self.context.instruments.act("retry_refused");
                break;
            }
            let request = request(self.caller, self.ask, model);
            let grant = self.admit(&request, active.engines_of(&model.name)).await?;
            if let Some(opened) = self.attempt(request.attempt, grant, sink).await? {
                return Ok(opened);
            }
            self.context.instruments.act("retried");
        }
        Err(self.failures.problem(RETRY_AFTER))
    }

    /// Gets a permit for an engine that did not fail yet, or else for one that only lost an answer.
    async fn admit(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
    ) -> Result<Grant<PermitOf<P>>, Problem> {
        let issuer = &self.context.issuer;
        let mut admitted = issuer.admit(request, engines, &self.failures.engines).await;
        if admitted.is_err() && !self.failures.lost.is_empty() {
            let refused: Vec<_> = self.failures.refused().cloned().collect();
            admitted = issuer.admit(request, engines, &refused).await;
        }
        admitted.map_err(|refusal| {
            self.context.instruments.act("refused");
            self.failures.problem(refusal.retry_after)
        })
    }

    /// Tries one engine. `None` means that another engine may be tried.
    async fn attempt<S: Sink + Prepare>(
        &mut self,
        attempt: Uuid,
        grant: Grant<PermitOf<P>>,
        sink: &mut S,
    ) -> Result<Option<(Opened<PermitOf<P>>, Progress)>, Problem> {
        let Grant { engine, engine_priority, mut permit } = grant;
        let Some(stream) = self.start(attempt, &engine, engine_priority).await? else {
            permit.failed();
            return Ok(None);
        };
        let mut relay = self.read(attempt, engine, stream, sink)?;
        let mut orphan = Orphan::new(self.context.engines.clone(), &relay);
        match relay.fill(sink).await {
            Ok(progress) => {
                permit.started(relay.generation());
                orphan.keep();
                Ok(Some((Opened { relay, permit }, progress)))
            }
            Err(_) => {
                self.failures.ran(relay.engine().name.clone());
                permit.failed();
                Ok(None)
            }
        }
    }

    /// Asks the engine for the generation. `None` means that it failed.
    async fn start(
        &mut self,
        attempt: Uuid,
        engine: &document::Engine,
        engine_priority: u8,
    ) -> Result<Option<engine::Stream>, Problem> {
        let body = self.ask.to_engine(attempt, engine_priority);
        match self.context.engines.start(engine.address, attempt, body).await {
            Ok(stream) => Ok(Some(stream)),
            // Only if no other engine may have run the request is it certain that it did not run.
            Err(engine::Error::Rejected(status)) if self.failures.lost.is_empty() => {
                let problem = Problem { retry_after: None, ..Problem::new(Kind::Rejected) };
                Err(problem.with_detail(status))
            }
            Err(error) => {
                self.failures.add(engine.name.clone(), &error);
                Ok(None)
            }
        }
    }

    /// Gets ready to read a generation that was started.
    fn read<S: Prepare>(
        &self,
        attempt: Uuid,
        engine: Arc<document::Engine>,
        stream: engine::Stream,
        sink: &mut S,
    ) -> Result<Relay, Problem> {
        let (context, caller) = (self.context, self.caller);
        let identity = resume::Stream {
            engine: engine.name.clone(),
            generation: stream.generation,
            request: attempt,
            organisation: caller.organisation.name.clone(),
            workload: caller.workload.clone(),
        };
        sink.prepare(&context.key, &identity)?;
        let times = context.instruments.stream(&caller.organisation.name, &caller.workload);
        let (engines, instruments) = (context.engines.clone(), context.instruments.clone());
        let relay = Relay::new(engines, instruments, engine, stream, attempt, 0);
        Ok(relay.with_times(times, self.asked))
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
pub(super) struct Failures {
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

    /// The engine may have run the request.
    pub(super) fn ran(&mut self, engine: name::Engine) {
        self.add(engine, &engine::Error::Lost);
    }

    fn problem(&self, retry_after: Duration) -> Problem {
        let kind = if self.lost.is_empty() { Kind::Busy } else { Kind::Interrupted };
        Problem::new(kind).with_retry_after(retry_after)
    }
}
