//! Documents reach all entry hosts and are never replaced by older ones.

use standin::{fleet, log};

use crate::testenv::{Event, TestEnv};

async fn version(env: &TestEnv, node: usize) -> f64 {
    env.metric(node, "nutmeghead_document_version", "").await
}

async fn wait_in_force(env: &TestEnv, node: usize, expected: f64) {
    env.wait_until("the document is in force", async || version(env, node).await == expected).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn of_two_documents_for_the_same_base_one_is_in_force_everywhere() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;
    let first = format!("# first\n{}", env.fleet.document());
    let second = format!("# second\n{}", env.fleet.document());

    env.fleet.submit(1, &first).unwrap();
    env.fleet.submit(1, &second).unwrap();
    env.fleet.submit(2, "organisations = 7").unwrap();

    for node in 0..3 {
        wait_in_force(&env, node, 2.0).await;
    }
    env.fleet.submit(2, &second).unwrap();
    for node in 0..3 {
        wait_in_force(&env, node, 5.0).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_while_the_log_is_down_gets_the_document_from_its_peers() {
    let mut env = TestEnv::start(3, &fleet::Settings::default()).await;
    env.fleet.submit(1, &env.fleet.document()).unwrap();
    for node in 0..3 {
        wait_in_force(&env, node, 2.0).await;
    }

    env.fleet.log.control(log::Change { down: Some(true), ..Default::default() });
    env.nodes[2].kill();
    env.spawn(2);
    env.wait_ready(2).await;

    assert_eq!(version(&env, 2).await, 2.0);
    let mut stream = env.stream(2, "len=5", &[]).await;
    assert_eq!(stream.read_to_end().await.1, Event::Done);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_frozen_host_applies_the_newest_document_when_it_continues() {
    let env = TestEnv::start(3, &fleet::Settings::default()).await;

    env.nodes[1].signal("STOP");
    env.fleet.submit(1, &env.fleet.document()).unwrap();
    env.fleet.submit(2, &env.fleet.document()).unwrap();
    wait_in_force(&env, 0, 3.0).await;
    wait_in_force(&env, 2, 3.0).await;
    env.nodes[1].signal("CONT");

    wait_in_force(&env, 1, 3.0).await;
}
