//! Handlers of `/services/NAME/...` and `/v1/outcomes/KEY`.

use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, HeaderName, HeaderValue, Method, Response, StatusCode, header, request};
use serde::Serialize;

use super::problem::{Kind, Outcome, Problem};
use super::{Body, Caller, Components, Context, permanent};
use crate::backend::{self, Call};
use crate::claim::{self, Completed, Failure, Key, Reason, Reply, Status, Verdict};
use crate::document::{Server, Service};
use crate::fingerprint::Fingerprint;
use crate::{name, quarantine};

/// Largest number of backend servers tried for one idempotent call.
const MAX_ATTEMPTS: usize = 3;

/// Largest number of backend servers that may end under one call.
const MAX_ENDED_SERVERS: usize = 2;

/// Shortest `Retry-After` of a call that is refused because servers crashed under it.
const MIN_QUARANTINE_RETRY_AFTER: Duration = Duration::from_secs(1);

/// The header with the idempotency key of a call.
const IDEMPOTENCY_KEY_HEADER: &str = "idempotency-key";

/// Marks a response that was replayed from the record of an earlier attempt.
const REPLAYED_HEADER: HeaderName = HeaderName::from_static("idempotent-replayed");

/// Forwards one call to a backend server.
pub(super) async fn forward<P: Components>(
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
    let fingerprint = Fingerprint::new(
        call.method.as_str(),
        &format!("/services/{}{}", service.name, call.path),
        &call.body,
    );
    let content = name::Part::try_from(fingerprint.with(caller.organisation.name.as_str()));
    let content: Vec<_> = content.into_iter().collect();
    let started = Instant::now();
    let result = if is_idempotent(service, &call) {
        call_with_retries(context, service, &call, &content).await.map(to_response)
    } else {
        call_at_most_once(context, caller, service, call, fingerprint, content).await
    };
    let labels = [caller.organisation.name.as_str(), caller.workload.as_str()];
    let histogram = context.instruments.call.with_label_values(&labels);
    histogram.observe(started.elapsed().as_secs_f64());
    result
}

fn is_idempotent(service: &Service, call: &Call) -> bool {
    let path = call.path.split('?').next().unwrap_or_default();
    let route = service
        .routes
        .iter()
        .find(|route| route.method == call.method.as_str() && has_path_prefix(path, &route.prefix));
    match route {
        Some(route) => route.idempotent,
        None => {
            let methods = [Method::GET, Method::HEAD, Method::OPTIONS, Method::PUT, Method::DELETE];
            methods.contains(&call.method)
        }
    }
}

