//! Entry hosts that lose their links to all servers while callers, the store and other entry hosts still reach them.

use std::time::{Duration, Instant};

use http::StatusCode;
use http::header::RETRY_AFTER;
use standin::platform::{Behaviour, BlackHole, Server};

use crate::testenv::platform::{EVENTS, Platform, next_address, read_events};

/// Time within which a host has to find out that its links are cut.
const CONTACT_TIME: Duration = Duration::from_secs(3);

/// Time allowed for a call after that, and for the refusal of a request that no host can serve: far below its deadline of
/// 4 s.
const MAX_CALL_TIME: Duration = Duration::from_millis(300);

/// Time until the servers are reached again.
const CUT_TIME: Duration = Duration::from_millis(1_500);

const PATHS: [&str; 4] = ["/lookup/1", "/swap/1", "/rebuild/1", "/check/1"];

/// Cuts the links to all servers: connections are reset and new ones refused.
async fn cut(host: &Platform) {
    for server in host.engines.iter().chain(host.servers.iter()) {
        server.stop_completely().await;
    }
}

/// Cuts the links to all servers: new connections hang.
async fn hang(host: &Platform) -> Vec<BlackHole> {
    let mut holes = Vec::new();
    for server in host.engines.iter().chain(host.servers.iter()) {
        let address = next_address();
        holes.push(BlackHole::start(address).expect("the address is free"));
        let service = if server.id().starts_with('e') { "pool" } else { "app" };
        host.list_address(server.id(), address, service);
    }
    tokio::time::sleep(Duration::from_secs(1)).await;
    holes
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/rebuild") || path.starts_with("/check")
}

/// Sends a request and returns the status, and whether a response with success was complete.
async fn send(host: &Platform, id: &str, path: &str) -> Option<(StatusCode, bool)> {
    let response = host.send(id, path, &[]).await?;
    let status = response.status();
    let (events, complete) = read_events(response).await;
    let all = !is_stream(path) || events == (1..=EVENTS).collect::<Vec<_>>();
    Some((status, complete && all))
}

const SERVED: Option<(StatusCode, bool)> = Some((StatusCode::OK, true));

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_by_another_host_while_links_are_refused() {
    let (host, peers) = Platform::start_with_peers(1).await;
    cut(&host).await;
    for round in 0..5 {
        for path in PATHS {
            assert_eq!(send(&host, &format!("{path}-{round}"), path).await, SERVED, "{path}");
        }
    }
    assert_eq!(peers[0].received(), 5 * PATHS.len());
    let (headers, body) = peers[0].last_request().expect("a request");
    assert_eq!(headers["authorization"], "Bearer k-1");
    let remaining = headers["nutmeghead-deadline-ms"].to_str().expect("text").parse::<u64>();
    assert!((1..=4_000).contains(&remaining.expect("a number")));
    assert_eq!(&body[..], b"body");
}

