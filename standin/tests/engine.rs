//! The engine stand-in over HTTP, with faults.

mod common;

use std::net::SocketAddr;
use std::time::Duration;

use common::{call, get, post, read, send};
use http::Method;
use serde_json::{Value, json};
use standin::engine::{Change, Server, Settings, model};
use uuid::Uuid;

fn settings() -> Settings {
    let model = model::Settings {
        base_step_us: 1_000,
        per_sequence_us: 0,
        load_lag_us: 0,
        ..Default::default()
    };
    Settings { model, ..Settings::default() }
}

fn start(settings: Settings) -> Server {
    Server::start(settings).expect("starts")
}

fn completion(length: u32, stream: bool) -> Value {
    json!({ "model": "m", "prompt": format!("len={length}"), "stream": stream, "request_id": "r" })
}

struct Answer {
    generation: String,
    ids: Vec<u32>,
    events: Vec<Value>,
    text: String,
}

fn parse(generation: String, text: String) -> Answer {
    let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).collect();
    let data = text.lines().filter_map(|line| line.strip_prefix("data: {"));
    let events =
        data.map(|rest| serde_json::from_str(&format!("{{{rest}")).expect("JSON")).collect();
    Answer { generation, ids, events, text }
}

async fn open(
    address: SocketAddr,
    body: &Value,
) -> (String, http::Response<hyper::body::Incoming>) {
    let response = send(address, Method::POST, "/v1/completions", body).await.expect("answer");
    let generation = response.headers()["x-generation-id"].to_str().expect("text").to_owned();
    (generation, response)
}

async fn stream(address: SocketAddr, body: &Value) -> Answer {
    let (generation, response) = open(address, body).await;
    parse(generation, read(response).await.1)
}

async fn eventually(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(Duration::from_millis(2)).await;
        }
    };
    tokio::time::timeout(Duration::from_secs(20), wait).await.expect("the condition holds in time");
}

#[tokio::test]
async fn stream_sends_each_token_once_and_can_be_read_again() {
    let engine = start(settings());

    let answer = stream(engine.address(), &completion(300, true)).await;

    assert_eq!(answer.ids, (0..300).collect::<Vec<_>>());
    assert!(
        answer
            .events
            .iter()
            .all(|event| event["id"] == answer.generation && event["request_id"] == "r")
    );
    assert_eq!(answer.events[299]["choices"][0]["finish_reason"], "stop");
    assert!(answer.text.ends_with("data: [DONE]\n\n"));
    for (from, count) in [(0, 300), (299, 1), (300, 0), (301, 0)] {
        let path = format!("/v1/generations/{}/events?from={from}", answer.generation);
        let again = send(engine.address(), Method::GET, &path, &Value::Null).await.expect("answer");
        let again = parse(answer.generation.clone(), read(again).await.1);
        assert_eq!(again.ids, (300 - count..300).collect::<Vec<_>>());
        assert!(again.text.ends_with("data: [DONE]\n\n"));
    }
    assert_eq!(engine.executions("r"), 1);
}

#[tokio::test]
async fn max_tokens_truncates_a_completion() {
    let engine = start(settings());
    for (max_tokens, count, reason) in [(2, 2, "length"), (3, 3, "stop"), (9, 3, "stop")] {
        let mut body = completion(3, false);
        body["max_tokens"] = json!(max_tokens);

        let (_, answer) = post(engine.address(), "/v1/completions", &body).await;

        assert_eq!(answer["usage"]["completion_tokens"], count);
        assert_eq!(answer["choices"][0]["finish_reason"], reason);
    }
}

#[tokio::test]
async fn preempted_generation_continues_without_gap_or_repetition() {
    let mut settings = settings();
    settings.model.memory_tokens = 150;
    let engine = start(settings);

    let (low, high) = (completion(100, true), completion(100, true));
    let (low, high) = tokio::join!(stream(engine.address(), &low), stream(engine.address(), &high));

    for answer in [low, high] {
        assert_eq!(answer.ids, (0..100).collect::<Vec<_>>());
    }
    assert!(engine.state().preemptions > 0);
}