/// Whether `path` equals `prefix` or is a subpath of it.
fn has_path_prefix(path: &str, prefix: &str) -> bool {
    let rest = path.strip_prefix(prefix.trim_end_matches('/'));
    rest.is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Makes an idempotent call. If a backend server fails, tries another one.
async fn call_with_retries<P: Components>(
    context: &Context<P>,
    service: &Service,
    call: &Call,
    content: &[name::Part],
) -> Result<backend::Response, Problem> {
    context.retries.count_request();
    if let Some(retry_after) = context.quarantined_for(content) {
        return Err(Problem::new(Kind::Quarantined).with_retry_after(retry_after));
    }
    let mut tried = Vec::new();
    let mut ended = 0;
    let mut kind = Kind::Busy;
    while tried.len() < MAX_ATTEMPTS && ended < MAX_ENDED_SERVERS {
        if !tried.is_empty() {
            if !context.quarantine.may_repeat(content) || !context.retries.try_retry() {
                context.instruments.count_action("retry_refused");
                break;
            }
            context.instruments.count_action("retried");
        }
        let Some(server) = context.choose_server(service, &tried) else { break };
        tried.push(server.name.clone());
        let result = context.backends.call(server.address, call).await;
        context.end_call(&server.name, result.as_ref());
        ended += usize::from(context.learn(content, server, &result).await);
        match result {
            Ok(response) if response.status != StatusCode::SERVICE_UNAVAILABLE => {
                return Ok(response);
            }
            Err(backend::Error::NotSent) => {}
            // A server that responds with 503 may still have run the call.
            Ok(_) | Err(_) => kind = Kind::UnknownOutcome,
        }
    }
    Err(Problem::new(kind).with_retry_after(Duration::from_secs(1)))
}

/// Makes a call that is not idempotent, at most once per idempotency key.
async fn call_at_most_once<P: Components>(
    context: &Arc<Context<P>>,
    caller: &Caller,
    service: &Service,
    call: Call,
    fingerprint: Fingerprint,
    content: Vec<name::Part>,
) -> Result<Response<Body>, Problem> {
    let key = call.headers.get(IDEMPOTENCY_KEY_HEADER).and_then(|key| key.to_str().ok());
    let key: Key = key
        .ok_or_else(|| permanent(Kind::KeyRequired))?
        .parse()
        .map_err(|error: claim::key::Error| permanent(Kind::KeyRequired).with_detail(error))?;
    let claim_call = claim::Call {
        organisation: caller.organisation.name.clone(),
        key,
        fingerprint,
        timeout_ms: u32::try_from(service.timeout_ms).unwrap_or(u32::MAX),
    };
    let shared = Arc::clone(context);
    let service = service.clone();
    let refused = Arc::new(OnceLock::new());
    let refusal = Arc::clone(&refused);
    let verdict = context
        .claims
        .run(claim_call, move |window| async move {
            // A call that was made before has its outcome, so only one that is about to be sent is refused.
            if let Some(retry_after) = shared.quarantined_for(&content) {
                let _ = refusal.set(retry_after);
                return Err(Failure::NotSent);
            }
            dispatch(&shared, &service, &call, &content, window).await
        })
        .await;
    match (&verdict, refused.get()) {
        (Verdict::NotRun { .. }, Some(retry_after)) => {
            Err(Problem::new(Kind::Quarantined).with_retry_after(*retry_after))
        }
        _ => verdict_response(verdict),
    }
}

/// Sends a claimed call to one backend server after another until it reaches one.
async fn dispatch<P: Components>(
    context: &Context<P>,
    service: &Service,
    call: &Call,
    content: &[name::Part],
    window: claim::DispatchWindow<P::Clock>,
) -> Result<Completed<backend::Response>, Failure> {
    let mut tried = Vec::new();
    while let Some(server) = context.choose_server(service, &tried) {
        tried.push(server.name.clone());
        let result = context.backends.call_once(server.address, call, || window.is_open()).await;
        context.end_call(&server.name, result.as_ref());
        context.learn(content, server, &result).await;
        match result {
            Ok(response) => {
                let reply = to_reply(&response);
                return Ok(Completed { response, reply });
            }
            Err(backend::Error::NotSent) if window.is_open() => {}
            Err(backend::Error::NotSent) => return Err(Failure::NotSent),
            Err(_) => return Err(Failure::Unknown),
        }
    }
    Err(Failure::NotSent)
}

fn to_reply(response: &backend::Response) -> Reply {
    let headers = response.headers.iter();
    let headers = headers.filter_map(|(name, value)| Some((name.as_str(), value.to_str().ok()?)));
    Reply::new(response.status.as_u16(), headers, response.body.clone())
}

fn verdict_response(verdict: Verdict<backend::Response>) -> Result<Response<Body>, Problem> {
    let retry_after = verdict.retry_after_s().map(Duration::from_secs);
    let problem = |kind| Problem { retry_after, ..Problem::new(kind) };
    match verdict {
        Verdict::Ran(response) => Ok(to_response(response)),
        Verdict::Recorded(reply) => Ok(replay(reply)),
        Verdict::InProgress { .. } => Err(problem(Kind::InProgress)),
        Verdict::Unknown { .. } => Err(problem(Kind::UnknownOutcome)),
        Verdict::Conflict => Err(problem(Kind::KeyReused)),
        Verdict::Expired { reason, .. } => Err(problem(Kind::KeyExpired).with_detail(reason)),
        Verdict::NotRun { reason, .. } => {
            let kind = match reason {
                Reason::LogDown | Reason::Unconfirmed => Kind::LogUnavailable,
                Reason::Draining => Kind::Draining,
                _ => Kind::Busy,
            };
            Err(problem(kind).with_detail(reason))
        }
    }
}

fn to_response(source: backend::Response) -> Response<Body> {
    let mut response = Response::new(Body::from(source.body));
    *response.status_mut() = source.status;
    *response.headers_mut() = source.headers;
    response.headers_mut().remove(header::CONTENT_LENGTH);
    response
}

/// Replays a recorded response. A body that was too large to record is replaced by a header that says so.
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
struct OutcomeBody {
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    status: Option<u16>,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
}

/// Returns the outcome of the call with an idempotency key.
pub(super) async fn outcome<P: Components>(
    context: &Context<P>,
    organisation: &name::Organisation,
    key: &str,
) -> Result<Response<Body>, Problem> {
    let key: Key = key
        .parse()
        .map_err(|error: claim::key::Error| permanent(Kind::KeyRequired).with_detail(error))?;
    let (outcome, status, retry_after_s) = match context.claims.outcome(organisation, key).await {
        Status::NotRun => (Outcome::NotRun.as_str(), None, None),
        Status::InProgress { retry_after_s } => ("in_progress", None, Some(retry_after_s)),
        Status::Done(reply) => ("done", Some(reply.status), None),
        Status::Unknown => (Outcome::Unknown.as_str(), None, None),
        Status::Expired => return Err(permanent(Kind::KeyExpired)),
        Status::Unavailable { retry_after_s } => {
            let retry_after = Duration::from_secs(retry_after_s);
            return Err(Problem::new(Kind::LogUnavailable).with_retry_after(retry_after));
        }
    };
    // A struct of strings and numbers can always be encoded as JSON.
    let body =
        serde_json::to_vec(&OutcomeBody { outcome, status, retry_after_s }).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    Ok(response)
}

impl<P: Components> Context<P> {
    fn choose_server<'a>(
        &self,
        service: &'a Service,
        tried: &[name::Server],
    ) -> Option<&'a Server> {
        let leaving = self.leaving.borrow().clone();
        let mut servers = self.servers();
        let now_ms = self.clock.now_ms();
        let server =
            servers.choose(now_ms, &service.servers, tried, |name| leaving.contains(name))?;
        servers.begin(&server.name);
        Some(server)
    }

    /// When a call with this content that crashes servers may be made again; `None` if it may be made now.
    fn quarantined_for(&self, content: &[name::Part]) -> Option<Duration> {
        match self.quarantine.admit(content) {
            quarantine::Verdict::Allowed | quarantine::Verdict::Trial => None,
            quarantine::Verdict::Refused { wait_ms } => {
                Some(Duration::from_millis(wait_ms).max(MIN_QUARANTINE_RETRY_AFTER))
            }
        }
    }

    /// Records whether the server crashed under a call with this content. Returns whether it has ended.
    async fn learn(
        &self,
        content: &[name::Part],
        server: &Server,
        result: &Result<backend::Response, backend::Error>,
    ) -> bool {
        match result {
            Err(backend::Error::Lost) => {
                self.quarantine.check(content, server.name.as_str(), server.address).await
            }
            Ok(response) if response.status.is_success() => {
                self.quarantine.prove(content);
                false
            }
            _ => false,
        }
    }

    fn end_call(&self, server: &name::Server, result: Result<&backend::Response, &backend::Error>) {
        let succeeded = result.is_ok_and(|response| !response.status.is_server_error());
        if result.is_err_and(|error| *error == backend::Error::Mismatched) {
            self.instruments.dropped.with_label_values(&["crossed"]).inc();
        }
        let now_ms = self.clock.now_ms();
        self.servers().end(now_ms, server, succeeded);
    }
}
