use http_body_util::Full;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::task::JoinHandle;

use super::*;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Time allowed for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

#[derive(Clone)]
struct Ok200;

impl Responder for Ok200 {
    type Body = Full<Bytes>;

    async fn respond(&self, _: Request<Incoming>) -> Response<Full<Bytes>> {
        Response::new(Full::new(Bytes::from_static(b"whole")))
    }
}

/// A running listener.
struct Server {
    address: SocketAddr,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start() -> Server {
    let listener = bind(([127, 0, 0, 1], 0).into()).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = watch::Sender::new(false);
    let task = tokio::spawn(serve(listener, Ok200, Limits::default(), stop.subscribe()));
    Server { address, stop, task }
}

/// Reads until the end of the connection, or until a response is complete. Empty if the connection was cut off.
async fn read_response(socket: &mut TcpStream) -> String {
    let mut received = Vec::new();
    while !received.ends_with(b"whole") {
        let mut bytes = [0; 1_024];
        let read = tokio::time::timeout(TIMEOUT, socket.read(&mut bytes)).await.expect("in time");
        match read {
            Ok(0) | Err(_) => break,
            Ok(length) => received.extend_from_slice(&bytes[..length]),
        }
    }
    String::from_utf8_lossy(&received).into_owned()
}

/// Asserts that `response` is complete and tells the caller to send nothing more on its connection.
fn assert_last(response: &str) {
    assert!(response.starts_with("HTTP/1.1 200"), "{response:?}");
    assert!(response.contains("connection: close"), "{response:?}");
}

/// Guards against a request that is in the socket of a kept connection when the listener stops, and is cut off.
#[tokio::test]
async fn a_request_on_a_kept_connection_during_the_stop_gets_a_response() {
    let server = start().await;
    let mut socket = TcpStream::connect(server.address).await.expect("a connection");
    socket.write_all(REQUEST).await.expect("sent");
    assert!(!read_response(&mut socket).await.contains("connection: close"));
    server.stop.send_replace(true);
    // The server's tasks do not run between the stop and this request.
    assert_eq!(socket.try_write(REQUEST).ok(), Some(REQUEST.len()));
    assert_last(&read_response(&mut socket).await);
    server.task.await.expect("the listener ends");
}

/// Guards against connections that the operating system has accepted, but not yet the process, and are reset.
#[tokio::test]
async fn a_request_on_a_connection_in_the_backlog_during_the_stop_gets_a_response() {
    use std::io::Write as _;
    let server = start().await;
    let mut socket = std::net::TcpStream::connect(server.address).expect("a connection");
    socket.write_all(REQUEST).expect("sent");
    server.stop.send_replace(true);
    socket.set_nonblocking(true).expect("set");
    let mut socket = TcpStream::from_std(socket).expect("a socket");
    assert_last(&read_response(&mut socket).await);
    server.task.await.expect("the listener ends");
}

/// Guards against a connection that is closed because it has not sent anything yet.
#[tokio::test]
async fn the_first_request_on_a_new_connection_during_the_stop_gets_a_response() {
    let server = start().await;
    let mut socket = TcpStream::connect(server.address).await.expect("a connection");
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.stop.send_replace(true);
    tokio::task::yield_now().await;
    tokio::time::sleep(Duration::from_millis(20)).await;
    let _ = socket.write_all(REQUEST).await;
    assert_last(&read_response(&mut socket).await);
    server.task.await.expect("the listener ends");
}

/// Guards against a stop that waits for idle connections.
#[tokio::test]
async fn idle_connections_are_closed_after_the_stop() {
    let server = start().await;
    let mut socket = TcpStream::connect(server.address).await.expect("a connection");
    tokio::time::sleep(Duration::from_millis(50)).await;
    server.stop.send_replace(true);
    tokio::time::timeout(TIMEOUT, server.task).await.expect("in time").expect("no panic");
    assert_eq!(read_response(&mut socket).await, "");
}
