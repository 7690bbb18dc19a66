//! Tests of the claims service on a simulated log.

mod at_most_once;
pub(crate) mod fixture;
mod state;

use std::time::Duration;

use tokio::task::JoinSet;
use tokio::time::{Instant, sleep};

use self::fixture::{Faults, Simulation, TestHost, run, start_hosts};
use super::{Call, Completed, Failure, Key, Reason, Reply, Status, Verdict};
use crate::fingerprint::Fingerprint;
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
async fn send(host: &TestHost, key: Key, body: &str) -> Verdict<()> {
    host.claims
        .run(call(key, body), |_| async { Ok(Completed { response: (), reply: reply() }) })
        .await
}

async fn fail(host: &TestHost, key: Key, failure: Failure) -> Verdict<()> {
    host.claims.run(call(key, "a"), move |_| async move { Err(failure) }).await
}

fn sleep_ms(time_ms: u64) -> tokio::time::Sleep {
    sleep(Duration::from_millis(time_ms))
}

#[test]
fn retries_get_the_recorded_outcome_or_a_conflict() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 3, false);
        let key = Key::new(simulation.now_ms(), 1);
        assert_eq!(send(&hosts[2], key, "a").await, Verdict::Ran(()));
        sleep_ms(20).await;
        assert_eq!(hosts[1].claims.outcome(&organisation(), key).await, Status::Done(reply()));
        sleep_ms(2_000).await;
        assert_eq!(send(&hosts[1], key, "a").await, Verdict::Recorded(reply()));
        assert_eq!(send(&hosts[0], key, "b").await, Verdict::Conflict);
        assert_eq!(hosts[2].claims.outcome(&organisation(), key).await, Status::Done(reply()));
    });
}

#[test]
fn a_call_that_was_not_sent_can_be_retried_and_one_without_a_response_cannot() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 3, false);
        let (first, second) = (Key::new(simulation.now_ms(), 1), Key::new(simulation.now_ms(), 2));
        assert!(matches!(
            fail(&hosts[1], first, Failure::NotSent).await,
            Verdict::NotRun { reason: Reason::NotSent, .. }
        ));
        assert!(matches!(fail(&hosts[1], second, Failure::Unknown).await, Verdict::Unknown { .. }));
        sleep_ms(2_000).await;
        assert_eq!(hosts[0].claims.outcome(&organisation(), first).await, Status::NotRun);
        assert_eq!(send(&hosts[2], first, "a").await, Verdict::Ran(()));
        assert!(matches!(send(&hosts[2], second, "a").await, Verdict::Unknown { .. }));
    });
}

#[test]
fn keys_outside_the_retention_window_are_refused_without_an_append() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 2, false);
        let now_ms = simulation.now_ms();
        let day_ms = 1_440 * MINUTE_MS;
        let cases =
            [(now_ms - day_ms - 1, Reason::KeyExpired), (now_ms + 2 * MINUTE_MS, Reason::KeyAhead)];
        for (time_ms, expected) in cases {
            let verdict = send(&hosts[1], Key::new(time_ms, 1), "a").await;
            assert!(matches!(verdict, Verdict::Expired { reason, .. } if reason == expected));
        }
        assert_eq!(simulation.append_count(), 0);
    });
}

/// Appends an empty record to each partition.
fn append_empty_records(simulation: &Simulation) {
    for number in 0..super::PARTITIONS {
        simulation.push(&super::stream(number), super::record::encode(&[]).unwrap());
    }
}

/// Claims a key, waits `time_ms` while the log retains records for `retention_ms`, and retries at a new host.
async fn retry_after(time_ms: u64, retention_ms: u64) -> Verdict<()> {
    let simulation = Simulation::new(1, Faults::default());
    let hosts = start_hosts(&simulation, 2, false);
    let key = Key::new(simulation.now_ms(), 1);
    assert_eq!(send(&hosts[1], key, "a").await, Verdict::Ran(()));
    for minute in 1..=time_ms / MINUTE_MS {
        sleep_ms(MINUTE_MS).await;
        let other = Key::new(simulation.now_ms(), 1_000 + u128::from(minute));
        append_empty_records(&simulation);
        assert_eq!(send(&hosts[0], other, "a").await, Verdict::Ran(()));
        simulation.trim(retention_ms);
    }
    let new_hosts = start_hosts(&simulation, 2, false);
    send(&new_hosts[1], key, "a").await
}

#[test]
fn an_old_key_is_read_from_the_log_or_refused_when_its_history_is_gone() {
    let hour_ms = 60 * MINUTE_MS;
    let verdict = run(retry_after(hour_ms, 2 * hour_ms));
    assert_eq!(verdict, Verdict::Recorded(reply()));
    let verdict = run(retry_after(hour_ms, hour_ms / 2));
    assert!(matches!(verdict, Verdict::Expired { reason: Reason::HistoryGone, .. }));
}

#[test]
fn keepalive_records_keep_an_idle_partition_usable_past_the_retention_time() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 2, false);
        append_empty_records(&simulation);
        for _ in 0..90 {
            hosts[0].claims.maintain().await;
            sleep_ms(20_000).await;
            simulation.trim(10 * MINUTE_MS);
        }
        let new_hosts = start_hosts(&simulation, 2, false);
        let key = Key::new(simulation.now_ms(), 1);
        assert_eq!(send(&new_hosts[1], key, "a").await, Verdict::Ran(()));
    });
}

