//! A backend server or model engine in the platform's words. It counts what it runs.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, Request, Response, StatusCode};
use hyper::body::Incoming;
use nutmeghead::entry::body::{Body, Truncated};
use serde::Deserialize;
use serde_json::json;
use tokio::sync::{mpsc, watch};

use crate::web::{self, Error, Handler, Hangup, Stop};

/// Pieces of a stream that wait to be read.
const QUEUED_EVENTS: usize = 64;

/// How a server treats requests.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Behaviour {
    /// It runs them and answers.
    #[default]
    Sound,
    /// It refuses them and says that they did not run.
    Full,
    /// It refuses them and says nothing more.
    BareRefusal,
    /// It runs them and answers with a failure of its own.
    Failing,
    /// It runs them and closes the connection.
    HangingUp,
    /// It runs them and never answers.
    Silent,
    /// It answers with the id of another request.
    Crossed,
    /// It answers with a success that bears no stamp.
    Unstamped,
    /// It answers with an encoded body.
    Encoded,
    /// It breaks streams off in the middle of their third event.
    CuttingStreams,
}

/// How a server is set up.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Its name.
    pub id: String,
    /// Events of a stream.
    pub events: u64,
    /// Time between two events.
    pub interval: Duration,
}

#[derive(Debug, Default)]
struct Inner {
    behaviour: Behaviour,
    /// Whether its reports say that it leaves.
    leaving: bool,
    /// How often each request ran, by id.
    runs: HashMap<String, u32>,
    /// Heads of requests, in the order of their arrival.
    heads: Vec<HeaderMap>,
    bodies: Vec<Bytes>,
    /// Requests whose connection was closed before their stream ended.
    abandoned: Vec<String>,
    /// Running streams: events made, and the switch that stops them.
    running: HashMap<String, watch::Sender<u64>>,
}

#[derive(Debug)]
struct Service {
    settings: Settings,
    inner: Mutex<Inner>,
}

/// A running server. Dropping it stops it.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    service: Arc<Service>,
    stop: Stop,
}

impl Server {
    /// Starts a server. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let requested = settings.address;
        let (service, stop) = (Service { settings, inner: Mutex::default() }, Stop::new());
        let service = Arc::new(service);
        let address = web::serve(requested, Arc::clone(&service), stop.clone())?;
        Ok(Self { address, service, stop })
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Its name.
    pub fn id(&self) -> &str {
        &self.service.settings.id
    }

    /// Changes how requests are treated.
    pub fn set_behaviour(&self, behaviour: Behaviour) {
        self.service.lock().behaviour = behaviour;
    }

    /// Lets its reports say that it leaves.
    pub fn set_leaving(&self) {
        self.service.lock().leaving = true;
    }

    /// How often the request with this id ran.
    pub fn runs(&self, id: &str) -> u32 {
        self.service.lock().runs.get(id).copied().unwrap_or(0)
    }

    /// Requests that arrived.
    pub fn arrivals(&self) -> usize {
        self.service.lock().heads.len()
    }

    /// The head and body of the last request that arrived.
    pub fn last(&self) -> Option<(HeaderMap, Bytes)> {
        let inner = self.service.lock();
        Some((inner.heads.last()?.clone(), inner.bodies.last()?.clone()))
    }

    /// Requests whose caller left before their stream ended.
    pub fn abandoned(&self) -> Vec<String> {
        self.service.lock().abandoned.clone()
    }

