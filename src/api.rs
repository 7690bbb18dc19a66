//! The callers' HTTP interface.

use std::sync::Arc;
use std::time::Duration;

use http::{HeaderMap, Method, Request, Response, header};
use hyper::body::Incoming;
use tokio::sync::watch;

pub use body::Body;

use crate::document::{Active, Organisation};
use crate::gate::Gate;
use crate::lifecycle::{Control, Work};
use crate::metrics::Instruments;
use crate::{engine, limit, name, resume};
use problem::{Kind, Problem};

mod ask;
mod body;
mod completions;
pub mod listener;
pub mod problem;
mod relay;

/// Names the workload of a request.
const WORKLOAD_HEADER: &str = "nutmeghead-workload";

/// Holds the resume token of the last event that a caller has.
const LAST_EVENT_HEADER: &str = "last-event-id";

/// What requests need.
pub struct Context<G> {
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
    pub open: limit::Open,
    /// Grants permits for engines.
    pub gate: G,
}

/// Who sends a request, under which document.
#[derive(Clone)]
struct Caller {
    active: Arc<Active>,
    organisation: Organisation,
    workload: name::Workload,
    priority: u8,
}

impl<G: Gate> Context<G> {
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
        match (request.uri().path(), request.method()) {
            ("/v1/completions", &Method::POST) => {
                self.completions(active, organisation, request, work).await
            }
            ("/v1/completions", _) => Err(lasting(Kind::Method)),
            _ => Err(lasting(Kind::NotFound)),
        }
    }

    async fn completions(
        self: &Arc<Self>,
        active: Arc<Active>,
        organisation: Organisation,
        request: Request<Incoming>,
        work: Work,
    ) -> Result<Response<Body>, Problem> {
        let guard = self.open.begin(&organisation.name, organisation.max_open);
        let guard = guard.ok_or_else(|| Problem::new(Kind::TooMany))?;
        let work = (work, guard);
        let (parts, body) = request.into_parts();
        let limits = &active.document().limits;
        let timeout = Duration::from_millis(limits.request_timeout_ms);
        let body = body::read(body, limits.max_body_bytes, timeout).await?;
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
