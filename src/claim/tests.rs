//! Tests of claims.

pub(crate) mod fixture;
mod proof;
mod state;

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use self::fixture::{Node, Noise, Platform, fleet, run};
use super::{Call, Completed, Failure, Fingerprint, Key, Reason, Reply, Status, Verdict};
use crate::name;

const MINUTE_MS: u64 = 60_000;

fn organisation() -> name::Organisation {
    name::Organisation::new("rumbo").unwrap()
}

fn call(key: Key, body: &str) -> Call {
    Call {
        organisation: organisation(),
        key,
        fingerprint: Fingerprint::new("POST", "/swap", body.as_bytes()),
        timeout_ms: 2_000,
    }
}

fn reply() -> Reply {
    Reply::new(201, [("location", "/swaps/1")], b"posted".as_slice().into())
}

/// Sends a call whose dispatch succeeds.
async fn send(node: &Node, key: Key, body: &str) -> Verdict<()> {
    node.claims
        .run(call(key, body), |_| async { Ok(Completed { response: (), reply: reply() }) })
        .await
}

async fn fail(node: &Node, key: Key, failure: Failure) -> Verdict<()> {
    node.claims.run(call(key, "a"), move |_| async move { Err(failure) }).await
}

fn pass(time_ms: u64) -> tokio::time::Sleep {
    sleep(Duration::from_millis(time_ms))
}

#[test]
fn repeats_get_the_recorded_outcome_or_a_conflict() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 3, false);
        let key = Key::new(platform.now_ms(), 1);
        assert_eq!(send(&nodes[2], key, "a").await, Verdict::Ran(()));
        pass(20).await;
        assert_eq!(nodes[1].claims.outcome(&organisation(), key).await, Status::Done(reply()));
        pass(2_000).await;
        assert_eq!(send(&nodes[1], key, "a").await, Verdict::Recorded(reply()));
        assert_eq!(send(&nodes[0], key, "b").await, Verdict::Conflict);
        assert_eq!(nodes[2].claims.outcome(&organisation(), key).await, Status::Done(reply()));
    });
}

#[test]
fn a_call_that_was_not_sent_can_be_repeated_and_an_unanswered_one_cannot() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 3, false);
        let (first, second) = (Key::new(platform.now_ms(), 1), Key::new(platform.now_ms(), 2));
        assert!(matches!(
            fail(&nodes[1], first, Failure::NotSent).await,
            Verdict::NotRun { reason: Reason::NotSent, .. }
        ));
        assert!(matches!(fail(&nodes[1], second, Failure::Unknown).await, Verdict::Unknown { .. }));
        pass(2_000).await;
        assert_eq!(nodes[0].claims.outcome(&organisation(), first).await, Status::NotRun);
        assert_eq!(send(&nodes[2], first, "a").await, Verdict::Ran(()));
        assert!(matches!(send(&nodes[2], second, "a").await, Verdict::Unknown { .. }));
    });
}

#[test]
fn keys_outside_the_window_are_refused_without_an_append() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 2, false);
        let now_ms = platform.now_ms();
        let day_ms = 1_440 * MINUTE_MS;
        let cases =
            [(now_ms - day_ms - 1, Reason::KeyExpired), (now_ms + 2 * MINUTE_MS, Reason::KeyAhead)];
        for (time_ms, expected) in cases {
            let verdict = send(&nodes[1], Key::new(time_ms, 1), "a").await;
            assert!(matches!(verdict, Verdict::Expired { reason, .. } if reason == expected));
        }
        assert_eq!(platform.stored(), 0);
    });
}

/// Puts an empty record into each partition.
fn fill(platform: &Platform) {
    for number in 0..super::PARTITIONS {
        platform.push(&super::stream(number), super::record::encode(&[]).unwrap());
    }
}

/// Claims a key, lets time pass while the log retains records for `retained_ms`, and repeats at a fresh host.
async fn repeat_after(time_ms: u64, retained_ms: u64) -> Verdict<()> {
    let platform = Platform::new(1, Noise::default());
    let nodes = fleet(&platform, 2, false);
    let key = Key::new(platform.now_ms(), 1);
    assert_eq!(send(&nodes[1], key, "a").await, Verdict::Ran(()));
    for minute in 1..=time_ms / MINUTE_MS {
        pass(MINUTE_MS).await;
        let other = Key::new(platform.now_ms(), 1_000 + u128::from(minute));
        fill(&platform);
        assert_eq!(send(&nodes[0], other, "a").await, Verdict::Ran(()));
        platform.trim(retained_ms);
    }
    let fresh = fleet(&platform, 2, false);
    send(&fresh[1], key, "a").await
}

#[test]
fn an_old_key_is_read_from_the_log_or_refused_when_its_history_is_gone() {
    let hour_ms = 60 * MINUTE_MS;
    let verdict = run(repeat_after(hour_ms, 2 * hour_ms));
    assert_eq!(verdict, Verdict::Recorded(reply()));
    let verdict = run(repeat_after(hour_ms, hour_ms / 2));
    assert!(matches!(verdict, Verdict::Expired { reason: Reason::HistoryGone, .. }));
}

