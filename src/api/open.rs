//! Opens generations: finds an engine that accepts a request and waits for the first token.

use std::sync::Arc;
use std::time::{Duration, Instant};

use uuid::Uuid;

use super::params::Params;
use super::problem::{Kind, Problem};
use super::relay::{Progress, Relay, Sink};
use super::sink::Prepare;
use super::{Caller, Components, Context};
use crate::permits::{Grant, Issuer, Permit, Request};
use crate::quarantine::Verdict;
use crate::{document, engine, name, resume};

#[cfg(test)]
mod tests;

/// Largest number of attempts for one request.
const MAX_ATTEMPTS: usize = 4;

/// Largest number of engines that may end under one request.
const MAX_ENDED_ENGINES: usize = 2;

/// `Retry-After` when all attempts failed.
const RETRY_AFTER: Duration = Duration::from_secs(1);

type PermitOf<P> = <<P as Components>::Issuer as Issuer>::Permit;

/// A generation that has produced its first tokens.
pub(super) struct Opened<P> {
    pub(super) relay: Relay,
    pub(super) permit: P,
}

/// Opens a generation for one request.
pub(super) struct Opener<'a, P: Components> {
    context: &'a Context<P>,
    caller: &'a Caller,
    params: &'a Params,
    requested_at: Instant,
    pub(super) failures: Failures,
}

impl<'a, P: Components> Opener<'a, P> {
    /// Creates an opener and counts the request in the retry budget.
    pub(super) fn new(context: &'a Context<P>, caller: &'a Caller, params: &'a Params) -> Self {
        context.retries.count_request();
        Self {
            context,
            caller,
            params,
            requested_at: Instant::now(),
            failures: Failures::default(),
        }
    }

    /// Starts a generation and waits for its first token. If an engine fails before that, tries another one.
    pub(super) async fn open<S: Sink + Prepare>(
        &mut self,
        sink: &mut S,
    ) -> Result<(Opened<PermitOf<P>>, Progress), Problem> {
        let active = &self.caller.active;
        let model =
            active.model(&self.params.model).ok_or_else(|| Problem::new(Kind::UnknownModel))?;
        if self.failures.count == 0 {
            self.check_parts()?;
        }
        while self.failures.count < MAX_ATTEMPTS {
            if self.failures.count > 0 && !self.may_retry() {
                self.context.instruments.count_action("retry_refused");
                break;
            }
            let request = permit_request(self.caller, self.params, model);
            let grant = self.admit(&request, active.engines_of(&model.name)).await?;
            if let Some(opened) = self.try_engine(request.attempt, grant, sink).await? {
                return Ok(opened);
            }
            self.context.instruments.count_action("retried");
        }
        Err(self.failures.problem(RETRY_AFTER))
    }

    /// Refuses a prompt that crashes engines.
    fn check_parts(&self) -> Result<(), Problem> {
        match self.context.quarantine.admit(&self.params.parts) {
            Verdict::Allowed | Verdict::Trial => Ok(()),
            Verdict::Refused { wait_ms } => {
                let retry_after = Duration::from_millis(wait_ms).max(RETRY_AFTER);
                Err(Problem::new(Kind::Quarantined).with_retry_after(retry_after))
            }
        }
    }

    fn may_retry(&self) -> bool {
        self.failures.ended < MAX_ENDED_ENGINES
            && self.context.quarantine.may_repeat(&self.params.parts)
            && self.context.retries.try_retry()
    }

    /// Finds out whether an engine that broke off the request has ended.
    pub(super) async fn check_engine(&mut self, engine: &document::Engine) {
        let quarantine = &self.context.quarantine;
        let name = engine.name.as_str();
        let ended = quarantine.check(&self.params.parts, name, engine.address).await;
        self.failures.ended += usize::from(ended);
    }

    /// Gets a permit for an engine that has not failed, or else for a failed one that may be tried again.
    async fn admit(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
    ) -> Result<Grant<PermitOf<P>>, Problem> {
        let issuer = &self.context.issuer;
        let mut result = issuer.admit(request, engines, &self.failures.engines).await;
        let excluded = self.failures.final_refusals();
        if result.is_err() && excluded.len() < self.failures.engines.len() {
            result = issuer.admit(request, engines, &excluded).await;
        }
        result.map_err(|refusal| {
            self.context.instruments.count_action("refused");
            self.failures.problem(refusal.retry_after)
        })
    }

    /// Tries one engine. `None` means that it failed and another engine may be tried.
    async fn try_engine<S: Sink + Prepare>(
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
        let mut relay = self.prepare_relay(attempt, engine, stream, sink)?;
        let mut cancel_guard = CancelGuard::new(self.context.engines.clone(), &relay);
        match relay.read_tokens(sink).await {
            Ok(progress) => {
                permit.started(relay.generation());
                cancel_guard.disarm();
                Ok(Some((Opened { relay, permit }, progress)))
            }
            Err(_) => {
                self.check_engine(relay.engine()).await;
                self.failures.add_lost(relay.engine().name.clone());
                permit.failed();
                Ok(None)
            }
        }
    }

