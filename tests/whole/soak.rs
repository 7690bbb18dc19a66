//! A randomized soak: an entry host between stand-ins while faults come in series and overlap. Callers and servers state
//! what they saw, and the promises are checked against it.
//!
//! `SOAK_SEEDS=100..150 cargo test --test whole -- soak` plays other seeds; a few run each time.

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use http::StatusCode;
use http_body_util::BodyExt as _;
use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};
use standin::platform::{Behaviour, Outage};

use crate::testenv::platform::{EVENTS, KEY, Platform, read_events};

/// How long faults come.
const LENGTH: Duration = Duration::from_secs(8);

/// Pause of a caller between two requests.
const CALLER_PAUSE: Duration = Duration::from_millis(25);

/// Callers of each kind of request.
const CALLERS: usize = 3;

/// Time within which every request has ended: callers wait 4 s, and hosts may be frozen for a second.
const END_TIMEOUT: Duration = Duration::from_secs(20);

/// Seeds that run each time, and those that ever failed.
///
/// 109: a look-up that a server had run got the bare 503 of the next server, which passes for "not run".
const SEEDS: [u64; 3] = [1, 2, 109];

const PATHS: [&str; 4] = ["/swap/1", "/lookup/1", "/rebuild/1", "/check/1"];

/// What a caller saw.
struct Seen {
    id: String,
    path: &'static str,
    /// `None` if the connection broke before an answer.
    status: Option<StatusCode>,
    /// Numbers of the events of a stream.
    events: Vec<u64>,
    whole: bool,
    /// Whether the answer bears the request's own id.
    own: bool,
}

#[tokio::test(flavor = "multi_thread")]
async fn promises_hold_under_random_faults() {
    for seed in seeds() {
        let platform = Platform::start().await;
        let seen = play(&platform, seed).await;
        check(&platform, seed, &seen);
    }
}

fn seeds() -> Vec<u64> {
    let Ok(text) = std::env::var("SOAK_SEEDS") else { return SEEDS.to_vec() };
    let (first, end) = text.split_once("..").expect("FIRST..END");
    (first.parse().expect("a number")..end.parse().expect("a number")).collect()
}

async fn play(platform: &Platform, seed: u64) -> Vec<Seen> {
    let ids = AtomicU64::new(0);
    let until = Instant::now() + LENGTH;
    let callers = (0..CALLERS * PATHS.len())
        .map(|index| call(platform, PATHS[index % PATHS.len()], &ids, until));
    let callers = futures_all(callers);
    let (seen, ()) = tokio::join!(callers, disturb(platform, seed, until));
    seen
}

/// Runs all callers at once and puts together what they saw.
async fn futures_all(callers: impl Iterator<Item = impl Future<Output = Vec<Seen>>>) -> Vec<Seen> {
    let mut callers: Vec<_> = callers.map(Box::pin).collect();
    let mut seen = Vec::new();
    std::future::poll_fn(|context| {
        callers.retain_mut(|caller| match caller.as_mut().poll(context) {
            std::task::Poll::Ready(part) => {
                seen.extend(part);
                false
            }
            std::task::Poll::Pending => true,
        });
        if callers.is_empty() { std::task::Poll::Ready(()) } else { std::task::Poll::Pending }
    })
    .await;
    seen
}

async fn call(
    platform: &Platform,
    path: &'static str,
    ids: &AtomicU64,
    until: Instant,
) -> Vec<Seen> {
    let mut all = Vec::new();
    while Instant::now() < until {
        let id = format!("q-{}", ids.fetch_add(1, Ordering::Relaxed));
        let one = request(platform, path, id.clone());
        let one = tokio::time::timeout(END_TIMEOUT, one).await;
        all.push(one.unwrap_or_else(|_| panic!("{id} on {path} has no end")));
        tokio::time::sleep(CALLER_PAUSE).await;
    }
    all
}

async fn request(platform: &Platform, path: &'static str, id: String) -> Seen {
    let mut seen = Seen { id, path, status: None, events: Vec::new(), whole: false, own: true };
    let Some(response) = platform.send(&seen.id, path, &[]).await else { return seen };
    seen.status = Some(response.status());
    let echoed = response.headers().get("nutmeghead-request-id");
    seen.own = echoed.is_some_and(|echoed| *echoed == *seen.id);
    if is_stream(path) && response.status() == StatusCode::OK {
        (seen.events, seen.whole) = read_events(response).await;
    } else {
        seen.whole = response.into_body().collect().await.is_ok();
    }
    seen
}

fn is_stream(path: &str) -> bool {
    path.starts_with("/rebuild") || path.starts_with("/check")
}

/// Injects faults from outside until the time is over, then ends them all.
async fn disturb(platform: &Platform, seed: u64, until: Instant) {
    let mut random = StdRng::seed_from_u64(seed);
    while Instant::now() < until {
        tokio::time::sleep(Duration::from_millis(random.random_range(20..400))).await;
        match random.random_range(0..9) {
            0 => platform.store.set_outage(pick(
                &mut random,
                &[Outage::None, Outage::Refusing, Outage::Silent, Outage::LosingAnswers],
            )),
            1 => platform.store.compact(pick(&mut random, &["keyed.op", "keyed.servers"])),
            2 | 3 => {
                let behaviours = [
                    Behaviour::Sound,
                    Behaviour::Full,
                    Behaviour::BareRefusal,
                    Behaviour::Failing,
                    Behaviour::HangingUp,
                    Behaviour::Crossed,
                    Behaviour::Unstamped,
                    Behaviour::CuttingStreams,
                ];
                let servers: Vec<_> = platform.engines.iter().chain(&platform.servers).collect();
                pick(&mut random, &servers).set_behaviour(pick(&mut random, &behaviours));
            }
            4 => {
                let state = pick(&mut random, &["draining", "ready"]);
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

async fn freeze(platform: &Platform, random: &mut StdRng) {
    platform.signal("STOP");
    tokio::time::sleep(Duration::from_millis(random.random_range(50..1_000))).await;
    platform.signal("CONT");
}

fn pick<T: Copy>(random: &mut StdRng, values: &[T]) -> T {
    values[random.random_range(0..values.len())]
}

fn check(platform: &Platform, seed: u64, seen: &[Seen]) {
    assert!(seen.len() > 100, "seed {seed}: {} requests", seen.len());
    for one in seen {
        let Seen { id, path, status, events, whole, own } = one;
        let runs = platform.runs(id);
        let context = format!("seed {seed}: {id} {path} {status:?} ran {runs} times, {events:?}");
        if *path == "/swap/1" {
            assert!(runs <= 1, "repeated: {context}");
        }
        if matches!(status.map(|status| status.as_u16()), Some(408 | 421 | 429 | 503)) {
            assert_eq!(runs, 0, "said not to have run: {context}");
        }
        if *status == Some(StatusCode::OK) {
            assert!(*own && runs >= 1, "not its own answer: {context}");
        }
        let in_order: Vec<u64> = (1..=events.len() as u64).collect();
        assert_eq!(*events, in_order, "out of order: {context}");
        if is_stream(path) && *status == Some(StatusCode::OK) && *whole {
            assert_eq!(events.len() as u64, EVENTS, "looks whole: {context}");
        }
    }
}
