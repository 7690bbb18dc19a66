//! Simulated log, links, clocks and hosts in virtual time, with faults drawn from a seed.

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

use crate::claim::{Holder, Ownership, Service};
use crate::clock::{Clock, Reading};
use crate::peer::{self, Protocol};
use crate::{log, name};

const EPOCH_MS: u64 = 1_700_000_000_000;
pub(crate) type ClaimService = Service<Log, Link, FixedOrder, VirtualClock>;

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

    /// Never returns on a dead host, and waits on a frozen host until it resumes.
    pub(crate) async fn wait_until_running(&self) {
        if self.dead.load(Ordering::Relaxed) {
            pending::<()>().await;
        }
        let until = *self.frozen_until.lock().unwrap();
        if let Some(until) = until {
            sleep_until(until).await;
        }
    }
}

/// Faults of the log and the links; probabilities are per call.
#[derive(Clone, Copy, Default)]
pub(crate) struct Faults {
    pub(crate) lost_probability: f64,
    pub(crate) extra_delay_ms: u64,
    pub(crate) unreachable_probability: f64,
    /// Start and end of a log outage, in milliseconds since the start of the simulation.
    pub(crate) outage_ms: (u64, u64),
    pub(crate) outage_hangs: bool,
}

pub(crate) struct Simulation {
    streams: Mutex<HashMap<String, (u64, Vec<log::Record>)>>,
    random: Mutex<StdRng>,
    pub(crate) faults: Mutex<Faults>,
    pub(crate) start: Instant,
    appends: AtomicU64,
    refused: AtomicU64,
    bytes: AtomicU64,
}

