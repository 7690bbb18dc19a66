//! Entry hosts that are suspended while they are about to do something.

use std::time::Duration;

use standin::platform::BlackHole;
use tokio::io::AsyncReadExt as _;
use tokio::net::TcpListener;

use crate::testenv::platform::{Platform, next_address};

/// Time from a request to the suspension: the host is connecting to a server.
const CONNECTING_TIME: Duration = Duration::from_millis(200);

/// Time of the suspension: beyond the deadline of the request. The system repeats the connection attempt within it.
const SUSPENSION: Duration = Duration::from_millis(2_200);

/// Accepts connections for `time` and returns what arrived on them.
async fn read_all(listener: TcpListener, time: Duration) -> Vec<u8> {
    let (sender, mut received) = tokio::sync::mpsc::unbounded_channel();
    let accept = tokio::spawn(async move {
        while let Ok((mut socket, _)) = listener.accept().await {
            let sender = sender.clone();
            tokio::spawn(async move {
                let mut bytes = vec![0; 4_096];
                while let Ok(length @ 1..) = socket.read(&mut bytes).await {
                    let _ = sender.send(bytes[..length].to_vec());
                }
            });
        }
    });
    tokio::time::sleep(time).await;
    accept.abort();
    let mut all = Vec::new();
    while let Ok(bytes) = received.try_recv() {
        all.extend(bytes);
    }
    all
}

/// Guards against a request that is sent after its deadline because the host was suspended while it connected.
#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_expired_during_a_suspension_is_not_sent() {
    let platform = Platform::start_with_servers(0).await;
    let hole = BlackHole::start(next_address());
    let hole = hole.expect("the address is free");
    platform.list_address("s-1", hole.address(), "app");
    let known = async || platform.log_lines("server added").len() > platform.engines.len();
    platform.wait_until("the server is known", known).await;
    let deadline = [("nutmeghead-deadline-ms", "1000")];
    let (_, received) = tokio::join!(platform.send("r-1", "/swap/1", &deadline), async {
        tokio::time::sleep(CONNECTING_TIME).await;
        platform.signal("STOP");
        let reading = tokio::spawn(read_all(hole.into_listener(), 2 * SUSPENSION));
        tokio::time::sleep(SUSPENSION).await;
        platform.signal("CONT");
        reading.await.expect("joined")
    });
    assert_eq!(String::from_utf8_lossy(&received), "");
}