    /// Closes the listener and all connections, as a killed process would.
    pub fn stop(&self) {
        self.stop.stop();
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

/// An order to copy a generation.
#[derive(Deserialize)]
struct Move {
    id: String,
    last: bool,
}

impl Service {
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn report(&self) -> Response<Body> {
        let state = if self.lock().leaving { "draining" } else { "ready" };
        let body = json!({"state": state, "leaves_ms": 5_000}).to_string();
        Response::new(Body::from(Bytes::from(body)))
    }

    async fn copy(&self, request: Request<Incoming>) -> Response<Body> {
        let Some(order) = web::parse::<Move>(request).await else {
            return whole(web::empty(StatusCode::BAD_REQUEST));
        };
        let mut inner = self.lock();
        let Some(made) = inner.running.get(&order.id).map(|made| *made.borrow()) else {
            return whole(web::empty(StatusCode::NOT_FOUND));
        };
        if order.last {
            inner.running.remove(&order.id);
        }
        let body = json!({"handle": order.id, "create_rev": made}).to_string();
        Response::new(Body::from(Bytes::from(body)))
    }

    async fn run(self: Arc<Self>, request: Request<Incoming>) -> Result<Response<Body>, Hangup> {
        let headers = request.headers().clone();
        let text = |name: &str| headers.get(name).and_then(|v| v.to_str().ok()).unwrap_or_default();
        let id = text("nutmeghead-request-id").to_owned();
        let expected = text("nutmeghead-expect-instance").to_owned();
        let streams = headers.contains_key("nutmeghead-tokens");
        let after: u64 = text("last-event-id").parse().unwrap_or(0);
        let body = web::body(request).await.ok_or(Hangup)?;
        let behaviour = {
            let mut inner = self.lock();
            inner.heads.push(headers.clone());
            inner.bodies.push(body);
            inner.behaviour
        };
        if expected != self.settings.id {
            return Ok(whole(web::empty(StatusCode::MISDIRECTED_REQUEST)));
        }
        match behaviour {
            Behaviour::Full => {
                return Ok(self.answer(
                    &id,
                    StatusCode::SERVICE_UNAVAILABLE,
                    &[("nutmeghead-not-run", "1")],
                ));
            }
            Behaviour::BareRefusal => {
                return Ok(self.answer(&id, StatusCode::SERVICE_UNAVAILABLE, &[]));
            }
            _ => *self.lock().runs.entry(id.clone()).or_default() += 1,
        }
        let stamp = ("nutmeghead-stamp", self.settings.id.as_str());
        Ok(match behaviour {
            Behaviour::Failing => self.answer(&id, StatusCode::INTERNAL_SERVER_ERROR, &[stamp]),
            Behaviour::HangingUp => return Err(Hangup),
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Crossed => self.answer("another", StatusCode::OK, &[stamp]),
            Behaviour::Unstamped => self.answer(&id, StatusCode::OK, &[]),
            Behaviour::Encoded => {
                self.answer(&id, StatusCode::OK, &[stamp, ("content-encoding", "gzip")])
            }
            _ if streams => self.stream(id, after, behaviour),
            _ => self.answer(&id, StatusCode::OK, &[stamp]),
        })
    }

    fn answer(
        &self,
        id: &str,
        status: StatusCode,
        pairs: &[(&'static str, &str)],
    ) -> Response<Body> {
        let mut response =
            Response::new(Body::from(Bytes::from(format!("by {}", self.settings.id))));
        *response.status_mut() = status;
        for (name, value) in pairs.iter().chain(&[("nutmeghead-request-id", id)]) {
            if let Ok(value) = value.parse() {
                response.headers_mut().insert(*name, value);
            }
        }
        response
    }

    /// Streams events from the one after `after` on.
    fn stream(self: &Arc<Self>, id: String, after: u64, behaviour: Behaviour) -> Response<Body> {
        let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
        let made = watch::Sender::new(after);
        let stopped = made.subscribe();
        self.lock().running.insert(id.clone(), made);
        let mut response =
            self.answer(&id, StatusCode::OK, &[("nutmeghead-stamp", &self.settings.id)]);
        *response.body_mut() = Body::Events(receiver);
        tokio::spawn(Arc::clone(self).generate(id, after, behaviour, sender, stopped));
        response
    }

    async fn generate(
        self: Arc<Self>,
        id: String,
        after: u64,
        behaviour: Behaviour,
        sender: mpsc::Sender<Result<Bytes, Truncated>>,
        mut stopped: watch::Receiver<u64>,
    ) {
        for event in after + 1..=self.settings.events {
            tokio::select! {
                () = tokio::time::sleep(self.settings.interval) => {}
                () = sender.closed() => {
                    self.lock().abandoned.push(id);
                    return;
                }
                // The switch is dropped once the generation was moved away.
                () = until_dropped(&mut stopped) => {
                    let _ = sender.send(Err(Truncated)).await;
                    return;
                }
            }
            if behaviour == Behaviour::CuttingStreams && event == after + 3 {
                let _ = sender.send(Ok(format!("id: {event}\nda").into())).await;
                let _ = sender.send(Err(Truncated)).await;
                return;
            }
            let text = format!("id: {event}\ndata: {event} by {}\n\n", self.settings.id);
            if sender.send(Ok(text.into())).await.is_err() {
                self.lock().abandoned.push(id);
                return;
            }
            if let Some(made) = self.lock().running.get(&id) {
                made.send_replace(event);
            }
        }
        self.lock().running.remove(&id);
    }
}

async fn until_dropped(made: &mut watch::Receiver<u64>) {
    while made.changed().await.is_ok() {}
}

fn whole(response: Response<http_body_util::Full<Bytes>>) -> Response<Body> {
    // The body of these answers is never looked at.
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
