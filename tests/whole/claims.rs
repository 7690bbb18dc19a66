//! Calls that run at most once, while their host is frozen or killed.

use std::time::{Duration, Instant};

use http::StatusCode;
use nutmeghead::claim::{Key, PARTITIONS, Slot, stream};
use nutmeghead::name;
use standin::{fleet, log};
use tokio::time::sleep;

use crate::services::{executions, fresh_key, outcome, swap};
use crate::testenv::TestEnv;

/// Longer than a holder may take from its claim to its dispatch.
const FREEZE: Duration = Duration::from_secs(8);

/// Time within which an outcome is in the log: two batches of 0.3 s (docs/CLAIMS.md), as the first may just have begun.
const OUTCOME_DELAY: Duration = Duration::from_millis(600);

/// The records of the stream that holds claims on `key`.
fn records(env: &TestEnv, key: &str) -> usize {
    let organisation = name::Organisation::new("charter").expect("a name");
    let key: Key = key.parse().expect("a key");
    let partition = Slot::new(&organisation, key).partition(PARTITIONS);
    let has_key = |body: &[u8]| {
        nutmeghead::claim::record::decode(body).is_ok_and(|entries| !entries.is_empty())
    };
    let records = env.fleet.log.records(&stream(partition));
    records.iter().filter(|record| has_key(&record.body)).count()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_frozen_between_claim_and_dispatch_does_not_dispatch_late() {
    let env = TestEnv::start(2, &fleet::Settings::default()).await;
    sleep(Duration::from_secs(1)).await;
    env.fleet.log.control(log::Change { slow_ms: Some(400), ..Default::default() });
    let key = fresh_key(21);
    let second = async {
        env.wait_until("the claim is in the log", async || records(&env, &key) > 0).await;
        env.nodes[0].signal("STOP");
        env.fleet.log.control(log::Change { slow_ms: Some(0), ..Default::default() });
        let (_, meanwhile) = swap(&env, 1, &key).await.expect("a response");
        sleep(FREEZE).await;
        env.nodes[0].signal("CONT");
        meanwhile
    };

    let (first, meanwhile) = tokio::join!(swap(&env, 0, &key), second);

    assert_eq!(meanwhile["outcome"], "unknown", "{meanwhile}");
    let (status, problem) = first.expect("a response");
    assert_eq!(status, StatusCode::SERVICE_UNAVAILABLE, "{problem}");
    assert_eq!(problem["outcome"], "not_run");
    assert_eq!(executions(&env, &key), 0);
    env.wait_until("the swap runs", async || {
        swap(&env, 1, &key).await.is_some_and(|answer| answer.0 == StatusCode::OK)
    })
    .await;
    assert_eq!(executions(&env, &key), 1);
    // The outcome is in the log one batch after the answer; until then the call counts as in progress everywhere.
    let answered = Instant::now();
    loop {
        let told = outcome(&env, 0, &key).await;
        if told["outcome"] == "done" {
            break;
        }
        assert_eq!(told["outcome"], "in_progress", "{told}");
        assert!(answered.elapsed() < OUTCOME_DELAY, "{told}");
        sleep(Duration::from_millis(20)).await;
    }
}
