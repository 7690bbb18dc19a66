//! Permits from the engines' owners.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use uuid::Uuid;

use super::{Gate, Grant, Refusal, Request};
use crate::admission::wire::{Call, Message, Reply};
use crate::admission::{self, LATE_START_MS, LEASE_MS};
use crate::clock::Monotonic;
use crate::metrics::Instruments;
use crate::owner::{self, Owners};
use crate::peer::{Link, Protocol};
use crate::{document, hosts, name, placement, wire};

/// Time allowed for an owner's answer. An owner answers held requests well before.
const ASK_TIMEOUT: Duration = Duration::from_millis(700);

/// Owners asked about one engine before it is passed over.
const OWNERS: usize = 2;

/// Engines of which the owners are asked before a request is refused, if there are as many.
const MAX_ASKED: usize = 4;

/// Time between two renewals of the open permits.
const RENEW_INTERVAL: Duration = Duration::from_millis(LEASE_MS / 3);

/// Priority of work that goes to an engine without a permit if no owner answers.
const URGENT: u8 = 0;

/// When to come back if no engine serves the model, or none can be asked.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// Asks the owners of engines for permits. Cheap to clone.
pub struct Remote<L, O>(Arc<Shared<L, O>>);

impl<L, O> Clone for Remote<L, O> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

struct Shared<L, O> {
    own: name::Host,
    link: L,
    owners: O,
    desks: owner::Service,
    placement: Mutex<placement::State>,
    leaving: watch::Receiver<hosts::Leaving>,
    /// Open permits with the engine and the owner that granted them.
    open: Mutex<HashMap<Uuid, (name::Host, name::Engine)>>,
    instruments: Instruments,
    clock: Monotonic,
}

impl<L: Link, O: Owners> Remote<L, O> {
    /// Asks over `link`, or `desks` where this host, `own`, is the owner. `leaving` holds the engines that the platform
    /// takes away. Entry hosts use different seeds for the choice among engines.
    pub fn new(
        own: name::Host,
        link: L,
        owners: O,
        desks: owner::Service,
        leaving: watch::Receiver<hosts::Leaving>,
        instruments: Instruments,
        seed: u64,
    ) -> Self {
        Self(Arc::new(Shared {
            own,
            link,
            owners,
            desks,
            placement: Mutex::new(placement::State::new(seed)),
            leaving,
            open: Mutex::default(),
            instruments,
            clock: Monotonic::new(),
        }))
    }

    /// Renews open permits, until the task is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(RENEW_INTERVAL);
        loop {
            ticks.tick().await;
            for ((host, engine), attempts) in self.0.by_owner() {
                self.0.tell(host, engine, Call::Renewed(attempts)).await;
            }
        }
    }
}

impl<L: Link, O: Owners> Gate for Remote<L, O> {
    type Permit = Permit<L, O>;

    async fn admit(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
        tried: &[name::Engine],
    ) -> Result<Grant<Permit<L, O>>, Refusal> {
        let mut asked = tried.to_vec();
        let mut search = Search::default();
        let mut may_hold = true;
        while asked.len() < tried.len() + MAX_ASKED {
            let candidates = self.0.candidates(request, engines, &asked);
            if candidates.is_empty() {
                break;
            }
            for candidate in candidates {
                asked.push(candidate.engine.clone());
                let engine = engines.iter().find(|engine| engine.name == candidate.engine);
                let Some(engine) = engine else { continue };
                let hold = candidate.hold && may_hold;
                match self.0.ask(request, &candidate.engine, hold).await {
                    Some((host, Reply::Granted(engine_priority, _))) => {
                        return Ok(self.grant(request, engine, engine_priority, host));
                    }
                    Some((_, Reply::Refused(after_ms, _))) => search.refused(after_ms),
                    Some((_, Reply::Held(_))) | None => search.silent(engine),
                }
            }
            // Only the first round may hold the request, so that its wait is not multiplied.
            may_hold = false;
        }
        match search.silent {
            // No owner can tell whether there is room, so the engine itself decides by priority.
            Some(engine) if request.priority == URGENT => {
                self.0.instruments.act("fallback");
                Ok(self.grant(request, engine, URGENT, self.0.own.clone()))
            }
            _ => Err(Refusal { retry_after: search.retry_after.unwrap_or(RETRY_AFTER) }),
        }
    }
}

/// What was learned while no engine granted a permit.
#[derive(Default)]
struct Search<'a> {
    /// The shortest time to come back.
    retry_after: Option<Duration>,
    /// The first engine whose owners did not answer.
    silent: Option<&'a Arc<document::Engine>>,
}

impl<'a> Search<'a> {
    fn refused(&mut self, after_ms: u32) {
        let after = Duration::from_millis(after_ms.into());
        self.retry_after = Some(self.retry_after.map_or(after, |old| old.min(after)));
    }

    fn silent(&mut self, engine: &'a Arc<document::Engine>) {
        self.silent = self.silent.or(Some(engine));
    }
}

impl<L: Link, O: Owners> Remote<L, O> {
    fn grant(
        &self,
        request: &Request,
        engine: &Arc<document::Engine>,
        engine_priority: u8,
        host: name::Host,
    ) -> Grant<Permit<L, O>> {
        self.0.open().insert(request.attempt, (host.clone(), engine.name.clone()));
        let permit = Permit {
            shared: Arc::clone(&self.0),
            attempt: request.attempt,
            engine: engine.name.clone(),
            host,
            granted_ms: self.0.clock.now_ms(),
            ended: false,
        };
        Grant { engine: Arc::clone(engine), engine_priority, permit }
    }
}

