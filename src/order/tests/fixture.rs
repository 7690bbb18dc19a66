//! Simulated engines, weight store and hosts in virtual time.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use tokio::task::JoinHandle;
use tokio::time::{Instant, sleep};

use crate::claim::tests::fixture::{Faults, Health, Log, Simulation, VirtualClock};
use crate::claim::{Holder, Ownership};
use crate::document::{Document, Engine, Role};
use crate::name;
use crate::order::{Actual, Desired, Error, Kind, Order, Service, Target, Weights, plan};

/// Time until a retry that the weight store returns, in seconds.
pub(super) const RETRY_AFTER_S: u64 = 5;

/// A document of engines that serve one model with one adapter.
pub(super) fn document(engines: usize, fences: bool, version: &str) -> Desired {
    let mut text = format!(
        "organisations = []\n[[workloads]]\nname = \"w\"\npriority = 0\n\
         [[models]]\nname = \"m\"\nworkload = \"w\"\nversion = \"{version}\"\nadapters = [\"a\"]\n"
    );
    for index in 0..engines {
        text += &format!(
            "[[engines]]\nname = \"e-{index}\"\naddress = \"127.0.0.1:{}\"\ndomain = \"d\"\n\
             models = [\"m\"]\nmemory_tokens = 1000\nrole = \"decode\"\nfences = {fences}\n",
            1_000 + index
        );
    }
    let document: Document = toml::from_str(&text).unwrap();
    Desired {
        environment: name::Environment::new("trial").unwrap(),
        version: version.parse().unwrap(),
        document: Arc::new(document),
    }
}

/// An order that reached an engine.
#[derive(Clone, Debug)]
pub(super) struct SentOrder {
    pub host: usize,
    pub address: SocketAddr,
    pub fence: u64,
    pub kind: Kind,
    pub applied: bool,
}

#[derive(Default)]
struct WeightStore {
    loads_per_s: Option<u32>,
    next: Option<Instant>,
    granted: usize,
    limited: usize,
}

struct Targets {
    fences: bool,
    engines: Mutex<HashMap<SocketAddr, Actual>>,
    sent: Mutex<Vec<SentOrder>>,
    store: Mutex<WeightStore>,
    load_time: Mutex<Duration>,
}

#[derive(Clone)]
pub(super) struct FakeTarget {
    host: usize,
    health: Arc<Health>,
    targets: Arc<Targets>,
    freeze_connect: Arc<Mutex<Option<Duration>>>,
    freeze_order: Arc<Mutex<Option<Duration>>>,
    freeze_grant: Arc<Mutex<Option<Duration>>>,
}

impl FakeTarget {
    async fn simulate_call(&self, freeze: Option<&Mutex<Option<Duration>>>) {
        if let Some(time) = freeze.and_then(|freeze| freeze.lock().unwrap().take()) {
            self.health.freeze(time);
        }
        self.health.wait_until_running().await;
        sleep(Duration::from_millis(2)).await;
    }
}

impl FakeTarget {
    /// Records the order and returns whether the engine accepts it.
    fn accept_order(&self, address: SocketAddr, order: &Order) -> bool {
        let mut engines = self.targets.engines.lock().unwrap();
        let actual = engines.get_mut(&address).unwrap();
        let applied = !self.targets.fences || order.fence >= actual.fence;
        let (host, fence, kind) = (self.host, order.fence, order.kind.clone());
        self.targets.sent.lock().unwrap().push(SentOrder { host, address, fence, kind, applied });
        if applied {
            actual.fence = fence;
        }
        applied
    }
}

impl Target for FakeTarget {
    async fn state(&self, address: SocketAddr) -> Result<Actual, Error> {
        self.simulate_call(None).await;
        Ok(self.targets.engines.lock().unwrap()[&address].clone())
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: Order,
        may_send: impl FnOnce() -> bool + Send,
    ) -> Result<(), Error> {
        self.simulate_call(Some(&self.freeze_connect)).await;
        if !may_send() {
            return Err(Error::LeaseEnded);
        }
        self.simulate_call(Some(&self.freeze_order)).await;
        if !self.accept_order(address, &order) {
            return Err(Error::Fenced);
        }
        let load_time = *self.targets.load_time.lock().unwrap();
        sleep(load_time).await;
        let mut engines = self.targets.engines.lock().unwrap();
        let actual = engines.get_mut(&address).unwrap();
        match order.kind {
            Kind::LoadModel { model } => actual.models.push(model),
            Kind::LoadAdapter { adapter, .. } => actual.adapters.push(adapter),
            Kind::UnloadAdapter { adapter, .. } => actual.adapters.retain(|a| *a != adapter),
            Kind::SetVersion { version } => actual.version = version,
            Kind::SetRole { role } => actual.role = role,
        }
        Ok(())
    }

    async fn request_grant(&self, _: Weights) -> Result<(), Error> {
        self.simulate_call(Some(&self.freeze_grant)).await;
        let mut store = self.targets.store.lock().unwrap();
        if let Some(loads_per_s) = store.loads_per_s {
            let now = Instant::now();
            if store.next.is_some_and(|next| now < next) {
                store.limited += 1;
                return Err(Error::Limited(RETRY_AFTER_S));
            }
            store.next = Some(now + Duration::from_secs(1) / loads_per_s);
        }
        store.granted += 1;
        Ok(())
    }
}

