//! A log, links, clocks and hosts in virtual time, with faults drawn from a seed.

use std::collections::HashMap;
use std::future::pending;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::sync::oneshot;
use tokio::time::{Instant, sleep, sleep_until};

use crate::claim::{Holder, Service, View};
use crate::clock::{Clock, Reading};
use crate::peer::{self, Protocol};
use crate::{log, name};

const EPOCH_MS: u64 = 1_700_000_000_000;
pub(crate) type Claims = Service<Log, Link, Ranking, Virtual>;

/// Whether one host is alive, frozen or dead.
#[derive(Default)]
pub(crate) struct Health {
    dead: AtomicBool,
    frozen_until: Mutex<Option<Instant>>,
}

impl Health {
    pub(crate) fn kill(&self) {
        self.dead.store(true, Ordering::Relaxed);
    }

    pub(crate) fn is_dead(&self) -> bool {
        self.dead.load(Ordering::Relaxed)
    }

    pub(crate) fn freeze(&self, time: Duration) {
        *self.frozen_until.lock().unwrap() = Some(Instant::now() + time);
    }

    /// Where a dead host stops for ever and a frozen one until it thaws.
    pub(crate) async fn gate(&self) {
        if self.dead.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
        let until = *self.frozen_until.lock().unwrap();
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }
}

/// Faults of the platform and the links; probabilities are per call.
#[derive(Clone, Copy, Default)]
pub(crate) struct Noise {
    pub(crate) lost: f64,
    pub(crate) slow_ms: u64,
    pub(crate) cut: f64,
    /// The log is down from the first to the second time, in milliseconds.
    pub(crate) down_ms: (u64, u64),
    pub(crate) hangs: bool,
}

pub(crate) struct Platform {
    streams: Mutex<HashMap<String, (u64, Vec<log::Record>)>>,
    random: Mutex<StdRng>,
    pub(crate) noise: Mutex<Noise>,
    pub(crate) start: Instant,
    appends: AtomicU64,
    refused: AtomicU64,
    bytes: AtomicU64,
}

impl Platform {
    pub(crate) fn new(seed: u64, noise: Noise) -> Arc<Self> {
        Arc::new(Self {
            streams: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            noise: Mutex::new(noise),
            start: Instant::now(),
            appends: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            bytes: AtomicU64::new(0),
        })
    }

    pub(crate) fn now_ms(&self) -> u64 {
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap();
        EPOCH_MS + elapsed
    }

    pub(crate) fn draw(&self, below: u64) -> u64 {
        self.random.lock().unwrap().random_range(0..below.max(1))
    }

    fn chance(&self, probability: f64) -> bool {
        self.random.lock().unwrap().random_bool(probability)
    }

    fn noise(&self) -> Noise {
        *self.noise.lock().unwrap()
    }

    fn is_down(&self) -> bool {
        let (from, to) = self.noise().down_ms;
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap();
        (from..to).contains(&elapsed)
    }

    async fn delay(&self) {
        let delay_ms = 1 + self.draw(2 + self.noise().slow_ms);
        sleep(Duration::from_millis(delay_ms)).await;
    }

