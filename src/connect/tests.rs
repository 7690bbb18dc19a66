use http_body_util::BodyExt as _;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpListener;

use super::*;

mod reuse;

/// Size of a body, in bytes: the largest that is buffered.
const LARGE: usize = 16 << 20;

/// A user timeout also decides when keep-alive probes give up, so it must leave time for several of them.
#[tokio::test]
async fn dead_peers_are_detected_by_several_probes_within_the_timeout() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    let socket = TcpStream::connect(address).await.expect("a connection");
    detect_dead_peer(&socket, UNACKNOWLEDGED_TIMEOUT).expect("the options are set");
    let options = SockRef::from(&socket);
    let idle = options.tcp_keepalive_time().expect("the time");
    let interval = options.tcp_keepalive_interval().expect("the interval");
    assert_eq!(options.tcp_user_timeout().expect("the timeout"), Some(UNACKNOWLEDGED_TIMEOUT));
    assert!(idle + 3 * interval < UNACKNOWLEDGED_TIMEOUT);
}

#[tokio::test]
async fn a_connection_is_accepted_only_where_a_process_listens() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    assert!(is_accepted(address, CHECK_TIMEOUT).await);
    drop(listener);
    assert!(!is_accepted(address, CHECK_TIMEOUT).await);
    assert!(is_refused(address).await);
}

/// Guards against large responses of fast servers that are taken for ones without an end.
#[tokio::test]
async fn large_bodies_arrive_completely() {
    for chunked in [false, true] {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        tokio::spawn(async move {
            let (mut socket, _) = listener.accept().await.expect("a connection");
            let _ = socket.read(&mut [0; 1_024]).await;
            let framing = match chunked {
                true => format!("transfer-encoding: chunked\r\n\r\n{LARGE:x}\r\n"),
                false => format!("content-length: {LARGE}\r\n\r\n"),
            };
            let head = format!("HTTP/1.1 200 OK\r\n{framing}");
            let _ = socket.write_all(head.as_bytes()).await;
            let _ = socket.write_all(&vec![b'a'; LARGE]).await;
            let _ = socket.write_all(b"\r\n0\r\n\r\n").await;
        });
        let connection = open(address).await.expect("a connection");

        let response = connection.send(Request::new(Full::default())).await.expect("a response");
        // The server is ahead of the reader.
        tokio::time::sleep(Duration::from_millis(50)).await;
        let body = response.into_body().collect().await.expect("a whole body").to_bytes();

        assert_eq!(body.len(), LARGE, "chunked: {chunked}");
    }
}

/// Guards against a response of many small parts that leaves no time for other tasks.
#[tokio::test]
async fn a_body_of_small_chunks_yields_between_them() {
    const CHUNKS: usize = 20_000;
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let _ = socket.read(&mut [0; 1_024]).await;
        let chunks = "2\r\n:\n\r\n".repeat(CHUNKS);
        let text =
            format!("HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n{chunks}0\r\n\r\n");
        let _ = socket.write_all(text.as_bytes()).await;
        std::future::pending::<()>().await;
    });
    let connection = open(address).await.expect("a connection");
    let response = connection.send(Request::new(Full::default())).await.expect("a response");

    let (bytes, most_in_a_row) = fair::tests::read(response.into_body()).await;

    assert_eq!(bytes, 2 * CHUNKS);
    assert!(most_in_a_row <= fair::MAX_PARTS_IN_A_ROW, "{most_in_a_row} parts without a yield");
}

/// Accepts connections, and answers each request with the next of `responses` before it closes.
async fn serve_once(listener: TcpListener, responses: Vec<Vec<u8>>) {
    for response in responses {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        let _ = socket.read(&mut [0; 1_024]).await;
        let _ = socket.write_all(&response).await;
        let _ = socket.shutdown().await;
        while matches!(socket.read(&mut [0; 1_024]).await, Ok(1..)) {}
    }
}

/// Guards against an answer of the store, the log or the platform that is taken for a whole one, such as an empty list, because
/// it broke off in its head or body.
#[tokio::test]
async fn an_answer_that_breaks_off_is_an_error_of_the_client() {
    let body = "{\"items\":[]}";
    for framing in [
        format!("content-length: {}\r\n\r\n{body}", body.len()),
        format!("transfer-encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n", body.len()),
    ] {
        let whole = format!("HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nx: y\r\n{framing}")
            .into_bytes();
        let broken: Vec<_> = (0..whole.len()).map(|length| whole[..length].to_vec()).collect();
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
        let address = listener.local_addr().expect("an address");
        let task = tokio::spawn(serve_once(listener, [broken.clone(), vec![whole]].concat()));
        let client: HttpClient = single_use_builder().build(connector());
        let get = async || {
            let uri = format!("http://{address}/");
            let request = Request::get(uri).body(Full::default()).expect("a valid request");
            let response = client.request(request).await.ok()?;
            Some(response.into_body().collect().await.ok()?.to_bytes())
        };

        for response in broken {
            assert_eq!(get().await, None, "{:?}", String::from_utf8_lossy(&response));
        }
        assert_eq!(get().await.as_deref(), Some(body.as_bytes()));
        task.abort();
    }
}
