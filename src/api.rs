//! The callers' HTTP interface.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, header};
use hyper::body::Incoming;
use tokio::sync::watch;

pub use body::Body;

use crate::clock::{Clock, Monotonic};
use crate::document::{Active, Organisation};
use crate::lifecycle::{Control, Work};
use crate::metrics::Instruments;
use crate::peer::Link;
use crate::permits::Issuer;
use crate::{backend, claim, engine, hosts, limit, log, name, resume, retry};
use problem::{Kind, Problem};

mod ask;
mod body;
mod completions;
pub mod listener;
mod open;
pub mod problem;
mod relay;
mod services;
mod sink;

const COMPLETIONS_PATH: &str = "/v1/completions";

const OUTCOMES_PATH: &str = "/v1/outcomes/";

const SERVICES_PATH: &str = "/services/";

/// Names the workload of a request.
const WORKLOAD_HEADER: &str = "nutmeghead-workload";

/// Holds the resume token of the last event that a caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// The kinds of the parts that requests need.
pub trait Parts: Send + Sync + 'static {
    /// Grants permits for engines.
    type Issuer: Issuer;
    /// The platform's log.
    type Log: log::Log;
    /// The link to other entry hosts.
    type Link: Link;
    /// Who looks after which claims.
    type View: claim::Ownership;
    /// The clock of claims.
    type Clock: Clock;
}

/// What requests need.
pub struct Context<P: Parts> {
    /// The node's life.
    pub control: Arc<Control>,
    /// The document in force.
    pub active: watch::Receiver<Option<Arc<Active>>>,
    /// Calls to engines.
    pub engines: engine::Client,
    /// The key of resume tokens.
    pub key: resume::Key,
    /// Counters.
    pub instruments: Instruments,
    /// Open requests by organisation.
    pub open: limit::Counter,
    /// Grants permits for engines.
    pub issuer: P::Issuer,
    /// Makes calls run at most once.
    pub claims: claim::Service<P::Log, P::Link, P::View, P::Clock>,
    /// Calls to backend servers.
    pub backends: backend::Client,
    /// What is known of the backend servers.
    pub servers: Mutex<backend::State>,
    /// Back ends that the platform takes away.
    pub leaving: watch::Receiver<hosts::Leaving>,
    /// Retries that may be made.
    pub retries: retry::Budget,
    /// Time for decisions.
    pub clock: Monotonic,
}

/// Who sends a request, under which document.
#[derive(Clone)]
struct Caller {
    active: Arc<Active>,
    organisation: Organisation,
    workload: name::Workload,
    priority: u8,
}

impl<P: Parts> Context<P> {
    fn servers(&self) -> MutexGuard<'_, backend::State> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Answers one request.
    pub async fn handle(self: &Arc<Self>, request: Request<Incoming>) -> Response<Body> {
        match self.route(request).await {
            Ok(response) => response,
            Err(problem) => problem.to_response(),
        }
    }