#[test]
fn a_log_outage_refuses_new_calls_at_once_and_returns_cached_outcomes() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 2, false);
        let (old, new) = (Key::new(simulation.now_ms(), 1), Key::new(simulation.now_ms(), 2));
        assert_eq!(send(&hosts[1], old, "a").await, Verdict::Ran(()));
        sleep_ms(2_000).await;
        *simulation.faults.lock().unwrap() =
            Faults { outage_ms: (0, u64::MAX), ..Faults::default() };
        let start = Instant::now();
        let verdict = send(&hosts[1], new, "a").await;
        assert!(matches!(verdict, Verdict::NotRun { reason: Reason::LogDown, .. }));
        assert!(start.elapsed() < Duration::from_millis(500));
        assert_eq!(send(&hosts[1], old, "a").await, Verdict::Recorded(reply()));
    });
}

#[test]
fn draining_waits_for_running_calls_and_their_outcomes() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 2, false);
        let key = Key::new(simulation.now_ms(), 1);
        let claims = hosts[1].claims.clone();
        let open = tokio::spawn(async move {
            let slow = |_| async {
                sleep_ms(3_000).await;
                Ok(Completed { response: (), reply: reply() })
            };
            claims.run(call(key, "a"), slow).await
        });
        sleep_ms(1_000).await;
        hosts[1].claims.drain().await;
        assert_eq!(open.await.unwrap(), Verdict::Ran(()));
        let late = send(&hosts[1], Key::new(simulation.now_ms(), 2), "a").await;
        assert!(matches!(late, Verdict::NotRun { reason: Reason::Draining, .. }));
        hosts[1].health.kill();
        assert_eq!(hosts[0].claims.outcome(&organisation(), key).await, Status::Done(reply()));
    });
}

#[test]
fn arbitrary_request_bodies_get_a_response_or_an_error() {
    run(async {
        let simulation = Simulation::new(5, Faults::default());
        let hosts = start_hosts(&simulation, 1, false);
        let mut refused = 0;
        for _ in 0..2_000 {
            let body: Vec<u8> = (0..simulation.random_below(80))
                .map(|_| u8::try_from(simulation.random_below(256)).unwrap())
                .collect();
            refused += u32::from(hosts[0].claims.handle(&body).await.is_err());
        }
        assert!(refused > 1_000);
    });
}

#[test]
fn an_outage_causes_a_bounded_number_of_calls_to_the_log() {
    run(async {
        let simulation = Simulation::new(1, Faults::default());
        let hosts = start_hosts(&simulation, 12, false);
        for host in &hosts {
            host.claims.maintain().await;
        }
        let outage = Faults { outage_ms: (0, u64::MAX), ..Faults::default() };
        *simulation.faults.lock().unwrap() = outage;
        let (rate, seconds) = (570, 5);
        let mut calls = JoinSet::new();
        for number in 0..rate * seconds {
            let host = hosts[number as usize % hosts.len()].clone();
            let key = Key::new(simulation.now_ms(), u128::from(number));
            let at_ms = simulation.random_below(seconds * 1_000);
            calls.spawn(async move {
                sleep_ms(at_ms).await;
                send(&host, key, "a").await
            });
        }
        let refused = |verdict: &Verdict<()>| matches!(verdict, Verdict::NotRun { .. });
        assert!(calls.join_all().await.iter().all(refused));
        let owners_per_partition = 2;
        let most = u64::from(super::PARTITIONS) * owners_per_partition * 2 * (seconds + 1);
        assert!(
            simulation.refused_calls() <= most,
            "{} calls, at most {most}",
            simulation.refused_calls()
        );
    });
}

/// Cost of claims at a steady rate.
struct Cost {
    /// Delays added by claims, sorted.
    delays: Vec<Duration>,
    appends: u64,
    bytes: u64,
}

async fn measure_load(rate: u64, seconds: u64) -> Cost {
    let simulation = Simulation::new(1, Faults::default());
    let hosts = start_hosts(&simulation, 12, false);
    let mut calls = JoinSet::new();
    for number in 0..rate * seconds {
        let (host, simulation) = (hosts[number as usize % 12].clone(), simulation.clone());
        let at = Duration::from_micros(simulation.random_below(seconds * 1_000_000));
        calls.spawn(async move {
            sleep(at).await;
            let start = Instant::now();
            let key = Key::new(simulation.now_ms(), u128::from(number));
            assert_eq!(send(&host, key, "a").await, Verdict::Ran(()));
            start.elapsed()
        });
    }
    let mut delays = calls.join_all().await;
    delays.sort();
    sleep_ms(5_000).await;
    let claims = rate * seconds;
    Cost {
        delays,
        appends: simulation.append_count() / seconds,
        bytes: simulation.transferred_bytes() / claims,
    }
}

#[test]
fn append_rate_and_delay_at_570_calls_per_second() {
    let Cost { delays, appends, bytes } = run(measure_load(570, 20));
    let percentile = |percent: usize| delays[delays.len() * percent / 100].as_millis();
    let (median, tail) = (percentile(50), percentile(99));
    insta::assert_snapshot!(format!(
        "{appends} appends/s, {bytes} bytes a claim, delay {median} ms at p50, {tail} ms at p99"
    ));
}