#[test]
fn marks_keep_a_quiet_partition_open_past_the_retention() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 2, false);
        fill(&platform);
        for _ in 0..90 {
            nodes[0].claims.maintain().await;
            pass(20_000).await;
            platform.trim(10 * MINUTE_MS);
        }
        let fresh = fleet(&platform, 2, false);
        let key = Key::new(platform.now_ms(), 1);
        assert_eq!(send(&fresh[1], key, "a").await, Verdict::Ran(()));
    });
}

#[test]
fn a_log_outage_refuses_at_once_and_tells_what_is_in_memory() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 2, false);
        let (old, new) = (Key::new(platform.now_ms(), 1), Key::new(platform.now_ms(), 2));
        assert_eq!(send(&nodes[1], old, "a").await, Verdict::Ran(()));
        pass(2_000).await;
        *platform.noise.lock().unwrap() = Noise { down_ms: (0, u64::MAX), ..Noise::default() };
        let start = Instant::now();
        let verdict = send(&nodes[1], new, "a").await;
        assert!(matches!(verdict, Verdict::NotRun { reason: Reason::LogDown, .. }));
        assert!(start.elapsed() < Duration::from_millis(500));
        assert_eq!(send(&nodes[1], old, "a").await, Verdict::Recorded(reply()));
    });
}

#[test]
fn draining_waits_for_open_calls_and_their_outcomes() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 2, false);
        let key = Key::new(platform.now_ms(), 1);
        let claims = nodes[1].claims.clone();
        let open = tokio::spawn(async move {
            let slow = |_| async {
                pass(3_000).await;
                Ok(Completed { response: (), reply: reply() })
            };
            claims.run(call(key, "a"), slow).await
        });
        pass(1_000).await;
        nodes[1].claims.drain().await;
        assert_eq!(open.await.unwrap(), Verdict::Ran(()));
        let late = send(&nodes[1], Key::new(platform.now_ms(), 2), "a").await;
        assert!(matches!(late, Verdict::NotRun { reason: Reason::Draining, .. }));
        nodes[1].health.kill();
        assert_eq!(nodes[0].claims.outcome(&organisation(), key).await, Status::Done(reply()));
    });
}

#[test]
fn calls_of_any_content_are_answered_or_refused() {
    run(async {
        let platform = Platform::new(5, Noise::default());
        let nodes = fleet(&platform, 1, false);
        let mut refused = 0;
        for _ in 0..2_000 {
            let body: Vec<u8> =
                (0..platform.draw(80)).map(|_| u8::try_from(platform.draw(256)).unwrap()).collect();
            refused += u32::from(nodes[0].claims.handle(&body).await.is_err());
        }
        assert!(refused > 1_000);
    });
}

#[test]
fn an_outage_is_met_with_few_calls_to_the_log() {
    run(async {
        let platform = Platform::new(1, Noise::default());
        let nodes = fleet(&platform, 12, false);
        for node in &nodes {
            node.claims.maintain().await;
        }
        let outage = Noise { down_ms: (0, u64::MAX), ..Noise::default() };
        *platform.noise.lock().unwrap() = outage;
        let (rate, seconds) = (570, 5);
        let mut calls = JoinSet::new();
        for number in 0..rate * seconds {
            let node = nodes[number as usize % nodes.len()].clone();
            let key = Key::new(platform.now_ms(), u128::from(number));
            let at_ms = platform.draw(seconds * 1_000);
            calls.spawn(async move {
                pass(at_ms).await;
                send(&node, key, "a").await
            });
        }
        let refused = |verdict: &Verdict<()>| matches!(verdict, Verdict::NotRun { .. });
        assert!(calls.join_all().await.iter().all(refused));
        let hosts_asked = 2;
        let most = u64::from(super::PARTITIONS) * hosts_asked * 2 * (seconds + 1);
        assert!(platform.refused() <= most, "{} calls, at most {most}", platform.refused());
    });
}

/// What claims at a steady rate cost.
struct Cost {
    /// Added delays, sorted.
    delays: Vec<Duration>,
    appends: u64,
    bytes: u64,
}

async fn load(rate: u64, seconds: u64) -> Cost {
    let platform = Platform::new(1, Noise::default());
    let nodes = fleet(&platform, 12, false);
    let mut calls = JoinSet::new();
    for number in 0..rate * seconds {
        let (node, platform) = (nodes[number as usize % 12].clone(), platform.clone());
        let at = Duration::from_micros(platform.draw(seconds * 1_000_000));
        calls.spawn(async move {
            sleep(at).await;
            let start = Instant::now();
            let key = Key::new(platform.now_ms(), u128::from(number));
            assert_eq!(send(&node, key, "a").await, Verdict::Ran(()));
            start.elapsed()
        });
    }
    let mut delays = calls.join_all().await;
    delays.sort();
    pass(5_000).await;
    let claims = rate * seconds;
    Cost { delays, appends: platform.stored() / seconds, bytes: platform.moved() / claims }
}

#[test]
fn appends_and_delay_at_the_design_size() {
    let Cost { delays, appends, bytes } = run(load(570, 20));
    let at = |share: usize| delays[delays.len() * share / 100].as_millis();
    let (median, tail) = (at(50), at(99));
    insta::assert_snapshot!(format!(
        "{appends} appends/s, {bytes} bytes a claim, delay {median} ms at p50, {tail} ms at p99"
    ));
}
