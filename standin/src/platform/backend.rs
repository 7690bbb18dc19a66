//! A backend server or model engine with the platform's interfaces. It counts the requests that it runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use nutmeghead::entry::body::{Body, Truncated};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, watch};

use crate::web::{self, Error, Handler, Hangup, Stop};

/// Number of stream events that are buffered for the reader.
const QUEUED_EVENTS: usize = 64;

mod brittle;
mod crash;
mod load;
mod process;

use brittle::Brittle;
pub use crash::CrashPoint;
use crash::Fatal;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// Runs them and answers with success.
    #[default]
    Healthy,
    /// Refuses them with 503 and states with `nutmeghead-not-run` that they did not run.
    Overloaded,
    /// Refuses them with 503, without `nutmeghead-not-run`.
    Unavailable,
    /// Runs them and answers with 500.
    Failing,
    /// Runs them and closes the connection without a response.
    Disconnecting,
    /// Runs them and never answers.
    Silent,
    /// Runs them and answers with the identifier of another request.
    Crossed,
    /// Runs them and answers with success, but without a `nutmeghead-stamp` header.
    Unstamped,
    /// Runs them and states a content encoding in the response.
    Encoded,
    /// Breaks streams in the middle of their third event.
    TruncatingStreams,
    /// Ends streams in the middle of their third event, with the end of the body marked as usual.
    UnfinishedStreams,
    /// Breaks streams before their first event.
    EmptyStreams,
    /// Refuses them with 503 and states with `nutmeghead-declined` that another host may serve them.
    Declining,
}

/// Settings of a server.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Identifier of the server.
    pub id: String,
    /// Number of events of a stream.
    pub events: u64,
    /// Time between two events.
    pub interval: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    behaviour: Behaviour,
    /// Whether responses have neither a length nor chunks and end with their connection.
    unframed: bool,
    /// Time between stopping a generation and the response that confirms it.
    stop_delay: Duration,
    /// Whether its reports state that the server is draining.
    leaving: bool,
    /// Whether its responses state that the server leaves.
    announces_leaving: bool,
    /// Value of `server-limit` in responses.
    limit: Option<&'static str>,
    /// Value of `nutmeghead-cold-ms` in responses.
    cold_ms: Option<&'static str>,
    /// When requests arrived, in their order.
    arrivals: Vec<Instant>,
    /// Value of `retry-after` in refusals.
    retry_after: Option<&'static str>,
    /// Number of runs, by request identifier.
    runs: HashMap<String, u32>,
    /// Headers of requests, in the order of arrival.
    headers: Vec<HeaderMap>,
    /// Bodies of requests, in the order of arrival.
    bodies: Vec<Bytes>,
    /// Identifiers of requests whose caller disconnected before the end of the stream.
    abandoned: Vec<String>,
    /// The requests that crash this server.
    fatal: Option<Fatal>,
    /// Time for which calls other than streams run.
    work_time: Duration,
    /// When it falls over, if it is brittle.
    brittle: Option<Brittle>,
    load: brittle::Load,
    /// What its responses state of its load, if they do, and how long it takes.
    speed: load::Speed,
    /// Build of the process and when it started, if its reports and events state them.
    process: Option<(&'static str, u64)>,
    /// Whether it plays another entry host, which runs requests for any server.
    is_host: bool,
    /// Whether it is about to end.
    is_crashing: bool,
    /// When it crashed.
    crashes: Vec<Instant>,
    /// Number of events produced, by the request identifier of a running stream. Removing the sender stops the stream.
    running: HashMap<String, watch::Sender<u64>>,
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    inner: Mutex<Inner>,
    /// Stops the listener of the current process, which a crash replaces; `None` before the first one.
    stop: Mutex<Option<Stop>>,
}

/// A running server, stopped on drop.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    service: Arc<Service>,
}

impl Server {
    /// Starts a server. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let requested = settings.address;
        let service =
            Arc::new(Service { settings, inner: Mutex::default(), stop: Mutex::default() });
        let address = service.listen(requested)?;
        Ok(Self { address, service })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Identifier of the server.
    pub fn id(&self) -> &str {
        &self.service.settings.id
    }