    /// Starts the generation at the engine. `None` means that the engine failed.
    async fn start(
        &mut self,
        attempt: Uuid,
        engine: &document::Engine,
        engine_priority: u8,
    ) -> Result<Option<engine::Stream>, Problem> {
        let body = self.params.to_engine_request(attempt, engine_priority);
        match self.context.engines.start(engine.address, attempt, body).await {
            Ok(stream) => Ok(Some(stream)),
            // The outcome `not_run` is certain only if no other engine may have run the request.
            Err(engine::Error::Rejected(status)) if self.failures.lost.is_empty() => {
                let problem = Problem { retry_after: None, ..Problem::new(Kind::Rejected) };
                Err(problem.with_detail(status))
            }
            Err(error) => {
                if matches!(error, engine::Error::Lost | engine::Error::Silent) {
                    self.check_engine(engine).await;
                }
                self.failures.add(engine.name.clone(), &error);
                Ok(None)
            }
        }
    }

    /// Prepares the sink and the relay of a generation that was started.
    fn prepare_relay<S: Prepare>(
        &self,
        attempt: Uuid,
        engine: Arc<document::Engine>,
        stream: engine::Stream,
        sink: &mut S,
    ) -> Result<Relay, Problem> {
        let (context, caller) = (self.context, self.caller);
        let identity = resume::Identity {
            engine: engine.name.clone(),
            generation: stream.generation,
            attempt,
            organisation: caller.organisation.name.clone(),
            workload: caller.workload.clone(),
        };
        sink.prepare(&context.resume_key, &identity)?;
        let histograms = context.instruments.stream(&caller.organisation.name, &caller.workload);
        let (engines, instruments) = (context.engines.clone(), context.instruments.clone());
        let relay = Relay::new(engines, instruments, engine, stream, attempt, 0);
        Ok(relay.with_histograms(histograms, self.requested_at))
    }
}

fn permit_request(caller: &Caller, params: &Params, model: &document::Model) -> Request {
    Request {
        attempt: Uuid::new_v4(),
        model: model.name.clone(),
        organisation: caller.organisation.name.clone(),
        share: caller.organisation.share,
        workload: caller.workload.clone(),
        priority: caller.priority,
        prompt_tokens: params.prompt_tokens,
        max_tokens: params.max_tokens,
        prefix: params.prefix,
    }
}

/// Cancels a generation when dropped, unless disarmed. Used until the first token arrives.
struct CancelGuard {
    client: engine::Client,
    engine: std::net::SocketAddr,
    generation: Option<Uuid>,
}

impl CancelGuard {
    fn new(client: engine::Client, relay: &Relay) -> Self {
        Self { client, engine: relay.engine().address, generation: Some(relay.generation()) }
    }

    fn disarm(&mut self) {
        self.generation = None;
    }
}

impl Drop for CancelGuard {
    fn drop(&mut self) {
        let Some(generation) = self.generation else { return };
        let (client, engine) = (self.client.clone(), self.engine);
        tokio::spawn(async move { client.cancel(engine, generation).await });
    }
}

/// Failed attempts of one request.
#[derive(Default)]
pub(super) struct Failures {
    count: usize,
    /// Engines that failed.
    engines: Vec<name::Engine>,
    /// Engines among them that may have run the request.
    lost: Vec<name::Engine>,
    /// Engines among them to which one connection failed. The next one may succeed: they may be tried once more.
    unreachable: Vec<name::Engine>,
    /// Number of engines that ended while they ran the request.
    ended: usize,
}

impl Failures {
    fn add(&mut self, engine: name::Engine, error: &engine::Error) {
        self.count += 1;
        if !error.is_not_run() {
            self.lost.push(engine.clone());
        }
        let is_first = !self.engines.contains(&engine);
        self.unreachable.retain(|other| *other != engine);
        if is_first && matches!(error, engine::Error::Unreachable) {
            self.unreachable.push(engine.clone());
        }
        if is_first {
            self.engines.push(engine);
        }
    }

    /// Engines that are not tried again: they refused the request, or two connections failed.
    fn final_refusals(&self) -> Vec<name::Engine> {
        let may_try =
            |engine: &name::Engine| self.lost.contains(engine) || self.unreachable.contains(engine);
        self.engines.iter().filter(|engine| !may_try(engine)).cloned().collect()
    }

    /// Adds an engine that may have run the request.
    pub(super) fn add_lost(&mut self, engine: name::Engine) {
        self.add(engine, &engine::Error::Lost);
    }

    fn problem(&self, retry_after: Duration) -> Problem {
        let kind = if self.lost.is_empty() { Kind::Busy } else { Kind::Interrupted };
        Problem::new(kind).with_retry_after(retry_after)
    }
}
