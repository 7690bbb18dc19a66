//! Permits requested from the owners of engines.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use uuid::Uuid;

use super::{Grant, Issuer, Refusal, Request};
use crate::admission::wire::{Call, Message, Reply};
use crate::admission::{self, LATE_START_MS, LEASE_MS};
use crate::clock::Monotonic;
use crate::metrics::Instruments;
use crate::owner::{self, Owners};
use crate::peer::{Link, Protocol};
use crate::{document, hosts, name, placement, wire};

/// Timeout for the reply of an owner. Owners reply to held requests well within it.
const REPLY_TIMEOUT: Duration = Duration::from_millis(700);

/// Number of owners tried for one engine before the engine is skipped.
const MAX_OWNERS: usize = 2;

/// Number of engines tried before a request is refused, if there are as many.
const MAX_ENGINES: usize = 4;

/// Interval between renewals of the open permits.
const RENEW_INTERVAL: Duration = Duration::from_millis(LEASE_MS / 3);

/// Priority of requests that are sent to an engine without a permit if no owner replies.
const URGENT_PRIORITY: u8 = 0;

/// Retry delay if no engine serves the model or no owner replies.
const DEFAULT_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Requests permits from the owners of engines. Cheap to clone.
pub struct Remote<L, O>(Arc<Shared<L, O>>);

impl<L, O> Clone for Remote<L, O> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

struct Shared<L, O> {
    local: name::Host,
    link: L,
    owners: O,
    owner: owner::Service,
    placement: Mutex<placement::State>,
    leaving: watch::Receiver<hosts::Leaving>,
    /// Owner and engine of each open permit, by attempt.
    open_permits: Mutex<HashMap<Uuid, (name::Host, name::Engine)>>,
    instruments: Instruments,
    clock: Monotonic,
}

impl<L: Link, O: Owners> Remote<L, O> {
    /// Requests permits over `link`, or from `owner` for engines that this host, `local`, owns. `leaving` lists the
    /// engines that the platform is about to remove. Each entry host uses a different `seed` for the choice among
    /// engines.
    pub fn new(
        local: name::Host,
        link: L,
        owners: O,
        owner: owner::Service,
        leaving: watch::Receiver<hosts::Leaving>,
        instruments: Instruments,
        seed: u64,
    ) -> Self {
        Self(Arc::new(Shared {
            local,
            link,
            owners,
            owner,
            placement: Mutex::new(placement::State::new(seed)),
            leaving,
            open_permits: Mutex::default(),
            instruments,
            clock: Monotonic::new(),
        }))
    }

    /// Renews open permits until the task is dropped.
    pub async fn run(&self) {
        let mut ticks = tokio::time::interval(RENEW_INTERVAL);
        loop {
            ticks.tick().await;
            for ((host, engine), attempts) in self.0.permits_by_owner() {
                self.0.notify(host, engine, Call::Renewed(attempts)).await;
            }
        }
    }
}

impl<L: Link, O: Owners> Issuer for Remote<L, O> {
    type Permit = Permit<L, O>;

    async fn admit(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
        tried: &[name::Engine],
    ) -> Result<Grant<Permit<L, O>>, Refusal> {
        let mut excluded = tried.to_vec();
        let mut refusals = Refusals::default();
        let mut may_hold = true;
        while excluded.len() < tried.len() + MAX_ENGINES {
            let candidates = self.0.candidates(request, engines, &excluded);
            if candidates.is_empty() {
                break;
            }
            for candidate in candidates {
                excluded.push(candidate.engine.clone());
                let engine = engines.iter().find(|engine| engine.name == candidate.engine);
                let Some(engine) = engine else { continue };
                let hold = candidate.hold && may_hold;
                match self.0.request_permit(request, &candidate.engine, hold).await {
                    Some((owner, Reply::Granted(engine_priority, _))) => {
                        return Ok(self.grant(request, engine, engine_priority, owner));
                    }
                    Some((_, Reply::Refused(retry_after_ms, _))) => {
                        refusals.record_refused(retry_after_ms)
                    }
                    Some((_, Reply::Held(_))) | None => refusals.record_unanswered(engine),
                }
            }
            // Only the first round may hold the request, so that waits do not add up.
            may_hold = false;
        }
        match refusals.unanswered {
            // No owner replied for this engine, so the engine itself decides by priority.
            Some(engine) if request.priority == URGENT_PRIORITY => {
                self.0.instruments.count_action("fallback");
                Ok(self.grant(request, engine, URGENT_PRIORITY, self.0.local.clone()))
            }
            _ => Err(Refusal { retry_after: refusals.retry_after.unwrap_or(DEFAULT_RETRY_AFTER) }),
        }
    }
}

/// Refusals and missing replies for one request.
#[derive(Default)]
struct Refusals<'a> {
    /// The shortest retry delay of all refusals.
    retry_after: Option<Duration>,
    /// The first engine whose owners did not reply.
    unanswered: Option<&'a Arc<document::Engine>>,
}

impl<'a> Refusals<'a> {
    fn record_refused(&mut self, retry_after_ms: u32) {
        let retry_after = Duration::from_millis(retry_after_ms.into());
        self.retry_after =
            Some(self.retry_after.map_or(retry_after, |shortest| shortest.min(retry_after)));
    }

    fn record_unanswered(&mut self, engine: &'a Arc<document::Engine>) {
        self.unanswered = self.unanswered.or(Some(engine));
    }
}

