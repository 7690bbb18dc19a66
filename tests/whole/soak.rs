//! Randomized soak test: an entry host between stand-ins serves requests while random faults follow and overlap each other.
//! What callers and servers observed is checked against the guarantees of the entry host.
//!
//! `SOAK_SEEDS=100..150 cargo test --test whole -- soak` runs these seeds instead of `SEEDS`.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt as _;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use standin::platform::{Behaviour, CrashPoint, Outage};

use crate::testenv::platform::{EVENTS, KEY, Platform, read_events};

/// Time during which callers send requests and faults are injected.
const DURATION: Duration = Duration::from_secs(8);

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// Number of concurrent callers per path.
const CALLERS_PER_PATH: usize = 3;

/// Upper bound on the time of a request: its deadline is 4 s, and the host may be frozen for up to 1 s at a time.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Seeds that run by default: a few, and those that have ever failed.
///
/// Seed 109: a server had run a look-up, but the caller got the bare 503 of the next server, which means "not run".
const SEEDS: [u64; 3] = [1, 2, 109];

/// Parts of the prompts of a caller.
const SOUND_PARTS: &str = "shared:1,own:1";
const BAD_PARTS: &str = "shared:1,bad:1,own:1";

/// Body of the calls that may crash servers.
const FATAL_BODY: &str = "fatal";

const PATHS: [&str; 4] = ["/swap/1", "/lookup/1", "/rebuild/1", "/check/1"];

/// What a caller observed of one request.
struct Observation {
    id: String,
    path: &'static str,
    /// `None` if the connection broke before a response.
    status: Option<StatusCode>,
    /// Numbers of the events of a stream.
    events: Vec<u64>,
    /// Whether the body ended without an error.
    complete: bool,
    /// Whether the response has the id of the request.
    id_matches: bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_under_random_faults() {
    for seed in seeds() {
        let platform = Platform::start().await;
        let observations = run_seed(&platform, seed, async {}).await;
        check_guarantees(&platform, seed, &observations);
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn guarantees_hold_while_servers_crash_under_requests_and_name_limits() {
    for seed in seeds() {
        let platform = Platform::start().await;
        let end = Instant::now() + DURATION;
        let faults = async {
            let under_calls = inject_fatal_calls(&platform, seed, end);
            tokio::join!(inject_server_faults(&platform, seed, end), under_calls);
        };
        let observations = run_seed(&platform, seed, faults).await;
        check_guarantees(&platform, seed, &observations);
    }
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS.to_vec() };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

/// Runs the callers and the faults of `seed` beside `faults`.
async fn run_seed(
    platform: &Platform,
    seed: u64,
    faults: impl Future<Output = ()>,
) -> Vec<Observation> {
    let ids = AtomicU64::new(0);
    let end = Instant::now() + DURATION;
    let callers = (0..CALLERS_PER_PATH * PATHS.len())
        .map(|index| run_caller(platform, PATHS[index % PATHS.len()], &ids, end));
    let callers = join_callers(callers);
    let (observations, (), ()) = tokio::join!(callers, inject_faults(platform, seed, end), faults);
    observations
}

/// Runs all callers concurrently and collects their observations.
async fn join_callers(
    callers: impl Iterator<Item = impl Future<Output = Vec<Observation>>>,
) -> Vec<Observation> {
    let mut callers: Vec<_> = callers.map(Box::pin).collect();
    let mut observations = Vec::new();
    std::future::poll_fn(|context| {
        callers.retain_mut(|caller| match caller.as_mut().poll(context) {
            std::task::Poll::Ready(part) => {
                observations.extend(part);
                false
            }
            std::task::Poll::Pending => true,
        });
        if callers.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    observations
}

async fn run_caller(
    platform: &Platform,
    path: &'static str,
    ids: &AtomicU64,
    end: Instant,
) -> Vec<Observation> {
    let mut observations = Vec::new();
    while Instant::now() < end {
        let id = format!("q-{}", ids.fetch_add(1, Ordering::Relaxed));
        let request = send(platform, path, id.clone());
        let observation = tokio::time::timeout(REQUEST_TIMEOUT, request).await;
        observations.push(observation.unwrap_or_else(|_| panic!("{id} on {path} did not end")));
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    observations
}

async fn send(platform: &Platform, path: &'static str, id: String) -> Observation {
    let mut observation = Observation {
        id,
        path,
        status: None,
        events: Vec::new(),
        complete: false,
        id_matches: true,
    };
    let parts = if observation.id.ends_with(['3', '6', '9']) { BAD_PARTS } else { SOUND_PARTS };
    let headers = [("nutmeghead-prefix-hash", parts)];
    let body = if observation.id.ends_with('4') { FATAL_BODY } else { "body" };
    let Some(response) = platform.send_body(&observation.id, path, &headers, body).await else {
        return observation;
    };
    observation.status = Some(response.status());
    let echoed = response.headers().get("nutmeghead-request-id");
    observation.id_matches = echoed.is_some_and(|echoed| *echoed == *observation.id);
    if is_stream(path) && response.status() == StatusCode::OK {
        (observation.events, observation.complete) = read_events(response).await;
    } else {
        observation.complete = response.into_body().collect().await.is_ok();
    }
    observation
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/rebuild") || path.starts_with("/check")
}

/// Injects random faults until `end`, then ends the outage of the store. Servers keep their last behaviour.
async fn inject_faults(platform: &Platform, seed: u64, end: Instant) {
    let mut random = StdRng::seed_from_u64(seed);
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..400))).await;
        match random.random_range(0..9) {
            0 => platform.store.set_outage(choose(
                &mut random,
                &[Outage::None, Outage::Refusing, Outage::Silent, Outage::LosingResponses],
            )),
            1 => platform.store.compact(choose(&mut random, &["keyed.op", "keyed.servers"])),
            2 | 3 => {
                let behaviours = [
                    Behaviour::Healthy,
                    Behaviour::Overloaded,
                    Behaviour::Unavailable,
                    Behaviour::Failing,
                    Behaviour::Disconnecting,
                    Behaviour::Crossed,
                    Behaviour::Unstamped,
                    Behaviour::TruncatingStreams,
                ];
                let servers: Vec<_> =
                    platform.engines.iter().chain(platform.servers.iter()).collect();
                choose(&mut random, &servers).set_behaviour(choose(&mut random, &behaviours));
            }
            4 => {
                let state = choose(&mut random, &["draining", "ready"]);
                platform.list(&platform.engines[random.random_range(0..2)], "pool", state);
            }
            5 => freeze(platform, &mut random).await,
            6 => {
                platform.kill();
                platform.spawn();
            }
            7 => platform.signal("HUP"),
            _ => platform.submit(&[KEY]),
        }
    }
    platform.store.set_outage(Outage::None);
}

/// Injects random faults of servers until `end`: engines that crash under a part of prompts, limits, and responses that end
/// with their connection. Servers keep their last behaviour.
async fn inject_server_faults(platform: &Platform, seed: u64, end: Instant) {
    let mut random = StdRng::seed_from_u64(!seed);
    // Between two events, a stream that ends with its connection would look complete if its engine was leaving.
    let points = [CrashPoint::Head, CrashPoint::FirstEvent, CrashPoint::InsideEvent];
    let servers: Vec<_> = platform.engines.iter().chain(platform.servers.iter()).collect();
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..400))).await;
        let engine = &platform.engines[random.random_range(0..2)];
        match random.random_range(0..4) {
            0 => {
                let restart_delay = Duration::from_millis(random.random_range(100..1_000));
                engine.crash_on_part("bad", choose(&mut random, &points), restart_delay);
            }
            1 => engine.repair(),
            2 => engine.set_unframed(),
            _ => {
                let limits = [None, Some("0"), Some("2"), Some("40")];
                choose(&mut random, &servers).set_limit(choose(&mut random, &limits));
            }
        }
    }
}

