//! Callers with open streams.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::header::{AUTHORIZATION, CONTENT_TYPE, HOST};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::sync::{Semaphore, watch};
use tokio::task::JoinSet;
use tokio::time::Instant;
use uuid::Uuid;

use super::Error;
use super::stamp::Scanner;
use crate::web;

/// The bearer key of all callers.
pub(super) const BEARER: &str = "relay-benchmark";

/// The model that they ask for.
pub(super) const MODEL: &str = "relay";

/// Length of each generation, in tokens; longer than the streams are observed.
const LENGTH_TOKENS: u32 = 60_000;

/// Time in which all streams must open.
const OPEN_LIMIT: Duration = Duration::from_secs(20);

/// Streams that open at once.
const OPENING: usize = 64;

/// Pause before a stream that was refused is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

/// Why a stream could not be opened.
#[derive(Debug, thiserror::Error)]
enum Failure {
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    #[error("request: {0}")]
    Request(#[from] http::Error),
    #[error("status {0}")]
    Status(http::StatusCode),
}

#[derive(Debug)]
struct Shared {
    opening: Semaphore,
    opened: AtomicUsize,
    observing: AtomicBool,
    failure: Mutex<String>,
    stop: watch::Sender<bool>,
}

/// What one stream or all of them saw.
#[derive(Debug, Default)]
pub(super) struct Seen {
    /// Time from sending to arrival of each token, in microseconds, sorted.
    pub(super) delays_us: Vec<u32>,
    /// Streams that broke.
    pub(super) broken: usize,
    /// Time observed, in seconds.
    pub(super) seconds: f64,
}

impl Seen {
    pub(super) fn tokens_per_s(&self) -> f64 {
        self.delays_us.len() as f64 / self.seconds.max(f64::EPSILON)
    }
}

/// Open streams. Dropping it closes them.
#[derive(Debug)]
pub(super) struct Fleet {
    shared: Arc<Shared>,
    streams: JoinSet<Seen>,
}

impl Fleet {
    /// Opens `count` streams, spread over the targets in turn, and waits until each has brought a token.
    pub(super) async fn open(targets: &[SocketAddr], count: usize) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            opening: Semaphore::new(OPENING),
            opened: AtomicUsize::new(0),
            observing: AtomicBool::new(false),
            failure: Mutex::new("none".to_owned()),
            stop: watch::Sender::new(false),
        });
        let mut streams = JoinSet::new();
        for target in targets.iter().copied().cycle().take(count) {
            streams.spawn(stream(target, Arc::clone(&shared)));
        }
        let deadline = Instant::now() + OPEN_LIMIT;
        while shared.opened.load(Ordering::Relaxed) < count {
            if Instant::now() > deadline {
                let opened = shared.opened.load(Ordering::Relaxed);
                let failure = shared.failure.lock().unwrap_or_else(PoisonError::into_inner).clone();
                return Err(Error::Streams { opened, wanted: count, failure });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(Self { shared, streams })
    }

    /// Observes the streams for a while and closes them.
    pub(super) async fn observe(mut self, window: Duration) -> Seen {
        let from = Instant::now();
        self.shared.observing.store(true, Ordering::Relaxed);
        tokio::time::sleep(window).await;
        self.shared.observing.store(false, Ordering::Relaxed);
        let mut all = Seen { seconds: from.elapsed().as_secs_f64(), ..Seen::default() };
        self.shared.stop.send_replace(true);
        while let Some(seen) = self.streams.join_next().await {
            let seen = seen.unwrap_or_default();
            all.delays_us.extend(seen.delays_us);
            all.broken += seen.broken;
        }
        all.delays_us.sort_unstable();
        all
    }
}

/// Opens a stream, again if it is refused, and reads it until told to stop.
async fn stream(target: SocketAddr, shared: Arc<Shared>) -> Seen {
    let mut stop = shared.stop.subscribe();
    let mut body = loop {
        let permit = shared.opening.acquire().await;
        let opened = open(target).await;
        drop(permit);
        match opened {
            Ok(body) => break body,
            Err(failure) => {
                *shared.failure.lock().unwrap_or_else(PoisonError::into_inner) =
                    failure.to_string();
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    };
    let mut seen = Seen::default();
    read(&mut body, &shared, &mut stop, &mut seen).await;
    seen
}

async fn open(target: SocketAddr) -> Result<Incoming, Failure> {
    let connection = TcpStream::connect(target).await?;
    connection.set_nodelay(true)?;
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
    tokio::spawn(driver);
    let id = Uuid::new_v4();
    // Prompts differ, so that the node does not send all streams to one engine for a common prefix.
    let prompt = format!("{id} len={LENGTH_TOKENS}");
    let body = json!({ "model": MODEL, "prompt": prompt, "stream": true, "request_id": id });
    let request = Request::post("/v1/completions")
        .header(HOST, target.to_string())
        .header(AUTHORIZATION, format!("Bearer {BEARER}"))
        .header(CONTENT_TYPE, "application/json")
        .body(Full::new(Bytes::from(body.to_string())))?;
    let response = sender.send_request(request).await?;
    if !response.status().is_success() {
        return Err(Failure::Status(response.status()));
    }
    Ok(response.into_body())
}

async fn read(
    body: &mut Incoming,
    shared: &Shared,
    stop: &mut watch::Receiver<bool>,
    seen: &mut Seen,
) {
    let mut scanner = Scanner::default();
    let mut stamps = Vec::new();
    let mut first = true;
    loop {
        let frame = tokio::select! {
            _ = stop.changed() => return,
            frame = body.frame() => frame,
        };
        let Some(Ok(frame)) = frame else {
            seen.broken = 1;
            return;
        };
        let now_us = web::unix_us();
        scanner.scan(frame.data_ref().map(Bytes::as_ref).unwrap_or_default(), &mut stamps);
        if std::mem::take(&mut first) {
            shared.opened.fetch_add(1, Ordering::Relaxed);
        }
        if shared.observing.load(Ordering::Relaxed) {
            let delays = stamps.iter().map(|sent_us| now_us.saturating_sub(*sent_us));
            seen.delays_us
                .extend(delays.map(|delay_us| u32::try_from(delay_us).unwrap_or(u32::MAX)));
        }
        stamps.clear();
    }
}
