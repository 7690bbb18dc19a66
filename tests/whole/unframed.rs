//! Streams of engines whose responses have neither a length nor chunks, so that they end with their connection.

use std::time::Duration;

use standin::platform::Behaviour;
use tokio::io::{AsyncReadExt as _, AsyncWriteExt as _};
use tokio::net::TcpStream;

use crate::testenv::platform::{EVENTS, Platform, read_events};

/// Time between stopping a generation and the response that confirms it. The end of the stream arrives first.
const STOP_DELAY: Duration = Duration::from_millis(100);

fn all_events() -> Vec<u64> {
    (1..=EVENTS).collect()
}

/// An entry host and two engines with unframed responses, the first of which treats streams as `first` says.
async fn start_unframed(first: Behaviour) -> Platform {
    let platform = Platform::start().await;
    platform.engines.iter().for_each(standin::platform::Server::set_unframed);
    platform.engines[0].set_behaviour(first);
    platform
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_is_complete_at_the_end_of_its_connection() {
    let platform = start_unframed(Behaviour::Healthy).await;
    for path in ["/rebuild/1", "/check/1"] {
        let response = platform.send(path, path, &[]).await.expect("a response");
        assert_eq!(read_events(response).await, (all_events(), true), "{path}");
    }
    assert_eq!(platform.log_lines("engine response ended")[0]["framing"], "connection");
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_ends_inside_an_event_never_looks_complete() {
    let platform = start_unframed(Behaviour::UnfinishedStreams).await;
    platform.engines[1].set_behaviour(Behaviour::UnfinishedStreams);
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    assert_eq!(read_events(response).await, (vec![1, 2], false));
    assert_eq!(platform.runs("r-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_chunked_stream_that_ends_inside_an_event_never_looks_complete() {
    let platform = Platform::start().await;
    for engine in platform.engines.iter() {
        engine.set_behaviour(Behaviour::UnfinishedStreams);
    }
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    assert_eq!(read_events(response).await, (vec![1, 2], false));
    assert_eq!(platform.runs("r-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_without_an_event_never_looks_complete() {
    let platform = start_unframed(Behaviour::EmptyStreams).await;
    platform.engines[1].set_behaviour(Behaviour::EmptyStreams);
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    assert_eq!(read_events(response).await, (vec![], false));
    assert_eq!(platform.runs("r-1"), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_resumable_unframed_stream_continues_at_another_engine_without_a_gap() {
    for behaviour in [Behaviour::UnfinishedStreams, Behaviour::EmptyStreams] {
        let platform = start_unframed(behaviour).await;
        for index in 0..4 {
            let id = format!("r-{index}");
            let response = platform.send(&id, "/check/1", &[]).await.expect("a response");
            assert_eq!(read_events(response).await, (all_events(), true), "{behaviour:?} {id}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn an_unframed_stream_that_was_stopped_to_migrate_is_not_taken_for_complete() {
    let platform = start_unframed(Behaviour::Healthy).await;
    for engine in platform.engines.iter() {
        engine.set_stop_delay(STOP_DELAY);
    }
    let response = platform.send("r-1", "/rebuild/1", &[]).await.expect("a response");
    let reading = tokio::spawn(read_events(response));
    let source =
        platform.engines.iter().find(|engine| engine.runs("r-1") == 1).expect("an execution");
    platform.list(source, "pool", "draining");
    assert_eq!(reading.await.expect("joined"), (all_events(), true));
    assert_eq!(platform.runs("r-1"), 2);
}

/// In HTTP/1.0, the response ends with its connection whether it is complete or not.
#[tokio::test(flavor = "multi_thread")]
async fn a_caller_that_cannot_detect_a_broken_stream_gets_none() {
    let platform = start_unframed(Behaviour::UnfinishedStreams).await;
    let mut socket = TcpStream::connect(platform.caller_address).await.expect("a connection");
    let request = "POST /rebuild/1 HTTP/1.0\r\nhost: a.example\r\nauthorization: Bearer k-1\r\n\
                   nutmeghead-request-id: r-1\r\nnutmeghead-tokens: 1000,400\r\n\r\n";
    socket.write_all(request.as_bytes()).await.expect("sent");
    let mut response = String::new();
    socket.read_to_string(&mut response).await.expect("a response");
    assert_eq!(response.split(' ').nth(1), Some("505"), "{response}");
    assert_eq!(platform.runs("r-1"), 0);
}