#[tokio::test]
async fn cancel_and_priority_change_require_a_known_generation() {
    let engine = start(settings());
    let address = engine.address();
    let (generation, response) = open(address, &completion(1_000_000, true)).await;
    let path = format!("/v1/generations/{generation}");

    let patched = call(address, Method::PATCH, &path, &json!({ "priority": 3 })).await.0;
    let cancelled = call(address, Method::DELETE, &path, &Value::Null).await.0;
    let text = read(response).await.1;

    assert_eq!((patched.as_u16(), cancelled.as_u16()), (204, 204));
    assert!(text.ends_with("event: error\ndata: {\"error\":{\"type\":\"cancelled\"}}\n\n"));
    let unknown = format!("/v1/generations/{}", Uuid::nil());
    for method in [Method::PATCH, Method::DELETE] {
        let (status, _) = call(address, method, &unknown, &json!({ "priority": 3 })).await;
        assert_eq!(status.as_u16(), 404);
    }
}

#[tokio::test]
async fn generation_without_reader_is_cancelled_after_its_linger_time() {
    let engine = start(Settings { linger_ms: 20, ..settings() });

    drop(open(engine.address(), &completion(1_000_000, true)).await);

    eventually(|| engine.state().counters.orphaned == 1).await;
    assert_eq!(engine.state().running, 0);
}

#[tokio::test]
async fn reclaimed_engine_announces_it_then_ends_its_streams_and_stops() {
    let engine = start(settings());
    let address = engine.address();
    let (_, response) = open(address, &completion(1_000_000, true)).await;

    post(address, "/control", &json!({ "reclaim_in_ms": 200 })).await;
    let (_, load) = get(address, "/v1/load").await;
    let (status, refusal) = post(address, "/v1/completions", &completion(1, true)).await;

    assert_eq!(load["state"], "leaving");
    assert!(load["leave_in_ms"].as_u64().is_some_and(|remaining_ms| remaining_ms <= 200));
    assert_eq!((status.as_u16(), &refusal["error"]["type"]), (503, &json!("leaving")));
    assert!(read(response).await.1.ends_with("{\"type\":\"reclaimed\"}}\n\n"));
    engine.stopped().await;
    eventually(|| std::net::TcpStream::connect(address).is_err()).await;
}

#[tokio::test]
async fn injected_faults_change_the_responses() {
    let engine = start(settings());
    let address = engine.address();
    let body = completion(3, true);
    for (refuse, kind) in [("busy", "busy"), ("leaving", "leaving")] {
        post(address, "/control", &json!({ "refuse": refuse })).await;
        let (status, refusal) = post(address, "/v1/completions", &body).await;
        assert_eq!((status.as_u16(), &refusal["error"]["type"]), (503, &json!(kind)));
    }
    post(address, "/control", &json!({ "refuse": "none", "doubled": 1 })).await;
    assert_eq!(engine.state().counters.started, 0);
    assert_eq!(stream(address, &body).await.ids, [0, 0, 1, 1, 2, 2]);

    engine.control(Change { crossed: Some(1), ..Change::default() });
    let crossed = stream(address, &body).await;
    assert!(crossed.events.iter().all(|event| event["request_id"] != "r"));

    engine.control(Change { dropped: Some(1), ..Change::default() });
    assert!(send(address, Method::POST, "/v1/completions", &body).await.is_err());
    assert_eq!(engine.executions("r"), 3);

    engine.control(Change { cut: Some(1), cut_after: Some(2), ..Change::default() });
    let (generation, response) = open(address, &body).await;
    let mut response = response.into_body();
    let mut bytes = Vec::new();
    while let Some(Ok(frame)) = http_body_util::BodyExt::frame(&mut response).await {
        bytes.extend_from_slice(frame.data_ref().expect("data"));
    }
    assert_eq!(parse(generation, String::from_utf8(bytes).expect("text")).ids, [0, 1]);
    assert_eq!(stream(address, &body).await.ids, [0, 1, 2]);
}

