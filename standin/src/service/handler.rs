//! The calls of a service.

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

/// Who called, and for what.
#[derive(Clone, Debug, Default, Serialize)]
struct Call {
    method: String,
    path: String,
    idempotency_key: Option<String>,
    request_id: Option<String>,
    body_bytes: usize,
}

/// The body of an answer.
#[derive(Debug, Serialize)]
struct Receipt<'a> {
    service: &'a str,
    #[serde(flatten)]
    call: &'a Call,
    /// Number of this execution among all of the service, from 1.
    execution: u64,
}

/// What becomes of a call.
enum Verdict {
    /// It is executed and answered, with the number of the execution and the call to answer for.
    Done(u64, Call),
    /// It is executed; the connection is closed.
    Lost,
    /// It is executed; the service dies.
    Died,
    /// It is not executed; the connection is closed.
    Dropped,
    /// It is not executed and answered with 500.
    Failed,
}

#[derive(Debug)]
struct Inner {
    state: State,
    executions: Executions,
    latest: Option<Call>,
}

/// A service behind its calls.
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

    async fn ready(&self) {
        self.changed.wait_while(|| self.lock().state.frozen).await;
    }

    /// Executes a call that arrived, whatever becomes of its caller, unless the service dies first.
    async fn execute(self: Arc<Self>, call: Call) -> Verdict {
        let work_ms = self.lock().state.work_ms;
        tokio::time::sleep(Duration::from_millis(work_ms)).await;
        self.ready().await;
        if self.stop.is_stopped() {
            return Verdict::Dropped;
        }
        let (verdict, late_ms) = self.lock().judge(call);
        if matches!(verdict, Verdict::Died) {
            self.stop.stop();
        }
        tokio::time::sleep(Duration::from_millis(late_ms)).await;
        verdict
    }

    async fn call(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        self.ready().await;
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
        let verdict = tokio::spawn(Arc::clone(&self).execute(call)).await;
        match verdict {
            Ok(Verdict::Done(execution, call)) => Ok(self.answer(execution, &call)),
            Ok(Verdict::Failed) => Ok(web::error(StatusCode::INTERNAL_SERVER_ERROR, "internal")),
            Ok(Verdict::Lost | Verdict::Died | Verdict::Dropped) | Err(_) => Err(Hangup),
        }
    }

    fn answer(&self, execution: u64, call: &Call) -> Response<Full<Bytes>> {
        let mut response =
            web::json(StatusCode::OK, &Receipt { service: &self.name, call, execution });
        if let Some(value) =
            call.request_id.as_deref().and_then(|id| HeaderValue::from_str(id).ok())
        {
            response.headers_mut().insert("x-request-id", value);
        }
        response
    }

    async fn control_call(&self, request: Request<Incoming>) -> Answer {
        if *request.method() == Method::POST {
            let Some(change) = web::parse::<Change>(request).await else {
                return Ok(web::error(StatusCode::BAD_REQUEST, "change"));
            };
            self.control(change);
        }
        Ok(web::json(StatusCode::OK, &self.state()))
    }

    async fn health(&self) -> Answer {
        self.ready().await;
        let sick = self.lock().state.sick;
        Ok(web::empty(if sick { StatusCode::SERVICE_UNAVAILABLE } else { StatusCode::OK }))
    }
}

impl Inner {
    /// Executes a call or applies a fault. Returns how late the answer comes, in milliseconds.
    fn judge(&mut self, call: Call) -> (Verdict, u64) {
        self.state.calls += 1;
        if consume(&mut self.state.dropped) {
            return (Verdict::Dropped, 0);
        }
        if consume(&mut self.state.fail) {
            return (Verdict::Failed, 0);
        }
        self.count(&call);
        let before = self.latest.replace(call.clone());
        if std::mem::take(&mut self.state.die_after_effect) {
            return (Verdict::Died, 0);
        }
        if consume(&mut self.state.lose) {
            return (Verdict::Lost, 0);
        }
        let crossed = consume(&mut self.state.crossed);
        let answered = if crossed { before.unwrap_or_else(stranger) } else { call };
        (Verdict::Done(self.state.executed, answered), self.state.late_ms)
    }

    fn count(&mut self, call: &Call) {
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

/// A call that nobody made.
fn stranger() -> Call {
    Call { request_id: Some(Uuid::new_v4().to_string()), ..Call::default() }
}

impl Handler for Service {
    type Body = Full<Bytes>;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        match request.uri().path() {
            "/control" => self.control_call(request).await,
            "/control/executions" => Ok(web::json(StatusCode::OK, &self.executions())),
            "/healthz" => self.health().await,
            _ => self.call(request).await,
        }
    }
}
