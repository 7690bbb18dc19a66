//! The HTTP interface of a service.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::Serialize;
use uuid::Uuid;

use super::Settings;
use super::control::{Change, Executions, State};
use crate::control::{Signal, consume};
use crate::web::{self, Handler, Hangup, Stop};

type Answer = Result<Response<Full<Bytes>>, Hangup>;

/// A call, as its response states it.
#[derive(Clone, Debug, Default, Serialize)]
struct Call {
    method: String,
    path: String,
    idempotency_key: Option<String>,
    request_id: Option<String>,
    body_bytes: usize,
}

/// The body of a response.
#[derive(Debug, Serialize)]
struct Receipt<'a> {
    service: &'a str,
    #[serde(flatten)]
    call: &'a Call,
    /// Number of the execution, from 1, over all calls of the service.
    execution: u64,
}

/// The outcome of a call.
enum Outcome {
    /// Executed and answered, with the number of the execution and the call that the response states.
    Done(u64, Call),
    /// Executed; the connection is closed without a response.
    Lost,
    /// Executed; the service stops without a response.
    Stopped,
    /// Not executed; the connection is closed without a response.
    Dropped,
    /// Not executed and answered with 500.
    Failed,
}

#[derive(Debug)]
struct Inner {
    state: State,
    executions: Executions,
    latest: Option<Call>,
}

/// The state behind the HTTP interface.
#[derive(Debug)]
pub(super) struct Service {
    name: String,
    inner: Mutex<Inner>,
    changed: Signal,
    stop: Stop,
}

impl Service {
    pub(super) fn new(settings: Settings, stop: Stop) -> Self {
        let state = State { work_ms: settings.work_ms, ..State::default() };
        let inner = Inner { state, executions: Executions::default(), latest: None };
        Self { name: settings.name, inner: Mutex::new(inner), changed: Signal::new(), stop }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    pub(super) fn control(&self, change: Change) {
        self.lock().state.apply(change);
        self.changed.notify();
    }

    pub(super) fn state(&self) -> State {
        self.lock().state.clone()
    }

    pub(super) fn executions(&self) -> Executions {
        self.lock().executions.clone()
    }

    async fn wait_until_thawed(&self) {
        self.changed.wait_while(|| self.lock().state.frozen).await;
    }

    /// Executes a call, unless the service stops first.
    async fn execute(self: Arc<Self>, call: Call) -> Outcome {
        let work_ms = self.lock().state.work_ms;
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        self.wait_until_thawed().await;
        if self.stop.is_stopped() {
            return Outcome::Dropped;
        }
        let (outcome, late_ms) = self.lock().execute(call);
        if matches!(outcome, Outcome::Stopped) {
            self.stop.stop();
        }
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        outcome
    }

    async fn handle_call(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        self.wait_until_thawed().await;
        let header = |name: &str| request.headers().get(name)?.to_str().ok().map(str::to_owned);
        let mut call = Call {
            method: request.method().to_string(),
            path: request.uri().path().to_owned(),
            idempotency_key: header("idempotency-key"),
            request_id: header("x-request-id"),
            body_bytes: 0,
        };
        let Some(body) = web::body(request).await else {
            return Ok(web::error(StatusCode::BAD_REQUEST, "body"));
        };
        call.body_bytes = body.len();
        // A separate task, so that the call is executed even if the caller disconnects.
        let outcome = tokio::spawn(Arc::clone(&self).execute(call)).await;
        match outcome {
            Ok(Outcome::Done(execution, call)) => Ok(self.respond(execution, &call)),
            Ok(Outcome::Failed) => Ok(web::error(StatusCode::INTERNAL_SERVER_ERROR, "internal")),
            Ok(Outcome::Lost | Outcome::Stopped | Outcome::Dropped) | Err(_) => Err(Hangup),
        }
    }

    fn respond(&self, execution: u64, call: &Call) -> Response<Full<Bytes>> {
        let mut response =
            web::json(StatusCode::OK, &Receipt { service: &self.name, call, execution });
        if let Some(value) =
            call.request_id.as_deref().and_then(|id| HeaderValue::from_str(id).ok())
        {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Answer {
        if *request.method() == Method::POST {
            let Some(change) = web::parse::<Change>(request).await else {
                return Ok(web::error(StatusCode::BAD_REQUEST, "change"));
            };
            self.control(change);
        }
        Ok(web::json(StatusCode::OK, &self.state()))
    }

    async fn handle_health(&self) -> Answer {
        self.wait_until_thawed().await;
        let sick = self.lock().state.sick;
        Ok(web::empty(if sick { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }))
    }
}

impl Inner {
    /// Executes a call or applies a fault. Returns the outcome and the delay of the response, in milliseconds.
    fn execute(&mut self, call: Call) -> (Outcome, u64) {
        self.state.calls += 1;
        if consume(&mut self.state.dropped) {
            return (Outcome::Dropped, 0);
        }
        if consume(&mut self.state.fail) {
            return (Outcome::Failed, 0);
        }
        self.count_execution(&call);
        let is_fatal = call.path == self.state.die_on;
        let previous = self.latest.replace(call.clone());
        if std::mem::take(&mut self.state.die_after_effect) || is_fatal {
            return (Outcome::Stopped, 0);
        }
        if consume(&mut self.state.lose) {
            return (Outcome::Lost, 0);
        }
        let crossed = consume(&mut self.state.crossed);
        let stated = if crossed { previous.unwrap_or_else(unknown_call) } else { call };
        (Outcome::Done(self.state.executed, stated), self.state.late_ms)
    }

    fn count_execution(&mut self, call: &Call) {
        self.state.executed += 1;
        let executions = &mut self.executions;
        if let Some(key) = &call.idempotency_key {
            *executions.keys.entry(key.clone()).or_default() += 1;
        }
        if let Some(id) = &call.request_id {
            *executions.requests.entry(id.clone()).or_default() += 1;
        }
        *executions.paths.entry(format!("{} {}", call.method, call.path)).or_default() += 1;
    }
}

/// A call that was never made.
fn unknown_call() -> Call {
    Call { request_id: Some(Uuid::new_v4().to_string()), ..Call::default() }
}

impl Handler for Service {
    type Body = Full<Bytes>;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/control" => self.handle_control(request).await,
            "/control/executions" => Ok(web::json(StatusCode::OK, &self.executions())),
            "/healthz" => self.handle_health().await,
            _ => self.handle_call(request).await,
        }
    }
}