impl Simulation {
    pub(crate) fn new(seed: u64, faults: Faults) -> Arc<Self> {
        Arc::new(Self {
            streams: Mutex::default(),
            random: Mutex::new(StdRng::seed_from_u64(seed)),
            faults: Mutex::new(faults),
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

    pub(crate) fn random_below(&self, below: u64) -> u64 {
        self.random.lock().unwrap().random_range(0..below.max(1))
    }

    fn random_bool(&self, probability: f64) -> bool {
        self.random.lock().unwrap().random_bool(probability)
    }

    fn faults(&self) -> Faults {
        *self.faults.lock().unwrap()
    }

    fn is_down(&self) -> bool {
        let (from, to) = self.faults().outage_ms;
        let elapsed = u64::try_from(self.start.elapsed().as_millis()).unwrap();
        (from..to).contains(&elapsed)
    }

    async fn delay(&self) {
        let delay_ms = 1 + self.random_below(2 + self.faults().extra_delay_ms);
        sleep(Duration::from_millis(delay_ms)).await;
    }

    pub(crate) fn append_count(&self) -> u64 {
        self.appends.load(Ordering::Relaxed)
    }

    /// Number of calls made while the log was down.
    pub(crate) fn refused_calls(&self) -> u64 {
        self.refused.load(Ordering::Relaxed)
    }

    /// Size of all bodies sent to and from the log and between hosts, in bytes.
    pub(crate) fn transferred_bytes(&self) -> u64 {
        self.bytes.load(Ordering::Relaxed)
    }

    fn count_bytes(&self, bytes: usize) {
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

    /// Removes all records older than `age_ms`, as retention does.
    pub(crate) fn trim(&self, age_ms: u64) {
        let limit_ms = self.now_ms() - age_ms;
        for (first, records) in self.streams.lock().unwrap().values_mut() {
            let count = records.iter().take_while(|r| r.time_ms < limit_ms).count();
            records.drain(..count);
            *first += count as u64;
        }
    }

    fn read(&self, stream: &str, from: u64) -> log::Batch {
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
    pub(crate) simulation: Arc<Simulation>,
    pub(crate) health: Arc<Health>,
}

impl log::Log for Log {
    async fn append(&self, stream: &str, body: Bytes) -> Result<u64, log::Error> {
        self.health.wait_until_running().await;
        if self.simulation.is_down() {
            return Err(self.outage_error().await);
        }
        self.simulation.count_bytes(body.len());
        let (sender, receiver) = oneshot::channel();
        let (simulation, stream) = (self.simulation.clone(), stream.to_owned());
        // The append takes effect even if the caller stops waiting.
        tokio::spawn(async move {
            simulation.delay().await;
            let offset = simulation.push(&stream, body);
            simulation.delay().await;
            let _ = sender.send(offset);
        });
        let lost = self.simulation.random_bool(self.simulation.faults().lost_probability);
        let offset = receiver.await.map_err(|_| log::Error::Lost)?;
        self.health.wait_until_running().await;
        if lost { Err(log::Error::Lost) } else { Ok(offset) }
    }

    async fn read(&self, stream: &str, from: u64, _: u64) -> Result<log::Batch, log::Error> {
        self.health.wait_until_running().await;
        if self.simulation.is_down() {
            return Err(self.outage_error().await);
        }
        self.simulation.delay().await;
        let batch = self.simulation.read(stream, from);
        self.simulation.count_bytes(batch.records.iter().map(|r| r.body.len() * 4 / 3).sum());
        self.health.wait_until_running().await;
        Ok(batch)
    }
}

impl Log {
    async fn outage_error(&self) -> log::Error {
        self.simulation.refused.fetch_add(1, Ordering::Relaxed);
        if self.simulation.faults().outage_hangs {
            sleep(Duration::from_secs(30)).await;
            return log::Error::Lost;
        }
        log::Error::Refused(503)
    }
}

#[derive(Clone)]
pub(crate) struct Link {
    simulation: Arc<Simulation>,
    health: Arc<Health>,
    hosts: Arc<Mutex<HashMap<name::Host, TestHost>>>,
}

impl peer::Link for Link {
    async fn call(
        &self,
        host: &name::Host,
        _: Protocol,
        body: Bytes,
    ) -> Result<Bytes, peer::Error> {
        self.health.wait_until_running().await;
        if self.simulation.random_bool(self.simulation.faults().unreachable_probability) {
            return Err(peer::Error::Unreachable(host.clone()));
        }
        self.simulation.delay().await;
        let Some(peer) = self.hosts.lock().unwrap().get(host).cloned() else {
            return Err(peer::Error::UnknownHost(host.clone()));
        };
        let sent = body.len();
        let response = tokio::spawn(async move {
            peer.health.wait_until_running().await;
            let response = peer.claims.handle(&body).await;
            peer.health.wait_until_running().await;
            response
        });
        let response = response.await.map_err(|_| peer::Error::Lost(host.clone()))??;
        self.simulation.count_bytes(sent + response.len());
        self.health.wait_until_running().await;
        if self.simulation.random_bool(self.simulation.faults().lost_probability) {
            return Err(peer::Error::Lost(host.clone()));
        }
        Ok(response)
    }
}

/// Assigns all topics to the same hosts, in this order.
#[derive(Clone)]
pub(crate) struct FixedOrder(pub Vec<name::Host>);

impl Ownership for FixedOrder {
    fn owners(&self, _: &str, count: usize) -> Vec<name::Host> {
        self.0.iter().take(count).cloned().collect()
    }
}

#[derive(Clone)]
pub(crate) struct VirtualClock(pub Arc<Simulation>);

impl Clock for VirtualClock {
    fn read(&self) -> Reading {
        let now_ms = self.0.now_ms();
        Reading { monotonic_ms: now_ms - EPOCH_MS, boot_ms: None, wall_ms: now_ms }
    }
}

/// A simulated entry host.
#[derive(Clone)]
pub(crate) struct TestHost {
    pub(crate) claims: ClaimService,
    pub(crate) health: Arc<Health>,
}

/// Starts `count` hosts. The first owns all partitions and the second is the backup; with `split_ownership` each host
/// considers itself the owner.
pub(crate) fn start_hosts(
    simulation: &Arc<Simulation>,
    count: usize,
    split_ownership: bool,
) -> Vec<TestHost> {
    let names: Vec<_> = (0..count).map(|i| name::Host::new(format!("h-{i}")).unwrap()).collect();
    let directory = Arc::new(Mutex::new(HashMap::new()));
    let mut hosts = Vec::new();
    for name in &names {
        let health = Arc::new(Health::default());
        let mut order = names.clone();
        if split_ownership {
            order.retain(|other| other != name);
            order.insert(0, name.clone());
        }
        let log = Log { simulation: simulation.clone(), health: health.clone() };
        let link = Link {
            simulation: simulation.clone(),
            health: health.clone(),
            hosts: directory.clone(),
        };
        let holder = Holder { host: name.clone(), incarnation: 1 };
        let clock = VirtualClock(simulation.clone());
        let claims = Service::new(holder, log, link, FixedOrder(order), clock, 86_400_000);
        let host = TestHost { claims, health };
        directory.lock().unwrap().insert(name.clone(), host.clone());
        hosts.push(host);
    }
    hosts
}

/// Runs `test` in virtual time.
pub(crate) fn run<T>(test: impl Future<Output = T>) -> T {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_time().start_paused(true).build().unwrap().block_on(test)
}