/// Guards against a response of another host to another request that is taken for the response to this one.
#[tokio::test(flavor = "multi_thread")]
async fn a_response_of_another_host_to_another_request_is_dropped() {
    let (host, peers) = Platform::start_with_peers(1).await;
    cut(&host).await;
    peers[0].set_behaviour(Behaviour::Crossed);
    for path in PATHS {
        let (status, _) = send(&host, path, path).await.expect("a response");
        assert_eq!(status, StatusCode::BAD_GATEWAY, "{path}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_are_served_by_another_host_while_links_hang() {
    let (host, _peers) = Platform::start_with_peers(1).await;
    let _holes = hang(&host).await;
    let started = Instant::now();
    for round in 0.. {
        for path in PATHS {
            let sent = Instant::now();
            let outcome = send(&host, &format!("{path}-{round}"), path).await;
            if sent - started > CONTACT_TIME {
                assert_eq!(outcome, SERVED, "{path}");
                assert!(is_stream(path) || sent.elapsed() < MAX_CALL_TIME, "{:?}", sent.elapsed());
            }
        }
        if started.elapsed() > CONTACT_TIME * 2 {
            break;
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_declines_is_not_the_last_one_asked() {
    let (host, peers) = Platform::start_with_peers(4).await;
    peers[..3].iter().for_each(|peer| peer.set_behaviour(Behaviour::Declining));
    cut(&host).await;
    let started = Instant::now();
    for round in 0..10 {
        for path in PATHS {
            assert_eq!(send(&host, &format!("{path}-{round}"), path).await, SERVED, "{path}");
        }
    }
    // A host that declines is asked once a second at most.
    let most = started.elapsed().as_secs() as usize + 1;
    for peer in &peers[..3] {
        assert!(peer.received() <= most, "asked {} times in {most} s", peer.received());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_no_host_can_serve_is_refused_at_once() {
    let (host, peers) = Platform::start_with_peers(3).await;
    peers.iter().for_each(|peer| peer.set_behaviour(Behaviour::Declining));
    cut(&host).await;
    for path in PATHS {
        let sent = Instant::now();
        let response = host.send(path, path, &[]).await.expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(response.headers().contains_key(RETRY_AFTER));
        assert!(!response.headers().contains_key("nutmeghead-declined"));
        assert!(sent.elapsed() < MAX_CALL_TIME, "{path}: {:?}", sent.elapsed());
        assert_eq!(peers.iter().map(|peer| peer.runs(path)).sum::<u32>(), 0);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_no_host_can_serve_is_refused_at_once_while_links_hang() {
    let (host, peers) = Platform::start_with_peers(3).await;
    peers.iter().for_each(|peer| peer.set_behaviour(Behaviour::Declining));
    let _holes = hang(&host).await;
    for path in PATHS {
        assert!(send(&host, &format!("{path}-first"), path).await != SERVED);
    }
    for path in PATHS {
        let sent = Instant::now();
        let response = host.send(path, path, &[]).await.expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(sent.elapsed() < MAX_CALL_TIME, "{path}: {:?}", sent.elapsed());
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_another_host_may_have_run_is_not_repeated() {
    let (host, peers) = Platform::start_with_peers(3).await;
    peers.iter().for_each(|peer| peer.set_behaviour(Behaviour::Disconnecting));
    cut(&host).await;
    for index in 0..4 {
        let id = format!("swap-{index}");
        let response = host.send(&id, "/swap/1", &[]).await.expect("a response");
        assert_eq!(response.status(), StatusCode::BAD_GATEWAY);
        let runs = peers.iter().map(|peer| peer.runs(&id)).sum::<u32>();
        assert_eq!(runs, 1, "{id}: {:?}", host.log_of(&id));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_that_another_host_breaks_off_does_not_look_complete() {
    let (host, peers) = Platform::start_with_peers(1).await;
    peers[0].set_behaviour(Behaviour::TruncatingStreams);
    cut(&host).await;
    let response = host.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    assert_eq!(response.status(), StatusCode::OK);
    let (events, complete) = read_events(response).await;
    assert!(!complete && events.len() < EVENTS as usize, "{events:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_requests_itself_when_its_links_are_back() {
    let (host, peers) = Platform::start_with_peers(1).await;
    for server in host.engines.iter().chain(host.servers.iter()) {
        server.crash(CUT_TIME);
    }
    tokio::time::sleep(CUT_TIME / 2).await;
    for path in PATHS {
        assert_eq!(send(&host, path, path).await, SERVED, "{path}");
    }
    let forwarded = peers[0].received();
    tokio::time::sleep(CUT_TIME * 2).await;
    for path in PATHS {
        assert_eq!(send(&host, &format!("{path}-later"), path).await, SERVED, "{path}");
    }
    assert_eq!((forwarded, peers[0].received()), (PATHS.len(), PATHS.len()));
}

#[tokio::test(flavor = "multi_thread")]
async fn hosts_with_links_forward_nothing() {
    let (host, peers) = Platform::start_with_peers(2).await;
    host.servers[0].stop_completely().await;
    host.engines[0].stop_completely().await;
    for round in 0..10 {
        for path in PATHS {
            assert_eq!(send(&host, &format!("{path}-{round}"), path).await, SERVED, "{path}");
        }
    }
    assert_eq!(peers.iter().map(Server::received).sum::<usize>(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn servers_that_end_one_after_the_other_are_not_a_cut() {
    let (host, peers) = Platform::start_with_peers(1).await;
    for (round, server) in host.servers.iter().enumerate() {
        server.crash(CUT_TIME / 5);
        for index in 0..30 {
            let id = format!("r-{round}-{index}");
            assert_eq!(send(&host, &id, "/lookup/1").await, SERVED);
            tokio::time::sleep(CUT_TIME / 100).await;
        }
    }
    assert_eq!(peers[0].received(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_server_that_falls_silent_for_a_second_is_not_a_cut() {
    let (host, peers) = Platform::start_with_peers(1).await;
    host.servers[0].set_work_time(Duration::from_secs(1));
    host.engines[0].set_work_time(Duration::from_secs(1));
    for round in 0..4 {
        for path in PATHS {
            assert_eq!(send(&host, &format!("{path}-{round}"), path).await, SERVED, "{path}");
        }
    }
    assert_eq!(peers[0].received(), 0);
    assert!((0..4).all(|round| host.runs(&format!("/swap/1-{round}")) == 1));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_serves_what_another_host_forwards() {
    let (host, _peers) = Platform::start_with_peers(1).await;
    for path in PATHS {
        let response = host.send_to(host.peer_address(), path, path, &[], "body").await;
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::OK, "{path}");
        assert!(read_events(response).await.1);
        assert_eq!(host.runs(path), 1);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_without_links_declines_what_another_host_forwards() {
    let (host, peers) = Platform::start_with_peers(1).await;
    cut(&host).await;
    for path in PATHS {
        let response = host.send_to(host.peer_address(), path, path, &[], "body").await;
        let response = response.expect("a response");
        assert_eq!(response.status(), StatusCode::SERVICE_UNAVAILABLE, "{path}");
        assert!(response.headers().contains_key("nutmeghead-declined"), "{path}");
    }
    assert_eq!(peers[0].received(), 0);
}