    /// Changes how requests are treated.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.service.lock().behaviour = behaviour;
    }

    /// Sends responses with neither a length nor chunks, which end with their connection.
    pub fn set_unframed(&self) {
        self.service.lock().unframed = true;
    }

    /// Delays the response to a request to stop a generation until this long after it was stopped.
    pub fn set_stop_delay(&self, delay: Duration) {
        self.service.lock().stop_delay = delay;
    }

    /// Makes the server's reports state that it is draining.
    pub fn set_leaving(&self) {
        self.service.lock().leaving = true;
    }

    /// Makes the server's responses state whether it leaves.
    pub fn announce_leaving(&self, leaving: bool) {
        self.service.lock().announces_leaving = leaving;
    }

    /// Sets the value of `retry-after` in refusals.
    pub fn set_retry_after(&self, value: &'static str) {
        self.service.lock().retry_after = Some(value);
    }

    /// Plays another entry host, which runs requests for any server.
    pub fn set_host(&self) {
        self.service.lock().is_host = true;
    }

    /// Sets the limit that responses name, in requests a second.
    pub fn set_limit(&self, per_s: Option<&'static str>) {
        self.service.lock().limit = per_s;
    }

    /// Number of requests that arrived at `from` or later.
    pub fn received_since(&self, from: Instant) -> usize {
        self.service.lock().arrivals.iter().filter(|at| **at >= from).count()
    }

    /// When requests arrived whose identifier begins with `start`.
    pub fn arrivals_of(&self, start: &str) -> Vec<Instant> {
        let inner = self.service.lock();
        let id = |headers: &HeaderMap| headers.get("nutmeghead-request-id").cloned();
        let begins =
            |headers| id(headers).is_some_and(|id| id.as_bytes().starts_with(start.as_bytes()));
        let arrivals = inner.arrivals.iter().zip(&inner.headers);
        arrivals.filter(|(_, headers)| begins(headers)).map(|(at, _)| *at).collect()
    }

    /// The most requests that arrived within `window`, at `from` or later.
    pub fn most_received(&self, window: Duration, from: Instant) -> usize {
        let arrivals = self.service.lock().arrivals.clone();
        let later = arrivals.iter().filter(|at| **at >= from);
        let within = |start: &Instant| {
            arrivals.iter().filter(|at| **at >= *start && **at < *start + window).count()
        };
        later.map(within).max().unwrap_or(0)
    }

    /// Number of runs of the request with this identifier.
    pub fn runs(&self, id: &str) -> u32 {
        self.service.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Number of requests received.
    pub fn received(&self) -> usize {
        self.service.lock().headers.len()
    }

    /// Headers and body of the last request received.
    pub fn last_request(&self) -> Option<(HeaderMap, Bytes)> {
        let inner = self.service.lock();
        Some((inner.headers.last()?.clone(), inner.bodies.last()?.clone()))
    }

    /// Identifiers of requests whose caller disconnected before the end of the stream.
    pub fn abandoned(&self) -> Vec<String> {
        self.service.lock().abandoned.clone()
    }

    /// Closes the listener and all connections, as a killed process would.
    pub fn stop(&self) {
        self.service.stop();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// A request as it arrived.
#[derive(Debug)]
struct Received {
    headers: HeaderMap,
    path: String,
    body: Bytes,
}

impl Received {
    /// The value of a header; empty without one.
    fn text(&self, name: &str) -> &str {
        self.headers.get(name).and_then(|value| value.to_str().ok()).unwrap_or_default()
    }
}

/// A request to copy a generation, and to stop it if `last`.
#[derive(Deserialize)]
struct Move {
    id: String,
    last: bool,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Listens on `address` as a new process.
    fn listen(self: &Arc<Self>, address: SocketAddr) -> Result<SocketAddr, Error> {
        let stop = Stop::new();
        let address = web::serve(address, Arc::clone(self), stop.clone())?;
        *self.stop.lock().unwrap_or_else(PoisonError::into_inner) = Some(stop);
        Ok(address)
    }

    fn stop(&self) -> Option<Stop> {
        let stop = self.stop.lock().unwrap_or_else(PoisonError::into_inner).clone();
        if let Some(stop) = &stop {
            stop.stop();
        }
        stop
    }

    async fn copy(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(order) = web::parse::<Move>(request).await else {
            return without_body(web::empty(StatusCode::BAD_REQUEST));
        };
        let (produced, delay) = {
            let mut inner = self.lock();
            let Some(produced) = inner.running.get(&order.id).map(|produced| *produced.borrow())
            else {
                return without_body(web::empty(StatusCode::NOT_FOUND));
            };
            if order.last {
                inner.running.remove(&order.id);
            }
            (produced, if order.last { inner.stop_delay } else { Duration::ZERO })
        };
        tokio::time::sleep(delay).await;
        let body = json!({"handle": order.id, "create_rev": produced}).to_string();
        Response::new(Body::from(Bytes::from(body)))
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let headers = request.headers().clone();
        let path = request.uri().path().to_owned();
        let body = web::body(request).await.ok_or(Hangup)?;
        let request = Received { headers, path, body };
        let id = request.text("nutmeghead-request-id").to_owned();
        let streams = request.headers.contains_key("nutmeghead-tokens");
        let after: u64 = request.text("last-event-id").parse().unwrap_or(0);
        let behaviour = {
            let mut inner = self.lock();
            inner.arrivals.push(Instant::now());
            inner.headers.push(request.headers.clone());
            inner.bodies.push(request.body.clone());
            inner.behaviour
        };
        let is_other = request.text("nutmeghead-expect-instance") != self.settings.id;
        if is_other && !self.lock().is_host {
            return Ok(without_body(web::empty(StatusCode::MISDIRECTED_REQUEST)));
        }
        let Some(_place) = self.enter() else {
            let not_run = [("nutmeghead-not-run", "1")];
            return Ok(self.respond(&id, StatusCode::SERVICE_UNAVAILABLE, &not_run));
        };
        let crash = self.crash(&request);
        match behaviour {
            Behaviour::Overloaded => {
                let mut headers = vec![("nutmeghead-not-run", "1")];
                headers.extend(self.lock().retry_after.map(|value| ("retry-after", value)));
                return Ok(self.respond(&id, StatusCode::SERVICE_UNAVAILABLE, &headers));
            }
            Behaviour::Unavailable => {
                return Ok(self.respond(&id, StatusCode::SERVICE_UNAVAILABLE, &[]));
            }
            Behaviour::Declining => {
                let declined = [("nutmeghead-declined", "no_server")];
                return Ok(self.respond(&id, StatusCode::SERVICE_UNAVAILABLE, &declined));
            }
            _ => *self.lock().runs.entry(id.clone()).or_default() += 1,
        }
        if let Some(crash) = crash {
            return self.crash_under(&id, crash).await;
        }
        tokio::time::sleep(self.time_to_head(streams)).await;
        let stamp = ("nutmeghead-stamp", self.settings.id.as_str());
        Ok(match behaviour {
            Behaviour::Failing => self.respond(&id, StatusCode::INTERNAL_SERVER_ERROR, &[stamp]),
            Behaviour::Disconnecting => return Err(Hangup),
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Crossed => self.respond("another", StatusCode::OK, &[stamp]),
            Behaviour::Unstamped => self.respond(&id, StatusCode::OK, &[]),
            Behaviour::Encoded => {
                self.respond(&id, StatusCode::OK, &[stamp, ("content-encoding", "gzip")])
            }
            _ if streams => self.stream(id, after, behaviour),
            _ => self.respond(&id, StatusCode::OK, &[stamp]),
        })
    }

    fn respond(
        &self,
        id: &str,
        status: StatusCode,
        headers: &[(&'static str, &str)],
    ) -> Response<Body> {
        let mut response =
            Response::new(Body::from(Bytes::from(format!("by {}", self.settings.id))));
        *response.status_mut() = status;
        let leaving = self.lock().announces_leaving.then_some(("server-leaving", "1"));
        let limit = self.lock().limit.map(|per_s| ("server-limit", per_s));
        let brittle = self.lock().brittle.map(|brittle| brittle.limit.to_string());
        let brittle = brittle.as_deref().map(|limit| ("server-brittle", limit));
        let own = [("nutmeghead-request-id", id)].into_iter();
        let cold = self.lock().cold_ms.map(|left_ms| ("nutmeghead-cold-ms", left_ms));
        let load = self.load_text();
        let load = load.as_deref().map(|load| ("nutmeghead-load", load));
        let own = own.chain(leaving).chain(limit).chain(brittle).chain(cold).chain(load);
        for (name, value) in headers.iter().copied().chain(own) {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(name, value);
            }
        }
        response
    }

    /// Streams the events that follow event `after`.
    fn stream(self: &Arc<Self>, id: String, after: u64, behaviour: Behaviour) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
        let produced = watch::Sender::new(after);
        let progress = produced.subscribe();
        self.lock().running.insert(id.clone(), produced);
        let stamp = ("nutmeghead-stamp", self.settings.id.as_str());
        let event_stream = ("content-type", "text/event-stream");
        let mut response = self.respond(&id, StatusCode::OK, &[stamp, event_stream]);
        *response.body_mut() = Body::Events(receiver);
        if self.lock().unframed {
            // Bodies of unknown length end with the connection in this version.
            *response.version_mut() = http::Version::HTTP_10;
        }
        tokio::spawn(Arc::clone(self).generate(id, after, behaviour, sender, progress));
        response
    }

    async fn generate(
        self: Arc<Self>,
        id: String,
        after: u64,
        behaviour: Behaviour,
        sender: mpsc::Sender<Result<Bytes, Truncated>>,
        mut progress: watch::Receiver<u64>,
    ) {
        for event in after + 1..=self.settings.events {
            tokio::select! {
                () = tokio::time::sleep(self.interval(event)) => {}
                () = sender.closed() => {
                    self.lock().abandoned.push(id);
                    return;
                }
                // The sender is dropped when the generation has been moved to another server.
                () = wait_until_dropped(&mut progress) => {
                    if self.lock().is_crashing {
                        return crash::break_off(&sender, event).await;
                    }
                    let _ = sender.send(Err(Truncated)).await;
                    return;
                }
            }
            match behaviour {
                Behaviour::EmptyStreams => {
                    let _ = sender.send(Err(Truncated)).await;
                    return;
                }
                Behaviour::TruncatingStreams if event == after + 3 => {
                    return crash::break_off(&sender, event).await;
                }
                Behaviour::UnfinishedStreams if event == after + 3 => {
                    let _ = sender.send(Ok(format!("id: {event}\nda").into())).await;
                    return;
                }
                _ => {}
            }
            let build = self.build_text();
            let text = format!("id: {event}\ndata: {event} by {}{build}\n\n", self.settings.id);
            if sender.send(Ok(text.into())).await.is_err() {
                self.lock().abandoned.push(id);
                return;
            }
            if let Some(produced) = self.lock().running.get(&id) {
                produced.send_replace(event);
            }
        }
        self.lock().running.remove(&id);
    }
}

async fn wait_until_dropped(produced: &mut watch::Receiver<u64>) {
    while produced.changed().await.is_ok() {}
}

fn without_body(response: Response<http_body_util::Full<Bytes>>) -> Response<Body> {
    // Callers do not read the body of these responses.
    response.map(|_| Body::from(Bytes::new()))
}

impl Handler for Service {
    type Body = Body;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        match (request.method(), request.uri().path()) {
            (&Method::POST, "/api/kv-move") => Ok(self.copy(request).await),
            (&Method::GET, "/api/report") => Ok(self.report()),
            _ => self.run(request).await,
        }
    }
}
