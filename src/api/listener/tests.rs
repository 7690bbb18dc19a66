use http_body_util::Full;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::task::JoinHandle;

use super::*;

const REQUEST: &[u8] = b"GET / HTTP/1.1\r\nhost: a\r\n\r\n";

/// Time allowed for a response.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Idle time after which connections are closed, and time allowed for a head.
const TIMEOUTS: Timeouts = Timeouts { idle: Duration::from_secs(1), head: Duration::from_secs(2) };

/// Responds to all requests but those for `/wait`, which stay in progress.
#[derive(Clone)]
struct Ok200;

impl Responder for Ok200 {
    type Body = Full<Bytes>;

    async fn respond(&self, request: Request<Incoming>) -> Response<Full<Bytes>> {
        if request.uri().path() == "/wait" {
            std::future::pending::<()>().await;
        }
        Response::new(Full::new(Bytes::from_static(b"whole")))
    }

    async fn decline(&self, _: Request<Incoming>) -> Response<Full<Bytes>> {
        Response::new(Full::new(Bytes::from_static(b"not whole")))
    }

    fn timeouts(&self) -> Timeouts {
        TIMEOUTS
    }
}

/// A running listener.
struct Server {
    address: SocketAddr,
    connections: Connections,
    stop: watch::Sender<bool>,
    task: JoinHandle<()>,
}

async fn start() -> Server {
    start_with(100).await
}

/// A listener with up to `max` connections.
async fn start_with(max: usize) -> Server {
    let connections = Connections::new(max);
    let listener = bind(([127, 0, 0, 1], 0).into()).await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let stop = watch::Sender::new(false);
    let serving = serve(listener, Ok200, Limits::default(), connections.clone(), stop.subscribe());
    Server { address, connections, stop, task: tokio::spawn(serving) }
}

impl Server {
    async fn connect(&self) -> TcpStream {
        TcpStream::connect(self.address).await.expect("a connection")
    }

    /// Opens a connection whose request was answered.
    async fn connect_idle(&self) -> TcpStream {
        let mut socket = self.connect().await;
        assert!(request(&mut socket).await.starts_with("HTTP/1.1 200"));
        socket
    }
}

/// Sends a request and reads the response; empty if the connection was cut off.
async fn request(socket: &mut TcpStream) -> String {
    if socket.write_all(REQUEST).await.is_err() {
        return String::new();
    }
    read_response(socket).await
}

/// Waits until the listener closes the connection, and returns how long that took.
async fn wait_closed(socket: &mut TcpStream) -> Duration {
    let started = Instant::now();
    assert_eq!(read_response(socket).await, "");
    started.elapsed()
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

/// Guards against idle connections that are kept for longer than the document says, and fill the host.
#[tokio::test]
async fn idle_connections_are_closed_after_their_timeout() {
    let server = start().await;
    let mut unused = server.connect().await;
    let mut idle = server.connect_idle().await;
    let (unused_time, idle_time) = tokio::join!(wait_closed(&mut unused), wait_closed(&mut idle));
    for time in [unused_time, idle_time] {
        assert!(time >= TIMEOUTS.idle - Duration::from_millis(100), "{time:?}");
    }
}

/// Guards against a connection that is closed although its caller uses it again in time, or waits for a response.
#[tokio::test]
async fn connections_in_use_are_kept() {
    let server = start().await;
    let mut waiting = server.connect().await;
    waiting.write_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("sent");
    let mut used = server.connect_idle().await;
    for _ in 0..5 {
        // Callers use connections that were idle for up to four fifths of the timeout.
        tokio::time::sleep(TIMEOUTS.idle.mul_f64(0.8)).await;
        assert!(request(&mut used).await.starts_with("HTTP/1.1 200"));
    }
    let read = tokio::time::timeout(Duration::ZERO, waiting.read_u8()).await;
    assert!(read.is_err(), "{read:?}");
}

/// Guards against heads that never end and keep their connections.
#[tokio::test]
async fn a_head_that_does_not_end_in_time_closes_its_connection() {
    let server = start().await;
    let mut socket = server.connect().await;
    let (mut reader, mut writer) = socket.split();
    let trickle = async {
        while writer.write_all(b"G").await.is_ok() {
            tokio::time::sleep(Duration::from_millis(100)).await;
        }
    };
    let closed = async {
        let mut bytes = Vec::new();
        let _ = reader.read_to_end(&mut bytes).await;
    };
    let closing = async {
        tokio::select! {
            () = trickle => {}
            () = closed => {}
        }
    };
    tokio::time::timeout(TIMEOUT, closing).await.expect("the connection is closed");
}

/// Guards against a full host that takes no new connection while others are idle.
#[tokio::test]
async fn a_new_connection_replaces_the_one_that_was_idle_for_longest() {
    let server = start_with(2).await;
    let mut first = server.connect_idle().await;
    let mut second = server.connect_idle().await;
    assert!(!server.connections.is_full());
    let mut third = server.connect_idle().await;
    assert_eq!(request(&mut first).await, "");
    for kept in [&mut second, &mut third] {
        assert!(request(kept).await.starts_with("HTTP/1.1 200"));
    }
    assert_eq!(server.connections.evicted(), 1);
}

/// Guards against a full host that says nothing: neither to the load balancer nor to callers.
#[tokio::test]
async fn a_host_whose_connections_are_all_in_use_says_so() {
    let server = start_with(1).await;
    let mut waiting = server.connect().await;
    waiting.write_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("sent");
    while !server.connections.is_full() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    for _ in 0..3 {
        let mut declined = server.connect().await;
        let response = request(&mut declined).await;
        assert!(response.ends_with("not whole"), "{response:?}");
        assert_last(&response);
    }
    drop(waiting);
    while server.connections.is_full() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    server.connect_idle().await;
}

/// Guards against connections without a request that are kept while the host is full, and leave no room for others after that.
#[tokio::test]
async fn idle_connections_beyond_the_limit_do_not_make_a_ready_host_deaf() {
    let server = start_with(2).await;
    let mut waiting = Vec::new();
    for _ in 0..2 {
        let mut socket = server.connect().await;
        socket.write_all(b"GET /wait HTTP/1.1\r\nhost: a\r\n\r\n").await.expect("sent");
        waiting.push(socket);
    }
    while !server.connections.is_full() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    // They take the places beyond the limit and stay silent.
    let _surplus = [server.connect().await, server.connect().await, server.connect().await];
    tokio::time::sleep(Duration::from_millis(50)).await;
    waiting.clear();
    while server.connections.is_full() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    let mut idle = Vec::new();
    for _ in 0..6 {
        let started = Instant::now();
        idle.push(server.connect_idle().await);
        assert!(started.elapsed() < TIMEOUTS.idle / 2, "{:?}", started.elapsed());
        assert!(!server.connections.is_full());
    }
}

/// Guards against a host that stays unready because nobody connects any more after it could not accept a connection.
#[tokio::test(start_paused = true)]
async fn a_host_that_could_not_accept_a_connection_is_ready_again() {
    let connections = Connections::new(2);
    connections.record_accept(false);
    assert!(connections.is_full());
    tokio::time::sleep(Duration::from_secs(2)).await;
    assert!(!connections.is_full());
}
