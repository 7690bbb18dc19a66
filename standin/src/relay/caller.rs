//! Callers that hold streams open and measure token delays.

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

/// The model that the callers request.
pub(super) const MODEL: &str = "relay";

/// Length of each generation, in tokens: long enough that no stream ends during the measurement.
const LENGTH_TOKENS: u32 = 60_000;

/// Time limit for opening all streams.
const OPEN_TIMEOUT: Duration = Duration::from_secs(20);

/// Maximum number of streams that are being opened at the same time.
const MAX_OPENING: usize = 64;

/// Delay before a stream that could not be opened is tried again.
const RETRY_DELAY: Duration = Duration::from_millis(200);

/// Errors of opening a stream.
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

/// State shared by the tasks of all streams.
#[derive(Debug)]
struct Shared {
    /// Limits the number of streams that are being opened.
    opening: Semaphore,
    /// Number of streams that have received data.
    opened: AtomicUsize,
    /// Whether delays are recorded.
    measuring: AtomicBool,
    /// The latest failure to open a stream.
    failure: Mutex<String>,
    stop: watch::Sender<bool>,
}

/// Measurement of one stream or of all streams.
#[derive(Debug, Default)]
pub(super) struct Measurement {
    /// Time from sending to arrival of each token, in microseconds; sorted in the total of all streams.
    pub(super) delays_us: Vec<u32>,
    /// Number of streams that ended early.
    pub(super) broken: usize,
    /// Duration of the measurement, in seconds.
    pub(super) seconds: f64,
}

impl Measurement {
    pub(super) fn tokens_per_s(&self) -> f64 {
        self.delays_us.len() as f64 / self.seconds.max(f64::EPSILON)
    }
}

/// Open streams. Dropping them closes them.
#[derive(Debug)]
pub(super) struct Streams {
    shared: Arc<Shared>,
    tasks: JoinSet<Measurement>,
}

impl Streams {
    /// Opens `count` streams, distributed over the targets in turn, and waits until each has received data.
    pub(super) async fn open(targets: &[SocketAddr], count: usize) -> Result<Self, Error> {
        let shared = Arc::new(Shared {
            opening: Semaphore::new(MAX_OPENING),
            opened: AtomicUsize::new(0),
            measuring: AtomicBool::new(false),
            failure: Mutex::new("none".to_owned()),
            stop: watch::Sender::new(false),
        });
        let mut tasks = JoinSet::new();
        for target in targets.iter().copied().cycle().take(count) {
            tasks.spawn(run_stream(target, Arc::clone(&shared)));
        }
        let deadline = Instant::now() + OPEN_TIMEOUT;
        while shared.opened.load(Ordering::Relaxed) < count {
            if Instant::now() > deadline {
                let opened = shared.opened.load(Ordering::Relaxed);
                let failure = shared.failure.lock().unwrap_or_else(PoisonError::into_inner).clone();
                return Err(Error::Streams { opened, requested: count, failure });
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        Ok(Self { shared, tasks })
    }

    /// Records token delays for the duration of `window`, then closes the streams.
    pub(super) async fn measure(mut self, window: Duration) -> Measurement {
        let start = Instant::now();
        self.shared.measuring.store(true, Ordering::Relaxed);
        tokio::time::sleep(window).await;
        self.shared.measuring.store(false, Ordering::Relaxed);
        let mut total =
            Measurement { seconds: start.elapsed().as_secs_f64(), ..Measurement::default() };
        self.shared.stop.send_replace(true);
        while let Some(measurement) = self.tasks.join_next().await {
            let measurement = measurement.unwrap_or_default();
            total.delays_us.extend(measurement.delays_us);
            total.broken += measurement.broken;
        }
        total.delays_us.sort_unstable();
        total
    }
}

/// Opens a stream, with retries, and reads it until it ends or `shared.stop` is set.
async fn run_stream(target: SocketAddr, shared: Arc<Shared>) -> Measurement {
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
                tokio::time::sleep(RETRY_DELAY).await;
            }
        }
    };
    let mut measurement = Measurement::default();
    read(&mut body, &shared, &mut stop, &mut measurement).await;
    measurement
}

async fn open(target: SocketAddr) -> Result<Incoming, Failure> {
    let connection = TcpStream::connect(target).await?;
    connection.set_nodelay(true)?;
    let (mut sender, driver) =
        hyper::client::conn::http1::handshake(TokioIo::new(connection)).await?;
    tokio::spawn(driver);
    let id = Uuid::new_v4();
    // Each prompt is different, so that the node does not send all streams to one engine for a common prefix.
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
    measurement: &mut Measurement,
) {
    let mut scanner = Scanner::default();
    let mut timestamps = Vec::new();
    let mut first = true;
    loop {
        let frame = tokio::select! {
            _ = stop.changed() => return,
            frame = body.frame() => frame,
        };
        let Some(Ok(frame)) = frame else {
            measurement.broken = 1;
            return;
        };
        let now_us = web::unix_us();
        scanner.scan(frame.data_ref().map(Bytes::as_ref).unwrap_or_default(), &mut timestamps);
        if std::mem::take(&mut first) {
            shared.opened.fetch_add(1, Ordering::Relaxed);
        }
        if shared.measuring.load(Ordering::Relaxed) {
            let delays = timestamps.iter().map(|sent_us| now_us.saturating_sub(*sent_us));
            measurement
                .delays_us
                .extend(delays.map(|delay_us| u32::try_from(delay_us).unwrap_or(u32::MAX)));
        }
        timestamps.clear();
    }
}
