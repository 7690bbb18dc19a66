//! The HTTP interface of the log.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::Full;
use hyper::body::Incoming;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde_json::json;
use tokio::time::Instant;

use super::Settings;
use super::control::{Change, State};
use super::stream::{Batch, Record, Stream};
use crate::bucket::Bucket;
use crate::control::Signal;
use crate::web::{self, Handler, Hangup};

/// Largest number of records in a response.
const MAX_RECORDS: u64 = 1_000;

/// Longest wait of a read for new records, in milliseconds.
const MAX_WAIT_MS: u64 = 60_000;

type Answer = Result<Response<Full<Bytes>>, Hangup>;

/// The outcome of an append.
enum Outcome {
    Appended(u64),
    Lost,
    Limited,
    Refused,
}

#[derive(Debug)]
struct Inner {
    state: State,
    streams: BTreeMap<String, Stream>,
    bucket: Bucket,
    rng: StdRng,
}

/// The state behind the HTTP interface.
#[derive(Debug)]
pub(super) struct Service {
    inner: Mutex<Inner>,
    /// Signals appends, and changes of faults and limits.
    changed: Signal,
}

impl Service {
    pub(super) fn new(settings: Settings) -> Self {
        let state = State {
            append_rate: settings.append_rate,
            retention_records: settings.retention_records,
            retention_ms: settings.retention_ms,
            ..State::default()
        };
        let inner = Inner {
            bucket: Bucket::new(state.append_rate),
            state,
            streams: BTreeMap::new(),
            rng: StdRng::seed_from_u64(settings.seed),
        };
        Self { inner: Mutex::new(inner), changed: Signal::new() }
    }

    pub(super) fn control(&self, change: Change) {
        self.lock().state.apply(change);
        self.changed.notify();
    }

    pub(super) fn state(&self) -> State {
        let inner = self.lock();
        let streams = inner
            .streams
            .iter()
            .map(|(name, stream)| (name.clone(), stream.next_offset()))
            .collect();
        State { streams, ..inner.state.clone() }
    }

    pub(super) fn append(&self, stream: &str, body: Bytes) -> u64 {
        let offset = self.lock().append(stream, body);
        self.changed.notify();
        offset
    }

    pub(super) fn records(&self, stream: &str) -> Vec<Record> {
        let mut inner = self.lock();
        inner.retain(stream);
        inner.streams.get(stream).map(Stream::records).unwrap_or_default()
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Waits while the log is frozen, then for the delay of a call.
    async fn delay(&self) {
        self.changed.wait_while(|| self.lock().state.frozen).await;
        let slow_ms = self.lock().state.slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    async fn handle_append(&self, stream: &str, request: Request<Incoming>) -> Answer {
        let Some(body) = web::body(request).await else {
            return Ok(web::error(StatusCode::BAD_REQUEST, "body"));
        };
        self.delay().await;
        let outcome = self.lock().try_append(stream, body);
        self.changed.notify();
        match outcome {
            Outcome::Appended(offset) => {
                Ok(web::json(StatusCode::CREATED, &json!({ "offset": offset })))
            }
            Outcome::Lost => Err(Hangup),
            Outcome::Limited => Ok(web::error(StatusCode::TOO_MANY_REQUESTS, "rate")),
            Outcome::Refused => Ok(web::error(StatusCode::SERVICE_UNAVAILABLE, "outage")),
        }
    }

    async fn handle_read(&self, stream: &str, request: Request<Incoming>) -> Answer {
        let from = web::query(&request, "from").unwrap_or(0);
        let limit = web::query(&request, "limit").unwrap_or(MAX_RECORDS).min(MAX_RECORDS) as usize;
        let wait_ms = web::query(&request, "wait_ms").unwrap_or(0).min(MAX_WAIT_MS);
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut version = self.changed.subscribe();
        loop {
            self.delay().await;
            version.mark_unchanged();
            let Some(batch) = self.lock().read(stream, from, limit) else {
                return Ok(web::error(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            };
            let timed_out = Instant::now() >= deadline;
            if !batch.records.is_empty() || timed_out {
                self.lock().state.reads += 1;
                return Ok(web::json(StatusCode::OK, &batch));
            }
            let _ = tokio::time::timeout_at(deadline, version.changed()).await;
        }
    }

    async fn handle_control(&self, request: Request<Incoming>) -> Answer {
        if request.method() == Method::POST {
            let Some(change) = web::parse::<Change>(request).await else {
                return Ok(web::error(StatusCode::BAD_REQUEST, "change"));
            };
            self.control(change);
        }
        Ok(web::json(StatusCode::OK, &self.state()))
    }
}

impl Inner {
    fn now_ms(&self) -> u64 {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        (now.as_millis() as u64).saturating_add_signed(self.state.clock_offset_ms)
    }

    fn retain(&mut self, stream: &str) {
        let oldest_ms = self.now_ms().saturating_sub(self.state.retention_ms);
        if let Some(stream) = self.streams.get_mut(stream) {
            stream.retain(self.state.retention_records, oldest_ms);
        }
    }

    fn append(&mut self, stream: &str, body: Bytes) -> u64 {
        let now_ms = self.now_ms();
        let offset = self.streams.entry(stream.to_owned()).or_default().append(now_ms, body);
        self.state.appends += 1;
        self.retain(stream);
        offset
    }

    /// Appends a record, subject to faults and limits.
    fn try_append(&mut self, stream: &str, body: Bytes) -> Outcome {
        if self.state.down || self.state.refuse > 0 {
            self.state.refuse = self.state.refuse.saturating_sub(1);
            self.state.refused += 1;
            return Outcome::Refused;
        }
        if !self.acquire_token() {
            self.state.limited += 1;
            return Outcome::Limited;
        }
        let offset = self.append(stream, body);
        let lost_at_random = self.rng.random_range(0..1_000) < self.state.lose_permille;
        if self.state.lose > 0 || lost_at_random {
            self.state.lose = self.state.lose.saturating_sub(1);
            self.state.lost += 1;
            return Outcome::Lost;
        }
        Outcome::Appended(offset)
    }

    fn acquire_token(&mut self) -> bool {
        let rate = self.state.append_rate;
        self.bucket.try_acquire(Instant::now(), rate, rate.max(1.0)).is_ok()
    }

    /// Reads records; none while calls are refused.
    fn read(&mut self, stream: &str, from: u64, limit: usize) -> Option<Batch> {
        if self.state.down {
            self.state.refused += 1;
            return None;
        }
        self.retain(stream);
        let empty = Stream::default();
        Some(self.streams.get(stream).unwrap_or(&empty).read(from, limit))
    }
}

impl Handler for Service {
    type Body = Full<Bytes>;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if path == "/control" {
            return self.handle_control(request).await;
        }
        let stream = path.strip_prefix("/streams/").and_then(|rest| rest.strip_suffix("/records"));
        let Some(stream) = stream else {
            return Ok(web::empty(StatusCode::NOT_FOUND));
        };
        if *request.method() == Method::POST {
            self.handle_append(stream, request).await
        } else {
            self.handle_read(stream, request).await
        }
    }
}