/// Makes each host consider itself the owner of every engine, or distributes engines by number modulo `shared_by`.
#[derive(Clone)]
pub(super) struct ModuloOwnership {
    host: name::Host,
    index: usize,
    shared_by: Arc<Mutex<Option<usize>>>,
}

impl Ownership for ModuloOwnership {
    fn owners(&self, topic: &str, _: usize) -> Vec<name::Host> {
        let number = topic.rsplit('-').next().and_then(|text| text.parse::<usize>().ok());
        match (*self.shared_by.lock().unwrap(), number) {
            (Some(count), Some(number)) if number % count != self.index => Vec::new(),
            _ => vec![self.host.clone()],
        }
    }
}

pub(super) struct Host {
    pub health: Arc<Health>,
    target: FakeTarget,
    ownership: ModuloOwnership,
    service: Service<Log, FakeTarget, ModuloOwnership, VirtualClock>,
}

pub(super) struct Harness {
    pub simulation: Arc<Simulation>,
    pub hosts: Vec<Host>,
    targets: Arc<Targets>,
}

impl Harness {
    pub(super) fn new(
        seed: u64,
        hosts: usize,
        engines: usize,
        fences: bool,
        faults: Faults,
    ) -> Self {
        let simulation = Simulation::new(seed, faults);
        let initial = Actual {
            models: vec!["m".to_owned()],
            adapters: Vec::new(),
            version: "1".to_owned(),
            role: Role::Mixed,
            fence: 0,
        };
        let desired = document(engines, fences, "1");
        let address = |engine: &Engine| (engine.address, initial.clone());
        let targets = Arc::new(Targets {
            fences,
            engines: Mutex::new(desired.document.engines.iter().map(address).collect()),
            sent: Mutex::default(),
            store: Mutex::default(),
            load_time: Mutex::default(),
        });
        let hosts = (0..hosts).map(|index| host(index, &simulation, &targets)).collect();
        Self { simulation, hosts, targets }
    }

    pub(super) fn with_loads_per_s(self, loads_per_s: u32) -> Self {
        self.targets.store.lock().unwrap().loads_per_s = Some(loads_per_s);
        self.with_shared_engines()
    }

    pub(super) fn with_load_time(self, time: Duration) -> Self {
        *self.targets.load_time.lock().unwrap() = time;
        self
    }

    pub(super) async fn release(&self, host: usize, document: &Desired) {
        self.hosts[host].service.release(document).await;
    }

    pub(super) fn with_shared_engines(self) -> Self {
        for host in &self.hosts {
            *host.ownership.shared_by.lock().unwrap() = Some(self.hosts.len());
        }
        self
    }

    pub(super) async fn round(&self, host: usize, document: &Desired) {
        self.hosts[host].service.reconcile(document).await;
    }

    pub(super) fn spawn_rounds(
        &self,
        host: usize,
        document: Desired,
        rounds: usize,
    ) -> JoinHandle<()> {
        let service = self.hosts[host].service.clone();
        tokio::spawn(async move {
            for _ in 0..rounds {
                service.reconcile(&document).await;
            }
        })
    }

    pub(super) fn freeze_at_connect(&self, host: usize, time: Duration) {
        *self.hosts[host].target.freeze_connect.lock().unwrap() = Some(time);
    }

    pub(super) fn freeze_at_order(&self, host: usize, time: Duration) {
        *self.hosts[host].target.freeze_order.lock().unwrap() = Some(time);
    }

    pub(super) fn freeze_at_grant(&self, host: usize, time: Duration) {
        *self.hosts[host].target.freeze_grant.lock().unwrap() = Some(time);
    }

    /// Removes the adapters of random engines, as an engine restart does.
    pub(super) fn clear_some_adapters(&self) {
        for actual in self.targets.engines.lock().unwrap().values_mut() {
            if self.simulation.random_below(3) == 0 {
                actual.adapters.clear();
            }
        }
    }

    pub(super) fn sent(&self) -> Vec<SentOrder> {
        self.targets.sent.lock().unwrap().clone()
    }

    pub(super) fn grants(&self) -> (usize, usize) {
        let store = self.targets.store.lock().unwrap();
        (store.granted, store.limited)
    }

    pub(super) fn addresses(&self) -> Vec<SocketAddr> {
        self.targets.engines.lock().unwrap().keys().copied().collect()
    }

    pub(super) fn matches(&self, desired: &Desired) -> bool {
        let engines = self.targets.engines.lock().unwrap();
        let desired = &desired.document;
        desired
            .engines
            .iter()
            .all(|engine| plan(desired, engine, &engines[&engine.address]).is_empty())
    }
}

fn host(index: usize, simulation: &Arc<Simulation>, targets: &Arc<Targets>) -> Host {
    let host = name::Host::new(format!("h-{index}")).unwrap();
    let health = Arc::new(Health::default());
    let target = FakeTarget {
        host: index,
        health: health.clone(),
        targets: targets.clone(),
        freeze_connect: Arc::default(),
        freeze_order: Arc::default(),
        freeze_grant: Arc::default(),
    };
    let ownership = ModuloOwnership { host: host.clone(), index, shared_by: Arc::default() };
    let log = Log { simulation: simulation.clone(), health: health.clone() };
    let holder = Holder { host, incarnation: 1 };
    let clock = VirtualClock(simulation.clone());
    let service = Service::new(holder, log, target.clone(), ownership.clone(), clock);
    Host { health, target, ownership, service }
}