#[tokio::test]
async fn frozen_engine_neither_answers_nor_produces_tokens_until_thawed() {
    let engine = start(settings());
    let address = engine.address();
    let (generation, response) = open(address, &completion(50, true)).await;
    let id: Uuid = generation.parse().expect("UUID");
    engine.control(Change { frozen: Some(true), ..Change::default() });
    let before = engine.progress(id);
    let load = tokio::spawn(async move { get(address, "/v1/load").await });
    tokio::time::sleep(Duration::from_millis(60)).await;

    // A step that was due before the freeze may still be recorded, so `progress` may differ from `before`.
    assert!(!load.is_finished());
    assert!(before.is_some_and(|(produced, _)| produced < 50));
    assert!(engine.progress(id).is_some_and(|(_, ended)| !ended));
    engine.control(Change { frozen: Some(false), ..Change::default() });
    assert_eq!(parse(generation, read(response).await.1).ids.len(), 50);
    assert_eq!(load.await.expect("answer").0.as_u16(), 200);
}

#[tokio::test]
async fn only_engine_with_fencing_refuses_an_old_order() {
    for (fences, old_status, version) in [(true, 409, "2"), (false, 200, "1b")] {
        let engine = start(Settings { fences, ..settings() });
        let address = engine.address();
        let order = |fence: u64, rest: Value| {
            let mut order = json!({ "order_id": Uuid::new_v4(), "fence": fence });
            order
                .as_object_mut()
                .expect("object")
                .extend(rest.as_object().expect("object").clone());
            order
        };
        let version_order =
            |fence, version| order(fence, json!({ "kind": "set_version", "version": version }));
        let adapter = json!({ "kind": "load_adapter", "model": "m", "adapter": "a" });

        let new = post(address, "/v1/orders", &version_order(7, "2")).await.0;
        let old = post(address, "/v1/orders", &version_order(6, "1b")).await.0;
        let same = post(address, "/v1/orders", &order(7, adapter)).await.0;
        let (_, state) = get(address, "/v1/state").await;

        assert_eq!((new.as_u16(), old.as_u16(), same.as_u16()), (200, old_status, 200));
        assert_eq!((&state["version"], &state["adapters"]), (&json!(version), &json!(["a"])));
        assert_eq!(engine.orders().len(), 3);
        assert_eq!(
            post(address, "/v1/orders", &json!({ "kind": "explode" })).await.0.as_u16(),
            400
        );
    }
}

#[tokio::test]
async fn cache_events_contain_the_prefixes_of_long_prompts() {
    let engine = start(Settings { cache_lag_ms: 0, ..settings() });
    let long = |word: &str| format!("len=1 {}", word.repeat(400));
    for prompt in [long("one "), long("two "), long("one "), "len=1".to_owned()] {
        let body = json!({ "model": "m", "prompt": prompt, "request_id": "r" });
        assert_eq!(post(engine.address(), "/v1/completions", &body).await.0.as_u16(), 200);
    }

    let (_, page) = get(engine.address(), "/v1/cache/events?from=0").await;

    let expected = [long("one "), long("two ")]
        .map(|prompt| standin::engine::prefix(&prompt).expect("long").0);
    let seen: Vec<&Value> =
        page["events"].as_array().expect("events").iter().map(|event| &event["prefix"]).collect();
    assert_eq!(
        seen,
        expected.map(|prefix| json!(format!("{prefix:016x}"))).iter().collect::<Vec<_>>()
    );
    assert_eq!(page["next"], 2);
}

#[tokio::test]
async fn stamped_tokens_contain_their_time_of_sending() {
    let engine = start(Settings { stamps: true, ..settings() });

    let answer = stream(engine.address(), &completion(3, true)).await;

    let stamps = answer.events.iter().map(|event| {
        let text = event["choices"][0]["text"].as_str().expect("text");
        text.split_once('@').expect("stamp").1.parse::<u64>().expect("number")
    });
    assert!(stamps.is_sorted() && answer.ids == [0, 1, 2]);
}
