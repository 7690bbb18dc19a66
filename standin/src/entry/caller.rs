//! Callers of the entry host.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};

use bytes::Bytes;
use http::{Request, StatusCode};
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use uuid::Uuid;

/// The API key of all callers.
pub(super) const KEY: &str = "k-1";

/// Deadline of each request, in milliseconds: longer than the benchmark runs.
const DEADLINE_MS: u32 = 600_000;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Errors of a caller.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The entry host cannot be reached.
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The HTTP exchange failed.
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be built.
    #[error("request: {0}")]
    Request(#[from] http::Error),
    /// The entry host answered with another status than 200.
    #[error("status {0}")]
    Status(StatusCode),
    /// A caller's task panicked or was cancelled.
    #[error("a caller ended early")]
    Task(#[from] tokio::task::JoinError),
}

/// Opens connections to one entry host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Client {
    target: SocketAddr,
}

impl Client {
    pub(super) fn new(target: SocketAddr) -> Self {
        Self { target }
    }

    async fn connect(self) -> Result<SendRequest<Full<Bytes>>, Error> {
        let stream = TcpStream::connect(self.target).await?;
        stream.set_nodelay(true)?;
        let (sender, driver) = http1::handshake(TokioIo::new(stream)).await?;
        tokio::spawn(driver);
        Ok(sender)
    }

    /// Starts callers that send plain requests one after the other, each on its own persistent connection.
    pub(super) async fn start_requests(self, count: usize) -> Result<Requests, Error> {
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        for _ in 0..count {
            let mut sender = self.connect().await?;
            let shared = Arc::clone(&shared);
            tasks.spawn(async move {
                while !shared.stop.load(Ordering::Relaxed) {
                    let response = send(&mut sender, "/lookup/1", None).await?;
                    response.into_body().collect().await?;
                    shared.count.fetch_add(1, Ordering::Relaxed);
                }
                Ok(())
            });
        }
        Ok(Requests { shared, tasks })
    }

    /// Opens streams and reads them until the returned value is dropped.
    pub(super) async fn open_streams(self, count: usize) -> Result<Streams, Error> {
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        for _ in 0..count {
            let mut sender = self.connect().await?;
            let response = send(&mut sender, "/rebuild/1", Some("1000,400")).await?;
            tasks.spawn(read(sender, response.into_body(), Arc::clone(&shared)));
        }
        Ok(Streams { shared, _tasks: tasks })
    }
}

/// State shared by the tasks of all callers.
#[derive(Debug, Default)]
struct Shared {
    stop: AtomicBool,
    /// Number of requests answered or events read.
    count: AtomicU64,
    /// Number of streams that ended.
    broken: AtomicU64,
}

/// Running callers that send plain requests.
#[derive(Debug)]
pub(super) struct Requests {
    shared: Arc<Shared>,
    tasks: JoinSet<Result<(), Error>>,
}

impl Requests {
    /// Number of requests answered so far.
    pub(super) fn answered(&self) -> u64 {
        self.shared.count.load(Ordering::Relaxed)
    }

    /// Stops the callers after their pending requests.
    pub(super) async fn stop(mut self) -> Result<(), Error> {
        self.shared.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended??;
        }
        Ok(())
    }
}

/// Open streams. Dropping them closes them.
#[derive(Debug)]
pub(super) struct Streams {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Streams {
    /// Number of events read so far.
    pub(super) fn events(&self) -> u64 {
        self.shared.count.load(Ordering::Relaxed)
    }

    /// Number of streams that ended.
    pub(super) fn broken(&self) -> u64 {
        self.shared.broken.load(Ordering::Relaxed)
    }
}

async fn send(
    sender: &mut SendRequest<Full<Bytes>>,
    path: &str,
    tokens: Option<&str>,
) -> Result<http::Response<Incoming>, Error> {
    let mut request = Request::post(path)
        .header("host", "a.example")
        .header("nutmeghead-request-id", Uuid::new_v4().to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .header("nutmeghead-deadline-ms", DEADLINE_MS);
    if let Some(tokens) = tokens {
        request = request.header("nutmeghead-tokens", tokens);
    }
    sender.ready().await?;
    let response = sender.send_request(request.body(Full::from("body"))?).await?;
    if response.status() != StatusCode::OK {
        return Err(Error::Status(response.status()));
    }
    Ok(response)
}

/// Counts the events of a stream until it ends.
async fn read(sender: SendRequest<Full<Bytes>>, mut body: Incoming, shared: Arc<Shared>) {
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.data_ref().map(Bytes::as_ref).unwrap_or_default();
        let events = data.windows(EVENT_END.len()).filter(|bytes| *bytes == EVENT_END).count();
        shared.count.fetch_add(events as u64, Ordering::Relaxed);
    }
    shared.broken.fetch_add(1, Ordering::Relaxed);
    drop(sender);
}