impl<L: Link, O: Owners> Remote<L, O> {
    fn grant(
        &self,
        request: &Request,
        engine: &Arc<document::Engine>,
        engine_priority: u8,
        owner: name::Host,
    ) -> Grant<Permit<L, O>> {
        self.0.open_permits().insert(request.attempt, (owner.clone(), engine.name.clone()));
        let permit = Permit {
            shared: Arc::clone(&self.0),
            attempt: request.attempt,
            engine: engine.name.clone(),
            owner,
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

    fn open_permits(&self) -> MutexGuard<'_, HashMap<Uuid, (name::Host, name::Engine)>> {
        self.open_permits.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn permits_by_owner(&self) -> HashMap<(name::Host, name::Engine), Vec<u128>> {
        let mut by_owner: HashMap<_, Vec<u128>> = HashMap::new();
        for (attempt, owner_and_engine) in self.open_permits().iter() {
            by_owner.entry(owner_and_engine.clone()).or_default().push(attempt.as_u128());
        }
        by_owner
    }

    /// The engines to try, without those in `excluded` and those that are leaving.
    fn candidates(
        &self,
        request: &Request,
        engines: &[Arc<document::Engine>],
        excluded: &[name::Engine],
    ) -> Vec<placement::Candidate> {
        let now_ms = self.clock.now_ms();
        let leaving = self.leaving.borrow().clone();
        let is_excluded =
            |engine: &name::Engine| excluded.contains(engine) || leaving.contains(engine.as_str());
        self.placement().candidates(now_ms, &request.into(), engines, is_excluded)
    }

    /// Requests a permit from the engine's primary owner, or from the backup owner if the primary does not reply.
    /// Returns `None` if neither replies.
    async fn request_permit(
        &self,
        request: &Request,
        engine: &name::Engine,
        hold: bool,
    ) -> Option<(name::Host, Reply)> {
        let request = admission::Request { hold, ..request.into() };
        for host in self.owners.owners(engine.as_str(), MAX_OWNERS) {
            if let Some(reply) = self.request_from(&host, engine, &request).await {
                let now_ms = self.clock.now_ms();
                self.placement().apply_hint(now_ms, engine, reply.hint());
                return Some((host, reply));
            }
            self.instruments.count_action("owner_silent");
        }
        self.placement().record_failure(self.clock.now_ms(), engine);
        None
    }

    /// Repeats the request until it is granted or refused. Returns `None` if the host does not reply or does not know
    /// the engine.
    async fn request_from(
        &self,
        host: &name::Host,
        engine: &name::Engine,
        request: &admission::Request,
    ) -> Option<Reply> {
        loop {
            let reply = if *host == self.local {
                self.owner.admit(engine, request.clone()).await?
            } else {
                let message =
                    Message { engine: engine.clone(), call: Call::Request(request.clone().into()) };
                let body = wire::encode(&message).ok()?;
                let call = self.link.call(host, Protocol::Admission, body);
                let response = tokio::time::timeout(REPLY_TIMEOUT, call).await;
                let Ok(Ok(response)) = response else {
                    // The owner may have granted a permit that did not arrive.
                    self.spawn_notify(
                        host.clone(),
                        engine.clone(),
                        Call::Cancelled(request.attempt),
                    );
                    return None;
                };
                wire::decode::<Option<Reply>>(&response).ok()??
            };
            if !matches!(reply, Reply::Held(_)) {
                return Some(reply);
            }
        }
    }

    fn spawn_notify(&self, host: name::Host, engine: name::Engine, call: Call) {
        if host == self.local {
            return self.owner.update_permit(&engine, call);
        }
        let link = self.link.clone();
        tokio::spawn(async move { notify(&link, &host, engine, call).await });
    }

    async fn notify(&self, host: name::Host, engine: name::Engine, call: Call) {
        if host == self.local {
            return self.owner.update_permit(&engine, call);
        }
        notify(&self.link, &host, engine, call).await;
    }
}

/// Sends a permit update to an owner. If the update is lost, the permit expires at the owner.
async fn notify(link: &impl Link, host: &name::Host, engine: name::Engine, call: Call) {
    let body: Result<Bytes, wire::Error> = wire::encode(&Message { engine, call });
    let Ok(body) = body else { return };
    link.notify(host, Protocol::Admission, body).await;
}

/// A permit granted by an engine's owner.
pub struct Permit<L: Link, O: Owners> {
    shared: Arc<Shared<L, O>>,
    attempt: Uuid,
    engine: name::Engine,
    owner: name::Host,
    granted_ms: u64,
    ended: bool,
}

impl<L: Link, O: Owners> Permit<L, O> {
    fn end(&mut self, call: Call) {
        self.ended = true;
        self.shared.open_permits().remove(&self.attempt);
        self.shared.spawn_notify(self.owner.clone(), self.engine.clone(), call);
    }
}

impl<L: Link, O: Owners> super::Permit for Permit<L, O> {
    fn started(&mut self, generation: Uuid) {
        if self.shared.clock.now_ms() < self.granted_ms + LATE_START_MS {
            return;
        }
        let call = Call::Started(self.attempt.as_u128(), generation.as_u128());
        self.shared.spawn_notify(self.owner.clone(), self.engine.clone(), call);
    }

    fn finished(mut self, produced: u64) {
        let produced = u32::try_from(produced).unwrap_or(u32::MAX);
        self.end(Call::Finished(self.attempt.as_u128(), produced));
    }

    fn failed(mut self) {
        let now_ms = self.shared.clock.now_ms();
        self.shared.placement().record_failure(now_ms, &self.engine);
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

impl From<&Request> for admission::Request {
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
