//! A stand-in for the rate-limited weight store.

pub mod flags;

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use bytes::Bytes;
use http::header::RETRY_AFTER;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use serde::{Deserialize, Serialize};
use serde_json::json;
use tokio::time::Instant;
use uuid::Uuid;

use crate::bucket::Bucket;
use crate::control::set_if_some;
use crate::web::{self, Error, Handler, Hangup, Stop};

/// Settings of a weight store at its start.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Where to listen.
    pub address: SocketAddr,
    /// Grants per second.
    pub rate: f64,
    /// Largest number of grants at once.
    pub burst: f64,
}

impl Default for Settings {
    fn default() -> Self {
        Self { address: SocketAddr::from(([127, 0, 0, 1], 0)), rate: 1.0, burst: 2.0 }
    }
}

/// A change of faults and limits; absent fields stay unchanged.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Change {
    /// Whether all calls are refused with 503.
    pub down: Option<bool>,
    /// Grants per second.
    pub rate: Option<f64>,
    /// Largest number of grants at once.
    pub burst: Option<f64>,
}

/// Faults, limits and counters.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct State {
    /// Whether all calls are refused with 503.
    pub down: bool,
    /// Grants per second.
    pub rate: f64,
    /// Largest number of grants at once.
    pub burst: f64,
    /// Number of grants.
    pub granted: u64,
    /// Requests refused because of the rate limit.
    pub limited: u64,
}

#[derive(Debug, Deserialize)]
struct GrantRequest {
    model: String,
    version: String,
}

#[derive(Debug)]
struct Store {
    inner: Mutex<(State, Bucket)>,
}

/// A running weight store, stopped on drop.
///
/// ```
/// # tokio::runtime::Runtime::new()?.block_on(async {
/// let weights = standin::weights::Server::start(standin::weights::Settings::default())?;
/// assert_eq!(weights.state().granted, 0);
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    store: Arc<Store>,
    stop: Stop,
}

impl Server {
    /// Starts a weight store. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub fn start(settings: Settings) -> Result<Self, Error> {
        let stop = Stop::new();
        let Settings { address, rate, burst } = settings;
        let state = State { down: false, rate, burst, granted: 0, limited: 0 };
        let store = Arc::new(Store { inner: Mutex::new((state, Bucket::new(burst))) });
        let address = web::serve(address, Arc::clone(&store), stop.clone())?;
        Ok(Self { address, store, stop })
    }

    /// The address that the weight store listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes faults and limits.
    pub fn control(&self, change: Change) {
        self.store.control(change);
    }

    /// Faults, limits and counters.
    pub fn state(&self) -> State {
        self.store.lock().0.clone()
    }

    /// Closes the listener and all connections.
    pub fn stop(&self) {
        self.stop.stop();
    }

    /// Waits until the weight store is stopped and its connections are closed.
    pub async fn stopped(&self) {
        self.stop.closed().await;
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.stop();
    }
}

impl Store {
    fn lock(&self) -> MutexGuard<'_, (State, Bucket)> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn control(&self, change: Change) {
        let state = &mut self.lock().0;
        set_if_some(&mut state.down, change.down);
        set_if_some(&mut state.rate, change.rate);
        set_if_some(&mut state.burst, change.burst);
    }

    fn grant(&self, request: &GrantRequest) -> Response<Full<Bytes>> {
        let (state, bucket) = &mut *self.lock();
        if state.down {
            return web::error(StatusCode::SERVICE_UNAVAILABLE, "outage");
        }
        if let Err(wait_s) = bucket.try_acquire(Instant::now(), state.rate, state.burst.max(1.0)) {
            state.limited += 1;
            let mut response = web::error(StatusCode::TOO_MANY_REQUESTS, "rate");
            response.headers_mut().insert(RETRY_AFTER, (wait_s.ceil() as u64).into());
            return response;
        }
        state.granted += 1;
        let answer =
            json!({ "grant": Uuid::new_v4(), "model": request.model, "version": request.version });
        web::json(StatusCode::OK, &answer)
    }
}

impl Handler for Store {
    type Body = Full<Bytes>;

    async fn handle(
        self: Arc<Self>,
        request: Request<Incoming>,
    ) -> Result<Response<Full<Bytes>>, Hangup> {
        let path = request.uri().path().to_owned();
        let is_post = *request.method() == Method::POST;
        let malformed = || web::error(StatusCode::BAD_REQUEST, "request");
        Ok(match (path.as_str(), is_post) {
            ("/grants", true) => web::parse::<GrantRequest>(request)
                .await
                .map_or_else(malformed, |request| self.grant(&request)),
            ("/control", true) => match web::parse::<Change>(request).await {
                Some(change) => {
                    self.control(change);
                    web::json(StatusCode::OK, &self.lock().0)
                }
                None => malformed(),
            },
            ("/control", false) => web::json(StatusCode::OK, &self.lock().0),
            _ => web::empty(StatusCode::NOT_FOUND),
        })
    }
}