    pub(crate) fn stored(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    /// Calls made while the log was down.
    pub(crate) fn refused(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Bytes of all bodies sent to and from the log and between hosts.
    pub(crate) fn moved(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count(&self, bytes: usize) {
        self.bytes.fetch_add(bytes as u64, Ordering::Relaxed);
    }

    pub(crate) fn push(&self, stream: &str, body: Bytes) -> u64 {
        let time_ms = self.now_ms();
        let mut streams = self.streams.lock().unwrap();
        let (first, records) = streams.entry(stream.to_owned()).or_default();
        let offset = *first + records.len() as u64;
        records.push(log::Record { offset, time_ms, body });
        self.appends.fetch_add(1, Ordering::Relaxed);
        offset
    }

    /// Forgets all records older than `age_ms`, as retention does.
    pub(crate) fn trim(&self, age_ms: u64) {
        let limit_ms = self.now_ms() - age_ms;
        for (first, records) in self.streams.lock().unwrap().values_mut() {
            let count = records.iter().take_while(|r| r.time_ms < limit_ms).count();
            records.drain(..count);
            *first += count as u64;
        }
    }

    fn slice(&self, stream: &str, from: u64) -> log::Batch {
        let streams = self.streams.lock().unwrap();
        let Some((first, records)) = streams.get(stream) else { return log::Batch::default() };
        let from = from.max(*first);
        let start = usize::try_from(from - first).unwrap().min(records.len());
        let records: Vec<_> = records[start..].iter().take(16).cloned().collect();
        let next = from + records.len() as u64;
        log::Batch { records, next, first: *first }
    }
}

#[derive(Clone)]
pub(crate) struct Log {
    pub(crate) platform: Arc<Platform>,
    pub(crate) health: Arc<Health>,
}

impl log::Log for Log {
    async fn append(&self, stream: &str, body: Bytes) -> Result<u64, log::Error> {
        self.health.gate().await;
        if self.platform.is_down() {
            return Err(self.refuse().await);
        }
        self.platform.count(body.len());
        let (sender, receiver) = oneshot::channel();
        let (platform, stream) = (self.platform.clone(), stream.to_owned());
        // The append takes effect whether or not the caller still waits.
        tokio::spawn(async move {
            platform.delay().await;
            let offset = platform.push(&stream, body);
            platform.delay().await;
            let _ = sender.send(offset);
        });
        let lost = self.platform.chance(self.platform.noise().lost);
        let offset = receiver.await.map_err(|_| log::Error::Lost)?;
        self.health.gate().await;
        if lost { Err(log::Error::Lost) } else { Ok(offset) }
    }

    async fn read(&self, stream: &str, from: u64, _: u64) -> Result<log::Batch, log::Error> {
        self.health.gate().await;
        if self.platform.is_down() {
            return Err(self.refuse().await);
        }
        self.platform.delay().await;
        let batch = self.platform.slice(stream, from);
        self.platform.count(batch.records.iter().map(|r| r.body.len() * 4 / 3).sum());
        self.health.gate().await;
        Ok(batch)
    }
}

impl Log {
    async fn refuse(&self) -> log::Error {
        self.platform.refused.fetch_add(1, Ordering::Relaxed);
        if self.platform.noise().hangs {
            sleep(Duration::from_secs(30)).await;
            return log::Error::Lost;
        }
        log::Error::Refused(503)
    }
}

#[derive(Clone)]
pub(crate) struct Link {
    platform: Arc<Platform>,
    health: Arc<Health>,
    hosts: Arc<Mutex<HashMap<name::Host, Node>>>,
}

impl peer::Link for Link {
    async fn call(
        &self,
        host: &name::Host,
        _: Protocol,
        body: Bytes,
    ) -> Result<Bytes, peer::Error> {
        self.health.gate().await;
        if self.platform.chance(self.platform.noise().cut) {
            return Err(peer::Error::Unreachable(host.clone()));
        }
        self.platform.delay().await;
        let Some(node) = self.hosts.lock().unwrap().get(host).cloned() else {
            return Err(peer::Error::UnknownHost(host.clone()));
        };
        let sent = body.len();
        let answer = tokio::spawn(async move {
            node.health.gate().await;
            let answer = node.claims.handle(&body).await;
            node.health.gate().await;
            answer
        });
        let answer = answer.await.map_err(|_| peer::Error::Lost(host.clone()))??;
        self.platform.count(sent + answer.len());
        self.health.gate().await;
        if self.platform.chance(self.platform.noise().lost) {
            return Err(peer::Error::Lost(host.clone()));
        }
        Ok(answer)
    }
}

/// A fixed order of hosts.
#[derive(Clone)]
pub(crate) struct Ranking(pub Vec<name::Host>);

impl View for Ranking {
    fn rank(&self, _: &str, count: usize) -> Vec<name::Host> {
        self.0.iter().take(count).cloned().collect()
    }
}

#[derive(Clone)]
pub(crate) struct Virtual(pub Arc<Platform>);

impl Clock for Virtual {
    fn read(&self) -> Reading {
        let now_ms = self.0.now_ms();
        Reading { monotonic_ms: now_ms - EPOCH_MS, boot_ms: None, wall_ms: now_ms }
    }
}

/// An entry host.
#[derive(Clone)]
pub(crate) struct Node {
    pub(crate) claims: Claims,
    pub(crate) health: Arc<Health>,
}

/// Starts `count` hosts; the first owns all partitions and the second backs them up, but with `split` each host takes
/// itself for the owner.
pub(crate) fn fleet(platform: &Arc<Platform>, count: usize, split: bool) -> Vec<Node> {
    let names: Vec<_> = (0..count).map(|i| name::Host::new(format!("h-{i}")).unwrap()).collect();
    let hosts = Arc::new(Mutex::new(HashMap::new()));
    let mut nodes = Vec::new();
    for host in &names {
        let health = Arc::new(Health::default());
        let mut ranking = names.clone();
        if split {
            ranking.retain(|name| name != host);
            ranking.insert(0, host.clone());
        }
        let log = Log { platform: platform.clone(), health: health.clone() };
        let link =
            Link { platform: platform.clone(), health: health.clone(), hosts: hosts.clone() };
        let holder = Holder { host: host.clone(), incarnation: 1 };
        let clock = Virtual(platform.clone());
        let claims = Service::new(holder, log, link, Ranking(ranking), clock, 86_400_000);
        let node = Node { claims, health };
        hosts.lock().unwrap().insert(host.clone(), node.clone());
        nodes.push(node);
    }
    nodes
}

/// Runs `test` in virtual time.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(test)
}
