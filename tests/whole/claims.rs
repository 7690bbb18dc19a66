//! At-most-once calls whose host is frozen between claim and dispatch.

use std::time::{Duration, Instant};

use http::StatusCode;
use nutmeghead::claim::{Key, PARTITIONS, Slot, stream};
use nutmeghead::name;
use standin::{fleet, log};
use tokio::time::sleep;

use crate::services::{executions, fresh_key, outcome, swap};
use crate::testenv::TestEnv;

/// Longer than the time that a holder has from its claim to its dispatch.
const FREEZE_DURATION: Duration = Duration::from_secs(8);

/// Upper bound on the time until an outcome is in the log: two batches of 0.3 s (docs/CLAIMS.md), since a batch may have
/// just begun.
const MAX_OUTCOME_DELAY: Duration = Duration::from_millis(600);

/// Number of records with entries in the stream that holds the claims on `key`.
fn claim_records(env: &TestEnv, key: &str) -> usize {
    let organisation = name::Organisation::new("charter").expect("a name");
    let key: Key = key.parse().expect("a key");
    let partition = Slot::new(&organisation, key).partition(PARTITIONS);
    let has_entries = |body: &[u8]| {
        nutmeghead::claim::record::decode(body).is_ok_and(|entries| !entries.is_empty())
    };
    let records = env.fleet.log.records(&stream(partition));
    records.iter().filter(|record| has_entries(&record.body)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_frozen_between_claim_and_dispatch_does_not_dispatch_late() {
    let env = TestEnv::start(2, &fleet::Settings::default()).await;
    sleep(Duration::from_secs(1)).await;
    env.fleet.log.control(log::Change { slow_ms: Some(400), ..Default::default() });
    let key = fresh_key(21);
    let freeze = async {
        env.wait_until("the claim is in the log", async || claim_records(&env, &key) > 0).await;
        env.nodes[0].signal("STOP");
        env.fleet.log.control(log::Change { slow_ms: Some(0), ..Default::default() });
        let (_, repeat) = swap(&env, 1, &key).await.expect("a response");
        sleep(FREEZE_DURATION).await;
        env.nodes[0].signal("CONT");
        repeat
    };

    let (first, repeat) = tokio::join!(swap(&env, 0, &key), freeze);

    assert_eq!(repeat["outcome"], "unknown", "{repeat}");
    let (status, problem) = first.expect("a response");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{problem}");
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(executions(&env, &key), 0);
    env.wait_until("the swap runs", async || {
        swap(&env, 1, &key).await.is_some_and(|(status, _)| status == StatusCode::OK)
    })
    .await;
    assert_eq!(executions(&env, &key), 1);
    // The outcome is in the log one batch after the response; until then all hosts report the call as in progress.
    let responded = Instant::now();
    loop {
        let status = outcome(&env, 0, &key).await;
        if status["outcome"] == "done" {
            break;
        }
        assert_eq!(status["outcome"], "in_progress", "{status}");
        assert!(responded.elapsed() < MAX_OUTCOME_DELAY, "{status}");
        sleep(Duration::from_millis(20)).await;
    }
}
