use tokio::net::TcpListener;

use super::*;

mod reuse;

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
