//! Prompts with one start that crashes engines, at several entry hosts, beside other prompts.

use std::time::Duration;

use standin::engine::{self, Server};
use standin::fleet;

use crate::testenv::{Event, TestEnv};

/// Start of the prompts that crash engines, and length of the prefix that hosts compare, in bytes.
const BAD: &str = "poison ";
const PREFIX_BYTES: usize = 1_024;

/// Entry hosts: enough that engines would end at each of them.
const HOSTS: usize = 4;

/// Engines: more than may end.
const ENGINES: usize = 16;

/// Engines that may end: after five, three more.
const MAX_ENDED: usize = 8;

/// Prompts that crash engines.
const REQUESTS: usize = 12;

/// Time between two of them.
const REQUEST_INTERVAL: Duration = Duration::from_millis(200);

/// Time after the start of a host after which it and the others know each other.
const HOSTS_MEET_TIME: Duration = Duration::from_secs(2);

fn ended(env: &TestEnv) -> usize {
    env.fleet.engines.iter().filter(|engine| engine.has_stopped()).count()
}

async fn start() -> TestEnv {
    let settings = fleet::Settings { engines: ENGINES, ..Default::default() };
    let env = TestEnv::start(HOSTS, &settings).await;
    let change = engine::Change { die_on: Some(BAD.to_owned()), ..Default::default() };
    env.fleet.engines.iter().for_each(|engine: &Server| engine.control(change.clone()));
    env
}

/// A prompt that begins with `word` for longer than hosts compare, and is not like others in the end.
fn prompt(word: &str, number: usize) -> String {
    format!("{}{number} len=10", word.repeat(PREFIX_BYTES / word.len() + 1))
}

#[tokio::test(flavor = "multi_thread")]
async fn prompts_that_crash_engines_reach_few_more() {
    let env = start().await;
    for number in 0..REQUESTS {
        let (tokens, end) =
            env.stream(number % HOSTS, &prompt(BAD, number), &[]).await.read_to_end().await;
        assert!(tokens.is_empty() && matches!(end, Event::Problem(_)), "{end:?}");
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    assert!(ended(&env) <= MAX_ENDED, "{} engines ended", ended(&env));
    for number in 0..HOSTS {
        let mut stream = env.stream(number, &prompt("sound ", number), &[]).await;
        assert_eq!(stream.read_to_end().await.1, Event::Done);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_prompt_that_crashes_engines_is_not_sent_to_a_third() {
    let env = start().await;
    let (_, end) = env.stream(0, &prompt(BAD, 0), &[]).await.read_to_end().await;
    let Event::Problem(problem) = end else { panic!("{end:?}") };
    assert_eq!(problem["outcome"], "interrupted");
    assert!(ended(&env) <= 2, "{} engines ended", ended(&env));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_starts_later_knows_the_prompts_that_crashed_engines() {
    let mut env = start().await;
    for number in 0..REQUESTS {
        env.stream(number % 3, &prompt(BAD, number), &[]).await.read_to_end().await;
        tokio::time::sleep(REQUEST_INTERVAL).await;
    }
    env.nodes[3].kill();
    env.spawn(3);
    env.wait_ready(3).await;
    tokio::time::sleep(HOSTS_MEET_TIME).await;
    let before = ended(&env);
    let (_, end) = env.stream(3, &prompt(BAD, REQUESTS), &[]).await.read_to_end().await;
    let Event::Problem(problem) = end else { panic!("{end:?}") };
    assert_eq!(problem["type"], "urn:nutmeghead:problem:quarantined", "{problem}");
    assert_eq!((&problem["outcome"], ended(&env)), (&"not_run".into(), before));
}
