//! A server that answers each request with bytes that never end.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::web::Error;

/// Bytes in one write.
const CHUNK_BYTES: usize = 64 << 10;

/// Time between two bytes of an event that is never complete.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(200);

/// Where the bytes have no end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Place {
    /// In the reason of the status line.
    Reason,
    /// In the number of interim responses.
    Interim,
    /// In a header field.
    Field,
    /// In the number of header fields.
    Head,
    /// In a body that ends with the connection.
    Body,
    /// In the length of a chunk.
    Chunk,
    /// In an extension of a chunk.
    Extension,
    /// In the fields after the last chunk.
    Trailer,
    /// In a body that ends with the connection, after the first event of a stream.
    Event,
    /// In the second event of a stream, of which a byte arrives now and then.
    Trickle,
    /// In the number of comments after the first event of a stream.
    Comments,
    /// In the number of lines of the second event of a stream, each in a chunk of its own.
    Lines,
}

impl Place {
    /// What precedes the endless bytes in the response to a request with identifier `id`.
    fn start(self, server: &str, id: &str) -> String {
        let head = format!(
            "HTTP/1.1 200 OK\r\nnutmeghead-stamp: {server}\r\nnutmeghead-request-id: {id}\r\n"
        );
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::Reason => "HTTP/1.1 200 ".to_owned(),
            Self::Interim => String::new(),
            Self::Chunk => head + chunked,
            Self::Extension => head + chunked + "1;",
            Self::Trailer => head + chunked + "0\r\n",
            Self::Field => head + "x-endless: ",
            Self::Head => head,
            Self::Body => head + "\r\n",
            Self::Event | Self::Comments => head + "\r\nid: 1\ndata: 1\n\n",
            Self::Trickle => head + "\r\nid: 1\ndata: 1\n\nid: 2\ndata: ",
            Self::Lines => head + chunked + "f\r\nid: 1\ndata: 1\n\n\r\n",
        }
    }

    fn chunk(self) -> Vec<u8> {
        match self {
            Self::Head | Self::Trailer => b"x: y\r\n".repeat(CHUNK_BYTES / 6),
            Self::Interim => b"HTTP/1.1 102 Processing\r\n\r\n".repeat(CHUNK_BYTES / 27),
            Self::Chunk => vec![b'0'; CHUNK_BYTES],
            Self::Comments => b": comment\n\n".repeat(CHUNK_BYTES / 11),
            Self::Lines => b"2\r\n:\n\r\n".repeat(CHUNK_BYTES / 7),
            Self::Reason | Self::Field | Self::Extension | Self::Body | Self::Event => {
                vec![b'a'; CHUNK_BYTES]
            }
            Self::Trickle => vec![b'a'],
        }
    }

    /// Time between two writes.
    fn interval(self) -> Duration {
        if self == Self::Trickle { TRICKLE_INTERVAL } else { Duration::ZERO }
    }
}

/// A running server, stopped on drop.
#[derive(Debug)]
pub struct Endless {
    address: SocketAddr,
    open: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Endless {
    /// Starts a server with identifier `id`. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub async fn start(address: SocketAddr, id: &'static str, place: Place) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Listen { address, source })?;
        let open = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&open);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let counter = Arc::clone(&counter);
                tokio::spawn(async move {
                    counter.fetch_add(1, Ordering::Relaxed);
                    respond(stream, id, place).await;
                    counter.fetch_sub(1, Ordering::Relaxed);
                });
            }
        });
        Ok(Self { address, open, task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Number of responses that the caller has not closed.
    pub fn open(&self) -> usize {
        self.open.load(Ordering::Relaxed)
    }
}

impl Drop for Endless {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the head of a request and writes until the caller closes.
async fn respond(mut stream: TcpStream, server: &str, place: Place) {
    let mut request = vec![0; 16 << 10];
    let Ok(length) = stream.read(&mut request).await else { return };
    let text = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let id = text.lines().find_map(|line| line.strip_prefix("nutmeghead-request-id: "));
    let start = place.start(server, id.unwrap_or_default());
    if stream.write_all(start.as_bytes()).await.is_err() {
        return;
    }
    let chunk = place.chunk();
    while stream.write_all(&chunk).await.is_ok() {
        tokio::time::sleep(place.interval()).await;
    }
}
