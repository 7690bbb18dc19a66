//! `/services/NAME/...` and `/v1/outcomes/KEY`.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header, request};
use serde::Serialize;

use super::problem::{Kind, Outcome, Problem};
use super::{Body, Caller, Context, Parts, lasting};
use crate::backend::{self, Answer, Call};
use crate::claim::{self, Completed, Failure, Fingerprint, Key, Reason, Reply, Status, Verdict};
use crate::document::{Server, Service};
use crate::name;

/// Backend servers tried for one idempotent call.
const MAX_ATTEMPTS: usize = 3;

/// Holds a caller's idempotency key.
const KEY_HEADER: &str = "idempotency-key";

/// Tells that an answer was given before.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Relays one call.
pub(super) async fn relay<P: Parts>(
    context: &Arc<Context<P>>,
    caller: &Caller,
    service: &Service,
    path: &str,
    parts: &request::Parts,
    body: Bytes,
) -> Result<Response<Body>, Problem> {
    let mut headers = parts.headers.clone();
    headers.remove(header::AUTHORIZATION);
    let call = Call {
        method: parts.method.clone(),
        path: path.to_owned(),
        headers,
        body,
        timeout: Duration::from_millis(service.timeout_ms),
    };
    let begun = Instant::now();
    let result = if is_idempotent(service, &call) {
        repeat(context, service, &call).await.map(whole)
    } else {
        once(context, caller, service, call).await
    };
    let flow = [caller.organisation.name.as_str(), caller.workload.as_str()];
    let time = context.instruments.call.with_label_values(&flow);
    time.observe(begun.elapsed().as_secs_f64());
    result
}

fn is_idempotent(service: &Service, call: &Call) -> bool {
    let path = call.path.split('?').next().unwrap_or_default();
    let route = service
        .routes
        .iter()
        .find(|route| route.method == call.method.as_str() && is_below(path, &route.prefix));
    match route {
        Some(route) => route.idempotent,
        None => {
            let methods = [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE];
            methods.contains(&call.method)
        }
    }
}