impl<L: Link, O: Owners> Shared<L, O> {
    fn placement(&self) -> MutexGuard<'_, placement::State> {
        self.placement.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn open(&self) -> MutexGuard<'_, HashMap<Uuid, (name::Host, name::Engine)>> {
        self.open.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn by_owner(&self) -> HashMap<(name::Host, name::Engine), Vec<u128>> {
        let mut by_owner: HashMap<_, Vec<u128>> = HashMap::new();
        for (attempt, place) in self.open().iter() {
            by_owner.entry(place.clone()).or_default().push(attempt.as_u128());
        }
        by_owner
    }

    /// The engines to ask, without those in `asked`.
    fn candidates(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
        asked: &[name::Engine],
    ) -> Vec<placement::Candidate> {
        let now_ms = self.clock.now_ms();
        let leaving = self.leaving.borrow().clone();
        let leaves =
            |engine: &name::Engine| asked.contains(engine) || leaving.contains(engine.as_str());
        self.placement().candidates(now_ms, &request.into(), engines, leaves)
    }

    /// Asks the engine's owner, or its deputy if the owner is silent. `None` means that nobody answered.
    async fn ask(
        &self,
        request: &Request,
        engine: &name::Engine,
        hold: bool,
    ) -> Option<(name::Host, Reply)> {
        let ask = admission::Ask { hold, ..request.into() };
        for host in self.owners.owners(engine.as_str(), OWNERS) {
            if let Some(reply) = self.ask_host(&host, engine, &ask).await {
                let now_ms = self.clock.now_ms();
                self.placement().hint(now_ms, engine, reply.hint());
                return Some((host, reply));
            }
            self.instruments.act("owner_silent");
        }
        self.placement().failed(self.clock.now_ms(), engine);
        None
    }

    /// Asks until the request is granted or refused. `None` means that the host did not answer.
    async fn ask_host(
        &self,
        host: &name::Host,
        engine: &name::Engine,
        ask: &admission::Ask,
    ) -> Option<Reply> {
        loop {
            let reply = if *host == self.own {
                self.desks.ask(engine, ask.clone()).await?
            } else {
                let message =
                    Message { engine: engine.clone(), call: Call::Ask(ask.clone().into()) };
                let body = wire::encode(&message).ok()?;
                let call = self.link.call(host, Protocol::Admission, body);
                let answer = tokio::time::timeout(ASK_TIMEOUT, call).await;
                let Ok(Ok(answer)) = answer else {
                    // The owner may have granted the permit all the same.
                    self.spawn_tell(host.clone(), engine.clone(), Call::Cancelled(ask.attempt));
                    return None;
                };
                wire::decode::<Option<Reply>>(&answer).ok()??
            };
            if !matches!(reply, Reply::Held(_)) {
                return Some(reply);
            }
        }
    }

    fn spawn_tell(&self, host: name::Host, engine: name::Engine, call: Call) {
        if host == self.own {
            return self.desks.tell(&engine, call);
        }
        let link = self.link.clone();
        tokio::spawn(async move { tell(&link, &host, engine, call).await });
    }

    async fn tell(&self, host: name::Host, engine: name::Engine, call: Call) {
        if host == self.own {
            return self.desks.tell(&engine, call);
        }
        tell(&self.link, &host, engine, call).await;
    }
}

/// Tells an owner what became of a permit. One that is not told lets the permit lapse.
async fn tell(link: &impl Link, host: &name::Host, engine: name::Engine, call: Call) {
    let body: Result<Bytes, wire::Error> = wire::encode(&Message { engine, call });
    let Ok(body) = body else { return };
    link.notify(host, Protocol::Admission, body).await;
}

/// A permit of an engine's owner.
pub struct Permit<L: Link, O: Owners> {
    shared: Arc<Shared<L, O>>,
    attempt: Uuid,
    engine: name::Engine,
    host: name::Host,
    granted_ms: u64,
    ended: bool,
}

impl<L: Link, O: Owners> Permit<L, O> {
    fn end(&mut self, call: Call) {
        self.ended = true;
        self.shared.open().remove(&self.attempt);
        self.shared.spawn_tell(self.host.clone(), self.engine.clone(), call);
    }
}

impl<L: Link, O: Owners> super::Permit for Permit<L, O> {
    fn started(&mut self, generation: Uuid) {
        if self.shared.clock.now_ms() < self.granted_ms + LATE_START_MS {
            return;
        }
        let call = Call::Started(self.attempt.as_u128(), generation.as_u128());
        self.shared.spawn_tell(self.host.clone(), self.engine.clone(), call);
    }

    fn finished(mut self, produced: u64) {
        let produced = u32::try_from(produced).unwrap_or(u32::MAX);
        self.end(Call::Finished(self.attempt.as_u128(), produced));
    }

    fn failed(mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.placement().failed(now_ms, &self.engine);
        self.end(Call::Cancelled(self.attempt.as_u128()));
    }
}

impl<L: Link, O: Owners> Drop for Permit<L, O> {
    fn drop(&mut self) {
        if !self.ended {
            self.end(Call::Cancelled(self.attempt.as_u128()));
        }
    }
}

impl From<&Request> for placement::Request {
    fn from(request: &Request) -> Self {
        Self {
            model: request.model.clone(),
            organisation: request.organisation.clone(),
            workload: request.workload.clone(),
            priority: request.priority,
            prefix: request.prefix,
            prompt_tokens: request.prompt_tokens,
        }
    }
}

impl From<&Request> for admission::Ask {
    fn from(request: &Request) -> Self {
        Self {
            attempt: request.attempt.as_u128(),
            organisation: request.organisation.clone(),
            share: request.share,
            workload: request.workload.clone(),
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix: request.prefix,
            hold: false,
        }
    }
}
