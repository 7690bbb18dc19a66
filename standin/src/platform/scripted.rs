//! A server that answers each request with given bytes and closes the connection.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};

use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinHandle;

use crate::web::Error;

/// Stands in a script for the identifier of the request.
pub const REQUEST_ID: &str = "{id}";

/// Largest head of a request, in bytes.
const MAX_HEAD_BYTES: usize = 16 << 10;

/// A running server, stopped on drop.
#[derive(Debug)]
pub struct Scripted {
    address: SocketAddr,
    script: Arc<Mutex<Vec<u8>>>,
    received: Arc<AtomicUsize>,
    task: JoinHandle<()>,
}

impl Scripted {
    /// Starts a server that answers with `script`. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Listen`] if the address cannot be listened on.
    pub async fn start(address: SocketAddr, script: Vec<u8>) -> Result<Self, Error> {
        let listener = TcpListener::bind(address).await;
        let listener = listener.map_err(|source| Error::Listen { address, source })?;
        let received = Arc::new(AtomicUsize::new(0));
        let counter = Arc::clone(&received);
        let script = Arc::new(Mutex::new(script));
        let current = Arc::clone(&script);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let script = current.lock().unwrap_or_else(PoisonError::into_inner).clone();
                tokio::spawn(respond(stream, script, Arc::clone(&counter)));
            }
        });
        Ok(Self { address, script, received, task })
    }

    /// The address that the server listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the answer to the requests on further connections.
    pub fn set_script(&self, script: Vec<u8>) {
        *self.script.lock().unwrap_or_else(PoisonError::into_inner) = script;
    }

    /// Number of requests received.
    pub fn received(&self) -> usize {
        self.received.load(Ordering::Relaxed)
    }
}

impl Drop for Scripted {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Reads the head of a request and writes the script. Waits for the caller to close, as a close with unread bytes would
/// discard the response.
async fn respond(mut stream: TcpStream, script: Vec<u8>, received: Arc<AtomicUsize>) {
    let mut request = vec![0; MAX_HEAD_BYTES];
    let Ok(length @ 1..) = stream.read(&mut request).await else { return };
    received.fetch_add(1, Ordering::Relaxed);
    let text = String::from_utf8_lossy(&request[..length]).to_lowercase();
    let mut lines = text.lines();
    let id = lines.find_map(|line| line.split_once("request-id: ").map(|(_, id)| id));
    let response = replace(&script, REQUEST_ID.as_bytes(), id.unwrap_or_default().as_bytes());
    if stream.write_all(&response).await.is_ok() && stream.shutdown().await.is_ok() {
        while matches!(stream.read(&mut request).await, Ok(1..)) {}
    }
}

fn replace(bytes: &[u8], from: &[u8], to: &[u8]) -> Vec<u8> {
    match bytes.windows(from.len()).position(|window| window == from) {
        Some(at) => [&bytes[..at], to, &bytes[at + from.len()..]].concat(),
        None => bytes.to_vec(),
    }
}
