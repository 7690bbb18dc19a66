//! Tests of the running watch.

use std::collections::HashMap;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;
use tokio::time::timeout;

use super::memory::Memory;
use super::{environment, text};
use crate::config::{Operator, Renewal, Watch};
use crate::document::Active;
use crate::metrics::Instruments;
use crate::peer::{Duty, Error, Link};
use crate::{name, wire};

/// Calls other hosts in the same process.
#[derive(Clone)]
struct Local {
    own: name::Host,
    hosts: Arc<Mutex<HashMap<name::Host, Watch<Memory, Local>>>>,
}

impl Link for Local {
    async fn call(&self, host: &name::Host, _: Duty, body: Bytes) -> Result<Bytes, Error> {
        let watch = self.hosts.lock().unwrap().get(host).cloned();
        let watch = watch.ok_or_else(|| Error::Unreachable(host.clone()))?;
        Ok(watch.answer(&self.own, &body)?)
    }
}

struct Fleet {
    log: Memory,
    peers: watch::Sender<Vec<name::Host>>,
    hosts: Arc<Mutex<HashMap<name::Host, Watch<Memory, Local>>>>,
}

impl Fleet {
    fn new() -> Self {
        Self { log: Memory::default(), peers: watch::Sender::default(), hosts: Arc::default() }
    }

    fn start(&self, name: &str) -> Watch<Memory, Local> {
        let own = name::Host::new(name).unwrap();
        let link = Local { own: own.clone(), hosts: self.hosts.clone() };
        let watch = Watch::new(
            environment("trial"),
            self.log.clone(),
            link,
            self.peers.subscribe(),
            Instruments::new().unwrap(),
            Renewal::default(),
            slog::Logger::root(slog::Discard, slog::o!()),
        );
        self.hosts.lock().unwrap().insert(own.clone(), watch.clone());
        self.peers.send_modify(|peers| peers.push(own));
        let running = watch.clone();
        tokio::spawn(async move { running.run().await });
        watch
    }
}

async fn document(watch: &Watch<Memory, Local>, version: u64) -> Arc<Active> {
    let mut documents = watch.documents();
    let newer = documents.wait_for(|d| d.as_ref().is_some_and(|d| d.version() >= version));
    timeout(Duration::from_secs(30), newer).await.unwrap().unwrap().clone().unwrap()
}

#[tokio::test]
async fn documents_reach_running_and_new_hosts_also_with_the_log_down() {
    let fleet = Fleet::new();
    let first = fleet.start("h1");
    let ada = Operator::new(fleet.log.clone(), "ada");
    let trial = environment("trial");

    let submitted = ada.submit(&trial, None, &text(1)).await.unwrap();
    assert_eq!(document(&first, submitted.version).await.text(), &text(1));

    fleet.log.state().down = true;
    let second = fleet.start("h2");
    assert_eq!(document(&second, submitted.version).await.text(), &text(1));

    fleet.log.state().down = false;
    let next = ada.submit(&trial, Some(submitted.version), &text(2)).await.unwrap();
    for host in [&first, &second] {
        assert_eq!(document(host, next.version).await.text(), &text(2));
        assert_eq!(host.version(), next.version);
    }
}

#[tokio::test]
async fn a_version_heard_of_is_fetched_and_bad_messages_are_refused() {
    let fleet = Fleet::new();
    let first = fleet.start("h1");
    let ada = Operator::new(fleet.log.clone(), "ada");
    let version = ada.submit(&environment("trial"), None, &text(1)).await.unwrap().version;
    document(&first, version).await;
    fleet.log.state().down = true;
    let second = fleet.start("h2");

    second.hear(&name::Host::new("h1").unwrap(), version);

    assert_eq!(document(&second, version).await.version(), version);
    let host = name::Host::new("h3").unwrap();
    assert!(matches!(first.answer(&host, b"\xff"), Err(wire::Error::Malformed(_))));
    for cut in 0..40 {
        let message = wire::encode(&(Some((version, "x", "y", 1, "z")), cut)).unwrap();
        let bytes = &message[..message.len().min(cut)];
        assert!(!matches!(crate::config::message::decode(bytes), Ok(Some(_))), "{cut}");
    }
}
