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

/// The callers' key.
pub(super) const KEY: &str = "k-1";

/// How long a caller waits for its answer, in milliseconds: longer than the benchmark.
const PATIENCE_MS: u32 = 600_000;

/// The blank line that ends an event.
const EVENT_END: &[u8] = b"\n\n";

/// Why a caller failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The entry host cannot be reached.
    #[error("connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The exchange failed.
    #[error("HTTP: {0}")]
    Http(#[from] hyper::Error),
    /// The request could not be made.
    #[error("request: {0}")]
    Request(#[from] http::Error),
    /// The entry host refused.
    #[error("status {0}")]
    Status(StatusCode),
    /// A caller's task was lost.
    #[error("a caller ended early")]
    Task(#[from] tokio::task::JoinError),
}

/// Makes callers of one entry host.
#[derive(Clone, Copy, Debug)]
pub(super) struct Callers {
    target: SocketAddr,
}

impl Callers {
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

    /// Starts callers that send plain requests one after the other, each on a connection that it keeps.
    pub(super) async fn start_plain(self, count: usize) -> Result<Plain, Error> {
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        for _ in 0..count {
            let mut sender = self.connect().await?;
            let shared = Arc::clone(&shared);
            tasks.spawn(async move {
                while !shared.stop.load(Ordering::Relaxed) {
                    let answer = exchange(&mut sender, "/lookup/1", None).await?;
                    answer.into_body().collect().await?;
                    shared.count.fetch_add(1, Ordering::Relaxed);
                }
                Ok(())
            });
        }
        Ok(Plain { shared, tasks })
    }

    /// Opens streams and reads them until the answer is dropped.
    pub(super) async fn open_streams(self, count: usize) -> Result<Streams, Error> {
        let shared = Arc::new(Shared::default());
        let mut tasks = JoinSet::new();
        for _ in 0..count {
            let mut sender = self.connect().await?;
            let answer = exchange(&mut sender, "/rebuild/1", Some("1000,400")).await?;
            tasks.spawn(read(sender, answer.into_body(), Arc::clone(&shared)));
        }
        Ok(Streams { shared, _tasks: tasks })
    }
}

#[derive(Debug, Default)]
struct Shared {
    stop: AtomicBool,
    /// Requests answered, or events read.
    count: AtomicU64,
    broken: AtomicU64,
}

/// Callers of plain requests.
#[derive(Debug)]
pub(super) struct Plain {
    shared: Arc<Shared>,
    tasks: JoinSet<Result<(), Error>>,
}

impl Plain {
    /// Requests answered so far.
    pub(super) fn answered(&self) -> u64 {
        self.shared.count.load(Ordering::Relaxed)
    }

    /// Waits for the last answers.
    pub(super) async fn stop(mut self) -> Result<(), Error> {
        self.shared.stop.store(true, Ordering::Relaxed);
        while let Some(ended) = self.tasks.join_next().await {
            ended??;
        }
        Ok(())
    }
}

/// Open streams. Dropping it closes them.
#[derive(Debug)]
pub(super) struct Streams {
    shared: Arc<Shared>,
    _tasks: JoinSet<()>,
}

impl Streams {
    /// Events read so far.
    pub(super) fn events(&self) -> u64 {
        self.shared.count.load(Ordering::Relaxed)
    }

    /// Streams that ended.
    pub(super) fn broken(&self) -> u64 {
        self.shared.broken.load(Ordering::Relaxed)
    }
}

async fn exchange(
    sender: &mut SendRequest<Full<Bytes>>,
    path: &str,
    tokens: Option<&str>,
) -> Result<http::Response<Incoming>, Error> {
    let mut request = Request::post(path)
        .header("host", "a.example")
        .header("nutmeghead-request-id", Uuid::new_v4().to_string())
        .header("authorization", format!("Bearer {KEY}"))
        .header("nutmeghead-deadline-ms", PATIENCE_MS);
    if let Some(tokens) = tokens {
        request = request.header("nutmeghead-tokens", tokens);
    }
    sender.ready().await?;
    let answer = sender.send_request(request.body(Full::from("body"))?).await?;
    if answer.status() != StatusCode::OK {
        return Err(Error::Status(answer.status()));
    }
    Ok(answer)
}

async fn read(sender: SendRequest<Full<Bytes>>, mut body: Incoming, shared: Arc<Shared>) {
    while let Some(Ok(frame)) = body.frame().await {
        let data = frame.data_ref().map(Bytes::as_ref).unwrap_or_default();
        let ends = data.windows(EVENT_END.len()).filter(|bytes| *bytes == EVENT_END).count();
        shared.count.fetch_add(ends as u64, Ordering::Relaxed);
    }
    shared.broken.fetch_add(1, Ordering::Relaxed);
    drop(sender);
}
