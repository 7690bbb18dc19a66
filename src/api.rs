//! The HTTP API for callers.

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
use crate::{backend, claim, engine, hosts, limit, log, name, quarantine, resume, retry};
use problem::{Kind, Problem};

mod body;
mod completions;
pub mod listener;
mod open;
mod params;
pub mod problem;
mod relay;
mod services;
mod sink;

const COMPLETIONS_PATH: &str = "/v1/completions";

const OUTCOMES_PATH: &str = "/v1/outcomes/";

const SERVICES_PATH: &str = "/services/";

/// The header that names the workload of a request.
const WORKLOAD_HEADER: &str = "nutmeghead-workload";

/// The header with the resume token of the last event that the caller received.
const LAST_EVENT_ID_HEADER: &str = "last-event-id";

/// The component types of a [`Context`].
pub trait Components: Send + Sync + 'static {
    /// Issues permits for engines.
    type Issuer: Issuer;
    /// The platform's log.
    type Log: log::Log;
    /// Messages to other entry hosts.
    type Link: Link;
    /// The assignment of claims to entry hosts.
    type Ownership: claim::Ownership;
    /// The clock of claims.
    type Clock: Clock;
}

/// The state and services that are shared by all requests.
pub struct Context<P: Components> {
    /// Lifecycle of the node.
    pub control: Arc<Control>,
    /// The document in force.
    pub active: watch::Receiver<Option<Arc<Active>>>,
    /// The client for engines.
    pub engines: engine::Client,
    /// The key that signs resume tokens.
    pub resume_key: resume::Key,
    /// Metrics.
    pub instruments: Instruments,
    /// Number of open requests of each organisation.
    pub open_requests: limit::Counter,
    /// Issues permits for engines.
    pub issuer: P::Issuer,
    /// Runs calls at most once.
    pub claims: claim::Service<P::Log, P::Link, P::Ownership, P::Clock>,
    /// Content of requests that crashes engines and backend servers.
    pub quarantine: quarantine::Service<P::Link>,
    /// The client for backend servers.
    pub backends: backend::Client,
    /// Open calls and failures of the backend servers.
    pub servers: Mutex<backend::State>,
    /// Backend servers that the platform is about to remove.
    pub leaving: watch::Receiver<hosts::Leaving>,
    /// Limits the rate of retries.
    pub retries: retry::Budget,
    /// The clock for the ejection of backend servers.
    pub clock: Monotonic,
}

/// The sender of a request, and the document under which the request is handled.
#[derive(Clone)]
struct Caller {
    active: Arc<Active>,
    organisation: Organisation,
    workload: name::Workload,
    priority: u8,
}

impl<P: Components> Context<P> {
    fn servers(&self) -> MutexGuard<'_, backend::State> {
        self.servers.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles one request.
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
                return Err(permanent(Kind::MethodNotAllowed));
            }
            return self.completions(active, organisation, request, work).await;
        }
        if let Some(key) = path.strip_prefix(OUTCOMES_PATH) {
            if !is_get {
                return Err(permanent(Kind::MethodNotAllowed));
            }
            return services::outcome(self, &organisation.name, key).await;
        }
        if let Some(rest) = path.strip_prefix(SERVICES_PATH) {
            return self.services(active, organisation, rest, request, work).await;
        }
        Err(permanent(Kind::NotFound))
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
        let service = active.service(name).ok_or_else(|| permanent(Kind::UnknownService))?;
        let _slot = self.acquire_slot(&organisation)?;
        let (parts, body) = request.into_parts();
        let workload = requested_workload(&active, &parts.headers, &service.workload)?;
        let body = read_body(&active, body).await?;
        let priority = active.priority(&organisation, &workload);
        let caller =
            Caller { workload: workload.name, priority, organisation, active: active.clone() };
        let result = services::forward(self, &caller, service, &path, &parts, body).await;
        match &result {
            Ok(_) => self.count_finished(&caller, "complete"),
            Err(problem) => self.count_finished(&caller, problem.outcome().as_str()),
        }
        result
    }

    fn acquire_slot(&self, organisation: &Organisation) -> Result<limit::Guard, Problem> {
        let slot = self.open_requests.try_acquire(&organisation.name, organisation.max_open);
        slot.ok_or_else(|| Problem::new(Kind::TooManyRequests))
    }

    async fn completions(
        self: &Arc<Self>,
        active: Arc<Active>,
        organisation: Organisation,
        request: Request<Incoming>,
        work: Work,
    ) -> Result<Response<Body>, Problem> {
        let open_request = (work, self.acquire_slot(&organisation)?);
        let (parts, body) = request.into_parts();
        let limits = &active.document().limits;
        let body = read_body(&active, body).await?;
        if let Some(token) = parts.headers.get(LAST_EVENT_ID_HEADER) {
            let token = token.to_str().map_err(|_| permanent(Kind::InvalidResumeToken))?;
            let workload =
                name::Workload::new("resumed").map_err(|_| permanent(Kind::InvalidResumeToken))?;
            let caller = Caller { active, organisation, workload, priority: 0 };
            return completions::resume(self, caller, token, open_request).await;
        }
        let params = params::Params::parse(&body, limits.max_tokens)?;
        let model = active.model(&params.model).ok_or_else(|| permanent(Kind::UnknownModel))?;
        let workload = requested_workload(&active, &parts.headers, &model.workload)?;
        let priority = active.priority(&organisation, &workload);
        let caller = Caller { workload: workload.name, priority, organisation, active };
        let result = completions::complete(self, caller.clone(), params, open_request).await;
        if let Err(problem) = &result {
            self.count_finished(&caller, problem.outcome().as_str());
        }
        result
    }

    fn count_finished(&self, caller: &Caller, outcome: &str) {
        self.instruments.count_request(
            caller.organisation.name.as_str(),
            caller.workload.as_str(),
            outcome,
        );
    }
}

async fn read_body(active: &Active, body: Incoming) -> Result<Bytes, Problem> {
    let limits = &active.document().limits;
    let timeout = Duration::from_millis(limits.request_timeout_ms);
    body::read(body, limits.max_body_bytes, timeout).await
}

fn authenticate<'a>(active: &'a Active, headers: &HeaderMap) -> Result<&'a Organisation, Problem> {
    let value = headers.get(header::AUTHORIZATION).and_then(|value| value.to_str().ok());
    let key = value.and_then(|value| value.strip_prefix("Bearer "));
    key.and_then(|key| active.organisation_by_key(key)).ok_or_else(|| permanent(Kind::Unauthorized))
}

fn requested_workload(
    active: &Active,
    headers: &HeaderMap,
    default: &name::Workload,
) -> Result<crate::document::Workload, Problem> {
    let name = match headers.get(WORKLOAD_HEADER) {
        None => default.as_str(),
        Some(value) => value.to_str().map_err(|_| permanent(Kind::UnknownWorkload))?,
    };
    active.workload(name).cloned().ok_or_else(|| permanent(Kind::UnknownWorkload))
}

/// A problem that a later retry cannot resolve.
fn permanent(kind: Kind) -> Problem {
    Problem { retry_after: None, ..Problem::new(kind) }
}