/// Makes backend servers crash under a certain call, and repairs them, at random times until `end`.
async fn inject_fatal_calls(platform: &Platform, seed: u64, end: Instant) {
    let mut random = StdRng::seed_from_u64(seed ^ u64::MAX >> 1);
    while Instant::now() < end {
        tokio::time::sleep(Duration::from_millis(random.random_range(100..1_500))).await;
        let server = &platform.servers[random.random_range(0..2)];
        if random.random_bool(0.3) {
            server.repair();
            continue;
        }
        let restart_delay = Duration::from_millis(random.random_range(100..1_000));
        let path = choose(&mut random, &["/lookup/1", "/swap/1"]);
        let point = choose(&mut random, &[CrashPoint::Head, CrashPoint::InsideEvent]);
        server.crash_on_request("o-1", path, FATAL_BODY, point, restart_delay);
    }
}

async fn freeze(platform: &Platform, random: &mut StdRng) {
    platform.signal("STOP");
    tokio::time::sleep(Duration::from_millis(random.random_range(50..1_000))).await;
    platform.signal("CONT");
}

fn choose<T: Copy>(random: &mut StdRng, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

fn check_guarantees(platform: &Platform, seed: u64, observations: &[Observation]) {
    assert!(observations.len() > 100, "seed {seed}: {} requests", observations.len());
    for observation in observations {
        let Observation { id, path, status, events, complete, id_matches } = observation;
        let runs = platform.runs(id);
        let context = format!("seed {seed}: {id} {path} {status:?} ran {runs} times, {events:?}");
        if *path == "/swap/1" {
            assert!(runs <= 1, "ran more than once: {context}");
        }
        if matches!(status.map(|status| status.as_u16()), Some(408 | 421 | 429 | 503)) {
            assert_eq!(runs, 0, "ran although reported as not run: {context}");
        }
        if *status == Some(StatusCode::OK) {
            assert!(*id_matches && runs >= 1, "response without its own execution: {context}");
        }
        let in_order: Vec<u64> = (1..=events.len() as u64).collect();
        assert_eq!(*events, in_order, "out of order: {context}");
        if is_stream(path) && *status == Some(StatusCode::OK) && *complete {
            assert_eq!(
                events.len() as u64,
                EVENTS,
                "incomplete stream without an error: {context}"
            );
        }
    }
}