/// Whether `path` is `prefix` or lies below it.
fn is_below(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Makes an idempotent call, on another backend server if one fails.
async fn repeat<P: Parts>(
    context: &Context<P>,
    service: &Service,
    call: &Call,
) -> Result<Answer, Problem> {
    context.retries.count_request();
    let mut tried = Vec::new();
    let mut kind = Kind::Busy;
    while tried.len() < MAX_ATTEMPTS {
        if !tried.is_empty() {
            if !context.retries.try_retry() {
                context.instruments.act("retry_refused");
                break;
            }
            context.instruments.act("retried");
        }
        let Some(server) = context.choose(service, &tried) else { break };
        tried.push(server.name.clone());
        let answer = context.backends.call(server.address, call).await;
        context.end(&server.name, answer.as_ref());
        match answer {
            Ok(answer) if answer.status != StatusCode::SERVICE_UNAVAILABLE => return Ok(answer),
            Err(backend::Error::NotSent) => {}
            // A server that answers 503 may have run the call all the same.
            Ok(_) | Err(_) => kind = Kind::Unknown,
        }
    }
    Err(Problem::new(kind).with_retry_after(Duration::from_secs(1)))
}

/// Makes a call that runs at most once.
async fn once<P: Parts>(
    context: &Arc<Context<P>>,
    caller: &Caller,
    service: &Service,
    call: Call,
) -> Result<Response<Body>, Problem> {
    let key = call.headers.get(KEY_HEADER).and_then(|key| key.to_str().ok());
    let key: Key = key
        .ok_or_else(|| lasting(Kind::KeyRequired))?
        .parse()
        .map_err(|error: claim::key::Error| lasting(Kind::KeyRequired).with_detail(error))?;
    let claimed = claim::Call {
        organisation: caller.organisation.name.clone(),
        key,
        fingerprint: Fingerprint::new(
            call.method.as_str(),
            &format!("/services/{}{}", service.name, call.path),
            &call.body,
        ),
        timeout_ms: u32::try_from(service.timeout_ms).unwrap_or(u32::MAX),
    };
    let dispatcher = Arc::clone(context);
    let service = service.clone();
    let verdict = context
        .claims
        .run(
            claimed,
            move |right| async move { dispatch(&dispatcher, &service, &call, right).await },
        )
        .await;
    respond(verdict)
}

/// Sends a claimed call to one backend server after the other, until one was reached.
async fn dispatch<P: Parts>(
    context: &Context<P>,
    service: &Service,
    call: &Call,
    right: claim::Permit<P::Clock>,
) -> Result<Completed<Answer>, Failure> {
    let mut tried = Vec::new();
    while let Some(server) = context.choose(service, &tried) {
        tried.push(server.name.clone());
        let answer = context.backends.call_once(server.address, call, || right.is_valid()).await;
        context.end(&server.name, answer.as_ref());
        match answer {
            Ok(full) => {
                let reply = keep(&full);
                return Ok(Completed { response: full, reply });
            }
            Err(backend::Error::NotSent) if right.is_valid() => {}
            Err(backend::Error::NotSent) => return Err(Failure::NotSent),
            Err(_) => return Err(Failure::Unknown),
        }
    }
    Err(Failure::NotSent)
}

fn keep(answer: &Answer) -> Reply {
    let headers = answer.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    Reply::new(answer.status.as_u16(), headers, answer.body.clone())
}

fn respond(verdict: Verdict<Answer>) -> Result<Response<Body>, Problem> {
    let retry_after = verdict.retry_after_s().map(Duration::from_secs);
    let problem = |kind| Problem { retry_after, ..Problem::new(kind) };
    match verdict {
        Verdict::Ran(answer) => Ok(whole(answer)),
        Verdict::Recorded(reply) => Ok(replay(reply)),
        Verdict::InProgress { .. } => Err(problem(Kind::InProgress)),
        Verdict::Unknown { .. } => Err(problem(Kind::Unknown)),
        Verdict::Conflict => Err(problem(Kind::KeyReused)),
        Verdict::Expired { reason, .. } => Err(problem(Kind::KeyExpired).with_detail(reason)),
        Verdict::NotRun { reason, .. } => {
            let kind = match reason {
                Reason::LogDown | Reason::Unconfirmed => Kind::LogDown,
                Reason::Draining => Kind::Draining,
                _ => Kind::Busy,
            };
            Err(problem(kind).with_detail(reason))
        }
    }
}

fn whole(answer: Answer) -> Response<Body> {
    let mut response = Response::new(Body::from(answer.body));
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Gives a recorded answer again. Of a body that was too large to keep, only its absence is told.
fn replay(reply: Reply) -> Response<Body> {
    let mut headers = HeaderMap::new();
    for (name, value) in &reply.headers {
        if let (Ok(name), Ok(value)) = (name.parse::<HeaderName>(), value.parse::<HeaderValue>()) {
            headers.insert(name, value);
        }
    }
    let body = match reply.body {
        claim::Body::Whole(body) => body,
        claim::Body::Hash { .. } => {
            headers.insert("idempotent-body", HeaderValue::from_static("omitted"));
            Bytes::new()
        }
    };
    headers.insert(REPLAYED_HEADER, HeaderValue::from_static("true"));
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = StatusCode::from_u16(reply.status).unwrap_or(StatusCode::OK);
    *response.headers_mut() = headers;
    response
}

#[derive(Serialize)]
struct Told {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Tells what became of a key.
pub(super) async fn outcome<P: Parts>(
    context: &Context<P>,
    organisation: &name::Organisation,
    key: &str,
) -> Result<Response<Body>, Problem> {
    let key: Key = key
        .parse()
        .map_err(|error: claim::key::Error| lasting(Kind::KeyRequired).with_detail(error))?;
    let (outcome, status, retry_after_s) = match context.claims.outcome(organisation, key).await {
        Status::NotRun => (Outcome::NotRun.as_str(), None, None),
        Status::InProgress { retry_after_s } => ("in_progress", None, Some(retry_after_s)),
        Status::Done(reply) => ("done", Some(reply.status), None),
        Status::Unknown => (Outcome::Unknown.as_str(), None, None),
        Status::Expired => return Err(lasting(Kind::KeyExpired)),
        Status::Unavailable { retry_after_s } => {
            let retry_after = Duration::from_secs(retry_after_s);
            return Err(Problem::new(Kind::LogDown).with_retry_after(retry_after));
        }
    };
    // A struct of strings and numbers always has a JSON form.
    let body = serde_json::to_vec(&Told { outcome, status, retry_after_s }).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

impl<P: Parts> Context<P> {
    fn choose<'a>(&self, service: &'a Service, tried: &[name::Server]) -> Option<&'a Server> {
        let leaving = self.leaving.borrow().clone();
        let mut servers = self.servers();
        let now_ms = self.clock.now_ms();
        let server =
            servers.choose(now_ms, &service.servers, tried, |name| leaving.contains(name))?;
        servers.begin(&server.name);
        Some(server)
    }

    fn end(&self, server: &name::Server, answer: Result<&Answer, &backend::Error>) {
        let sound = answer.is_ok_and(|answer| !answer.status.is_server_error());
        if answer.is_err_and(|error| *error == backend::Error::Crossed) {
            self.instruments.dropped.with_label_values(&["crossed"]).inc();
        }
        let now_ms = self.clock.now_ms();
        self.servers().end(now_ms, server, sound);
    }
}
