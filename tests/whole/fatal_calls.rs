//! Calls to a plain service that end each of its servers and come again, at several entry hosts, beside other calls.

use std::time::Duration;

use http::{Method, StatusCode};
use standin::fleet;
use standin::service::{Change, Server};

use crate::services::fresh_key;
use crate::testenv::{TestEnv, json};

/// Path of the calls that end servers, and of others.
const FATAL: &str = "/fatal";
const SOUND: &str = "/sound";

/// Entry hosts.
const HOSTS: usize = 4;

/// Backend servers: more than may end.
const SERVERS: usize = 14;

/// Servers that may end: after three, three more.
const MAX_ENDED: usize = 6;

/// Calls that end servers, and time between two of them.
const CALLS: usize = 12;
const CALL_INTERVAL: Duration = Duration::from_millis(300);

/// Time after the start of a host after which it and the others know each other.
const HOSTS_MEET_TIME: Duration = Duration::from_secs(2);

fn ended(env: &TestEnv) -> usize {
    env.fleet.servers.iter().filter(|server| server.has_stopped()).count()
}

async fn start() -> TestEnv {
    let settings = fleet::Settings { servers: SERVERS, ..Default::default() };
    let env = TestEnv::start(HOSTS, &settings).await;
    end_servers_on(&env, FATAL);
    env
}

fn end_servers_on(env: &TestEnv, path: &str) {
    let change = Change { die_on: Some(path.to_owned()), ..Default::default() };
    env.fleet.servers.iter().for_each(|server: &Server| server.control(change.clone()));
}

/// Makes a call with idempotency key `number`. Returns the status and the problem's type and outcome, if there is one.
async fn call(env: &TestEnv, number: usize, method: &Method, path: &str) -> (StatusCode, String) {
    let key = fresh_key(number as u128);
    let path = format!("/services/crew{path}");
    let headers = [("idempotency-key", key.as_str())];
    let response = env.call(number % HOSTS, method.clone(), &path, &headers, "same").await;
    let (status, body) = json(response.expect("a response")).await;
    (status, format!("{} {}", body["type"], body["outcome"]))
}

async fn check_few_end(method: Method) {
    let env = start().await;
    for number in 0..CALLS {
        assert!(call(&env, number, &method, FATAL).await.0.is_server_error());
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    assert!(ended(&env) <= MAX_ENDED, "{} servers ended", ended(&env));
    for host in 0..HOSTS {
        let (status, problem) = call(&env, CALLS + host, &method, FATAL).await;
        assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE);
        assert_eq!(problem, r#""urn:nutmeghead:problem:quarantined" "not_run""#);
        // Ended servers stay in the document, so that a call may find three of them one after the other.
        let (mut status, mut problem) = call(&env, CALLS + HOSTS + host, &method, SOUND).await;
        for repeat in 2..4 {
            if status != StatusCode::OK {
                assert_eq!(problem, r#""urn:nutmeghead:problem:busy" "not_run""#);
                let number = CALLS + repeat * HOSTS + host;
                (status, problem) = call(&env, number, &method, SOUND).await;
            }
        }
        assert_eq!(status, StatusCode::OK, "{problem}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn idempotent_calls_that_end_servers_reach_few_more() {
    check_few_end(Method::GET).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn calls_with_keys_that_end_servers_reach_few_more() {
    check_few_end(Method::POST).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_later_knows_the_calls_that_ended_servers() {
    let mut env = start().await;
    for number in 0..CALLS {
        let host_with_others = number - number % HOSTS + number % (HOSTS - 1);
        call(&env, host_with_others, &Method::GET, FATAL).await;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let last = HOSTS - 1;
    env.nodes[last].kill();
    env.spawn(last);
    env.wait_ready(last).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    let before = ended(&env);
    let (status, _) = call(&env, CALLS + last, &Method::GET, FATAL).await;
    assert_eq!((status, ended(&env)), (StatusCode::SERVICE_UNAVAILABLE, before));
    assert!(before < SERVERS, "no server is left");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_succeeds_between_ends_of_servers_is_not_refused() {
    let env = start().await;
    for round in 0..3 {
        end_servers_on(&env, SOUND);
        call(&env, round * 10, &Method::GET, SOUND).await;
        end_servers_on(&env, FATAL);
        tokio::time::sleep(CALL_INTERVAL * 2).await;
        env.wait_until("the call is served", async || {
            call(&env, round * 10 + 1, &Method::GET, SOUND).await.0 == StatusCode::OK
        })
        .await;
    }
    assert!(ended(&env) >= 3, "{} servers ended", ended(&env));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_was_made_before_gets_its_outcome_although_it_is_refused_now() {
    let env = start().await;
    end_servers_on(&env, "/none");
    let key = fresh_key(0);
    let path = format!("/services/crew{FATAL}");
    let headers = [("idempotency-key", key.as_str())];
    let first = env.call(0, Method::POST, &path, &headers, "same").await;
    end_servers_on(&env, FATAL);
    for number in 0..CALLS {
        call(&env, number, &Method::POST, FATAL).await;
        tokio::time::sleep(CALL_INTERVAL).await;
    }
    let (_, problem) = call(&env, CALLS, &Method::POST, FATAL).await;
    let repeated = env.call(1, Method::POST, &path, &headers, "same").await;
    assert_eq!(first.expect("a response").status(), StatusCode::OK);
    assert_eq!(problem, r#""urn:nutmeghead:problem:quarantined" "not_run""#);
    assert_eq!(repeated.expect("a response").status(), StatusCode::OK);
}
