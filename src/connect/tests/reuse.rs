//! Servers that send a second copy of a response, late. A client that reuses the connection takes the copy for the
//! response to its next request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::{TcpListener, TcpStream};
use uuid::Uuid;

use crate::log::Log as _;
use crate::order::{Error, Http, Kind, Order, Target as _};
use crate::platform::store;
use crate::{backend, hosts, log};

/// The status and body for the path of a request.
type Respond = fn(&str) -> (StatusCode, Vec<u8>);

/// Starts a server that sends the previous response once more, on the same connection, before each further one.
async fn start(respond: Respond) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        while let Ok((socket, _)) = listener.accept().await {
            tokio::spawn(serve(socket, respond));
        }
    });
    address
}

async fn serve(mut socket: TcpStream, respond: Respond) {
    let mut previous = Vec::new();
    while let Some(path) = read_request(&mut socket).await {
        let (status, body) = respond(&path);
        let head = format!("HTTP/1.1 {status}\r\ncontent-length: {}\r\n", body.len());
        let head = format!("{head}nutmeghead-request-id: {}\r\n\r\n", header_of(&path));
        let response = [head.into_bytes(), body].concat();
        let sent = [previous, response.clone()].concat();
        if socket.write_all(&sent).await.is_err() {
            return;
        }
        previous = response;
    }
}

/// The value of the request's id, which `read_request` appends to the path after a space.
fn header_of(path: &str) -> &str {
    path.split_once(' ').map_or("", |(_, id)| id)
}

/// Reads one request and returns its path, and its id if it has one. Bodies fit into the same read as the head.
async fn read_request(socket: &mut TcpStream) -> Option<String> {
    let mut request = vec![0; 4_096];
    let length = socket.read(&mut request).await.ok().filter(|length| *length > 0)?;
    let text = String::from_utf8_lossy(&request[..length]).into_owned();
    let path = text.split(' ').nth(1)?.to_owned();
    let id = text.lines().find_map(|line| line.strip_prefix("nutmeghead-request-id: "));
    Some(id.map_or(path.clone(), |id| format!("{path} {id}")))
}

/// Guards against records of one topic of the store taken for those of another.
#[tokio::test]
async fn a_late_copy_from_the_store_is_not_the_response_to_the_next_call() {
    let address = start(|path| {
        let end = u64::from(path.contains("keyed.servers"));
        (StatusCode::OK, [end.to_be_bytes(), [0; 8]].concat())
    });
    let client = store::Client::new(address.await);
    let document = client.read("keyed.op", 0, Duration::ZERO).await.expect("a batch");
    let servers = client.read("keyed.servers", 0, Duration::ZERO).await.expect("a batch");
    assert_eq!((document.end, servers.end), (0, 1));
}

/// Guards against a response of the store to another call, which an intermediary passed on.
#[tokio::test]
async fn a_response_of_the_store_with_the_id_of_another_call_is_dropped() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a listener");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.expect("a connection");
        read_request(&mut socket).await.expect("a request");
        let head = "HTTP/1.1 200 OK\r\ncontent-length: 16\r\nnutmeghead-request-id: 5\r\n\r\n";
        socket.write_all(&[head.as_bytes(), &[0; 16]].concat()).await.expect("sent");
    });
    let read = store::Client::new(address).read("keyed.op", 0, Duration::ZERO).await;
    assert_eq!(read, Err(store::Error::Lost));
}

/// Guards against a caller that gets the response to another caller's call: backend servers need not repeat the id.
#[tokio::test]
async fn a_late_copy_from_a_backend_server_is_not_the_response_to_the_next_call() {
    let address = start(|path| (StatusCode::OK, path.as_bytes().to_vec())).await;
    let client = backend::Client::new();
    let first = client.call(address, &call("/first")).await.expect("a response");
    let second = client.call(address, &call("/second")).await.expect("a response");
    assert_eq!((&first.body[..], &second.body[..]), (&b"/first"[..], &b"/second"[..]));
}

fn call(path: &str) -> backend::Call {
    let headers = HeaderMap::new();
    let timeout = Duration::from_secs(10);
    backend::Call {
        method: Method::GET,
        path: path.to_owned(),
        headers,
        body: Bytes::new(),
        timeout,
    }
}

/// Guards against records of one stream of the log taken for those of another.
#[tokio::test]
async fn a_late_copy_from_the_log_is_not_the_response_to_the_next_call() {
    let address = start(|path| {
        let next = if path.contains("claims") { 7 } else { 3 };
        (StatusCode::OK, format!("{{\"records\":[],\"next\":{next},\"first\":0}}").into_bytes())
    });
    let client = log::Http::new(address.await);
    let orders = client.read("orders", 0, 0).await.expect("a batch");
    let claims = client.read("claims", 0, 0).await.expect("a batch");
    assert_eq!((orders.next, claims.next), (3, 7));
}

/// Guards against an order that the engine refused but that counts as executed.
#[tokio::test]
async fn a_late_copy_from_an_engine_is_not_the_response_to_an_order() {
    let address = start(|path| match path.contains("orders") {
        true => (StatusCode::CONFLICT, Vec::new()),
        false => (StatusCode::OK, Vec::new()),
    });
    let (address, target) = (address.await, Http::new(None));
    let _ = target.state(address).await;
    let kind = Kind::SetVersion { version: "2".to_owned() };
    let order = Order { order_id: Uuid::nil().hyphenated(), fence: 1, kind };
    assert_eq!(target.order(address, order, || true).await, Err(Error::Fenced));
}

/// Guards against a list of leaving hosts that lags behind by one poll for each late copy.
#[tokio::test]
async fn a_late_copy_of_the_host_list_is_not_the_response_to_the_next_poll() {
    use std::sync::atomic::{AtomicUsize, Ordering};
    static POLLS: AtomicUsize = AtomicUsize::new(0);
    let address = start(|_| {
        let name = format!("e-{}", POLLS.fetch_add(1, Ordering::Relaxed));
        let host = format!(r#"{{"name":"{name}","kind":"engine","state":"leaving"}}"#);
        (StatusCode::OK, format!(r#"{{"hosts":[{host}]}}"#).into_bytes())
    });
    let (sender, mut leaving) = tokio::sync::watch::channel(hosts::Leaving::default());
    let poll = tokio::spawn(hosts::poll_leaving(address.await, sender));
    leaving.wait_for(|leaving| leaving.contains("e-0")).await.expect("the first list");
    leaving.changed().await.expect("the second list");
    assert!(leaving.borrow().contains("e-1"));
    poll.abort();
}