    async fn route(
        self: &Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Body>, Problem> {
        let active = self.active.borrow().clone();
        let active = active.ok_or_else(|| Problem::new(Kind::NotReady))?;
        let work = self.control.begin().ok_or_else(|| Problem::new(Kind::Draining))?;
        let organisation = authenticate(&active, request.headers())?.clone();
        let path = request.uri().path().to_owned();
        let is_get = request.method() == Method::GET;
        if path == COMPLETIONS_PATH {
            if request.method() != Method::POST {
                return Err(lasting(Kind::Method));
            }
            return self.completions(active, organisation, request, work).await;
        }
        if let Some(key) = path.strip_prefix(OUTCOMES_PATH) {
            if !is_get {
                return Err(lasting(Kind::Method));
            }
            return services::outcome(self, &organisation.name, key).await;
        }
        if let Some(rest) = path.strip_prefix(SERVICES_PATH) {
            return self.services(active, organisation, rest, request, work).await;
        }
        Err(lasting(Kind::NotFound))
    }

    async fn services(
        self: &Arc<Self>,
        active: Arc<Active>,
        organisation: Organisation,
        rest: &str,
        request: Request<Incoming>,
        _work: Work,
    ) -> Result<Response<Body>, Problem> {
        let (name, path) = rest.split_at(rest.find('/').unwrap_or(rest.len()));
        let path = if path.is_empty() { "/" } else { path };
        let path = match request.uri().query() {
            Some(query) => format!("{path}?{query}"),
            None => path.to_owned(),
        };
        let service = active.service(name).ok_or_else(|| lasting(Kind::UnknownService))?;
        let _guard = self.begin(&organisation)?;
        let (parts, body) = request.into_parts();
        let workload = workload(&active, &parts.headers, &service.workload)?;
        let body = read(&active, body).await?;
        let priority = active.priority(&organisation, &workload);
        let caller =
            Caller { workload: workload.name, priority, organisation, active: active.clone() };
        let result = services::relay(self, &caller, service, &path, &parts, body).await;
        match &result {
            Ok(_) => self.finish(&caller, "complete"),
            Err(problem) => self.finish(&caller, problem.outcome().as_str()),
        }
        result
    }

    fn begin(&self, organisation: &Organisation) -> Result<limit::Guard, Problem> {
        let guard = self.open.try_acquire(&organisation.name, organisation.max_open);
        guard.ok_or_else(|| Problem::new(Kind::TooMany))
    }

    async fn completions(
        self: &Arc<Self>,
        active: Arc<Active>,
        organisation: Organisation,
        request: Request<Incoming>,
        work: Work,
    ) -> Result<Response<Body>, Problem> {
        let work = (work, self.begin(&organisation)?);
        let (parts, body) = request.into_parts();
        let limits = &active.document().limits;
        let body = read(&active, body).await?;
        if let Some(token) = parts.headers.get(LAST_EVENT_HEADER) {
            let token = token.to_str().map_err(|_| lasting(Kind::BadToken))?;
            let workload = name::Workload::new("resumed").map_err(|_| lasting(Kind::BadToken))?;
            let caller = Caller { active, organisation, workload, priority: 0 };
            return completions::go_on(self, caller, token, work).await;
        }
        let ask = ask::Ask::parse(&body, limits.max_tokens)?;
        let model = active.model(&ask.model).ok_or_else(|| lasting(Kind::UnknownModel))?;
        let workload = workload(&active, &parts.headers, &model.workload)?;
        let priority = active.priority(&organisation, &workload);
        let caller = Caller { workload: workload.name, priority, organisation, active };
        let result = completions::complete(self, caller.clone(), ask, work).await;
        if let Err(problem) = &result {
            self.finish(&caller, problem.outcome().as_str());
        }
        result
    }

    fn finish(&self, caller: &Caller, outcome: &str) {
        self.instruments.finish(
            caller.organisation.name.as_str(),
            caller.workload.as_str(),
            outcome,
        );
    }
}

async fn read(active: &Active, body: Incoming) -> Result<Bytes, Problem> {
    let limits = &active.document().limits;
    let timeout = Duration::from_millis(limits.request_timeout_ms);
    body::read(body, limits.max_body_bytes, timeout).await
}

fn authenticate<'a>(active: &'a Active, headers: &HeaderMap) -> Result<&'a Organisation, Problem> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| active.organisation_by_key(key)).ok_or_else(|| lasting(Kind::Unauthorized))
}

fn workload(
    active: &Active,
    headers: &HeaderMap,
    default: &name::Workload,
) -> Result<crate::document::Workload, Problem> {
    let named = match headers.get(WORKLOAD_HEADER) {
        None => default.as_str(),
        Some(value) => value.to_str().map_err(|_| lasting(Kind::UnknownWorkload))?,
    };
    active.workload(named).cloned().ok_or_else(|| lasting(Kind::UnknownWorkload))
}

/// A problem that coming back later does not mend.
fn lasting(kind: Kind) -> Problem {
    Problem { retry_after: None, ..Problem::new(kind) }
}
