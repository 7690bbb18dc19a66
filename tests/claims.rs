//! Claims against a log service on loopback that loses responses and is unavailable for a while.

use std::collections::HashMap;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use bytes::Bytes;
use nutmeghead::claim::{Call, Completed, Holder, Key, Ownership, Reply, Service, Status, Verdict};
use nutmeghead::clock::System;
use nutmeghead::fingerprint::Fingerprint;
use nutmeghead::peer::{self, Protocol};
use nutmeghead::{log, name};
use tokio::task::JoinSet;
use tokio::time::sleep;

type Claims = Service<log::Http, Link, Owners, System>;

const HOSTS: usize = 3;
const KEYS: usize = 24;
const MAX_ATTEMPTS: usize = 40;

/// Delivers peer calls to the other hosts in this process.
#[derive(Clone, Default)]
struct Link(Arc<Mutex<HashMap<name::Host, Claims>>>);

impl peer::Link for Link {
    async fn call(
        &self,
        host: &name::Host,
        _: Protocol,
        body: Bytes,
    ) -> Result<Bytes, peer::Error> {
        let claims = self.0.lock().expect("not poisoned").get(host).cloned();
        let claims = claims.ok_or_else(|| peer::Error::UnknownHost(host.clone()))?;
        Ok(claims.handle(&body).await?)
    }
}

/// Ranks the hosts in the same order for every key.
#[derive(Clone)]
struct Owners(Vec<name::Host>);

impl Ownership for Owners {
    fn owners(&self, _: &str, count: usize) -> Vec<name::Host> {
        self.0.iter().take(count).cloned().collect()
    }
}

fn organisation() -> name::Organisation {
    name::Organisation::new("rumbo").expect("a name")
}

fn host_name(index: usize) -> name::Host {
    name::Host::new(format!("h-{index}")).expect("a name")
}

fn start_services(address: std::net::SocketAddr) -> Vec<Claims> {
    let names: Vec<_> = (0..HOSTS).map(host_name).collect();
    let link = Link::default();
    let start = |host: &name::Host| {
        let holder = Holder { host: host.clone(), incarnation: 1 };
        let (log, owners) = (log::Http::new(address), Owners(names.clone()));
        let claims = Service::new(holder, log, link.clone(), owners, System::new(), 86_400_000);
        link.0.lock().expect("not poisoned").insert(host.clone(), claims.clone());
        claims
    };
    names.iter().map(start).collect()
}

/// Sends one key through one host until the outcome is final. Returns 1 if this call ran, and 0 if it got the reply of an
/// earlier run. Fails with the last verdict after `MAX_ATTEMPTS`.
async fn send(claims: Claims, key: Key, executions: Arc<AtomicU32>) -> Result<u32, Verdict<()>> {
    let mut last = None;
    for _ in 0..MAX_ATTEMPTS {
        let fingerprint = Fingerprint::new("POST", "/swap", b"one");
        let call = Call { organisation: organisation(), key, fingerprint, timeout_ms: 1_000 };
        let executions = executions.clone();
        let dispatch = move |_| async move {
            executions.fetch_add(1, Ordering::Relaxed);
            sleep(Duration::from_millis(20)).await;
            Ok(Completed {
                response: (),
                reply: Reply::new(200, [], Bytes::from_static(b"posted")),
            })
        };
        match claims.run(call, dispatch).await {
            Verdict::Ran(()) => return Ok(1),
            Verdict::Recorded(_) => return Ok(0),
            other => last = Some(other),
        }
        sleep(Duration::from_millis(200)).await;
    }
    Err(last.expect("at least one attempt"))
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_key_runs_once_while_the_log_loses_responses_and_is_down() {
    let settings = standin::log::Settings { seed: 11, ..Default::default() };
    let server = standin::log::Server::start(settings).unwrap();
    server.control(standin::log::Change { lose_permille: Some(300), ..Default::default() });
    let services = start_services(server.address());
    let now_ms = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64;
    let mut calls = JoinSet::new();
    let mut executions = Vec::new();
    for number in 0..KEYS {
        let (key, count) = (Key::new(now_ms, number as u128), Arc::new(AtomicU32::new(0)));
        executions.push((key, count.clone()));
        for claims in &services {
            calls.spawn(send(claims.clone(), key, count.clone()));
        }
    }
    sleep(Duration::from_millis(300)).await;
    server.control(standin::log::Change { down: Some(true), ..Default::default() });
    sleep(Duration::from_millis(700)).await;
    let recovery =
        standin::log::Change { down: Some(false), lose_permille: Some(0), ..Default::default() };
    server.control(recovery);
    let reported_runs: u32 = calls.join_all().await.into_iter().map(|result| result.unwrap()).sum();
    assert_eq!(reported_runs, KEYS as u32);
    for claims in &services {
        claims.drain().await;
    }
    for (key, count) in executions {
        assert_eq!(count.load(Ordering::Relaxed), 1);
        let status = services[2].outcome(&organisation(), key).await;
        assert!(matches!(status, Status::Done(_)), "{status:?}");
    }
}
