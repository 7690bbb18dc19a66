//! Orders over HTTP to engines, a weight store and a log service on loopback.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use nutmeghead::claim::{Holder, Ownership};
use nutmeghead::clock::System;
use nutmeghead::document::Document;
use nutmeghead::order::{Desired, Error, Http, Kind, Order, Service, Target, plan};
use nutmeghead::{log, name};
use tokio::time::sleep;

const MAX_ROUNDS: usize = 100;

/// Makes one host the owner of every key.
#[derive(Clone)]
struct Owner(name::Host);

impl Ownership for Owner {
    fn owners(&self, _: &str, _: usize) -> Vec<name::Host> {
        vec![self.0.clone()]
    }
}

fn desired(engines: &[SocketAddr]) -> Desired {
    let mut text = "organisations = []\n[[workloads]]\nname = \"w\"\npriority = 0\n\
         [[models]]\nname = \"m\"\nworkload = \"w\"\nversion = \"2\"\nadapters = [\"a\"]\n"
        .to_owned();
    for (index, address) in engines.iter().enumerate() {
        text += &format!(
            "[[engines]]\nname = \"e-{index}\"\naddress = \"{address}\"\ndomain = \"d\"\n\
             models = [\"m\"]\nmemory_tokens = 1000\nrole = \"decode\"\nfences = true\n"
        );
    }
    let document: Document = toml::from_str(&text).expect("a document");
    let environment = name::Environment::new("trial").expect("a name");
    Desired { environment, version: 1, document: Arc::new(document) }
}

#[tokio::test]
async fn engines_converge_to_the_document_within_the_rate_of_the_weight_store() {
    let server = standin::log::Server::start(Default::default()).unwrap();
    let limited = standin::weights::Settings { rate: 4.0, burst: 1.0, ..Default::default() };
    let store = standin::weights::Server::start(limited).unwrap();
    let engine = || standin::engine::Server::start(Default::default()).unwrap();
    let engines = [engine(), engine()];
    let desired = desired(&engines.each_ref().map(|engine| engine.address()));
    let target = Http::new(Some(store.address()));
    let host = name::Host::new("h-0").unwrap();
    let holder = Holder { host: host.clone(), incarnation: 1 };
    let log = log::Http::new(server.address());
    let service = Service::new(holder, log, target.clone(), Owner(host), System::new());
    let mut differs = true;
    for _ in 0..MAX_ROUNDS {
        service.reconcile(&desired).await;
        differs = false;
        for engine in &desired.document.engines {
            let actual = target.state(engine.address).await.unwrap();
            differs |= !plan(&desired.document, engine, &actual).is_empty();
        }
        if !differs {
            break;
        }
        sleep(Duration::from_millis(200)).await;
    }
    assert!(!differs);
    assert_eq!(server.records("leases").len(), 1);
    let loads = |kind: &str| matches!(kind, "load_model" | "load_adapter" | "set_version");
    let loaded = engines.iter().flat_map(|e| e.orders()).filter(|o| loads(&o.kind)).count();
    assert_eq!(store.state().granted, loaded as u64);
    assert!(store.state().limited > 0);
}

#[tokio::test]
async fn an_engine_that_fences_refuses_an_old_fencing_number() {
    let engine = standin::engine::Server::start(Default::default()).unwrap();
    let target = Http::new(None);
    let order = |fence: u64| {
        let kind = Kind::SetVersion { version: fence.to_string() };
        Order { order_id: uuid::Uuid::new_v4().hyphenated(), fence, kind }
    };
    let cases = [(5, Ok(())), (4, Err(Error::Fenced)), (5, Ok(())), (6, Ok(()))];
    for (fence, expected) in cases {
        assert_eq!(target.order(engine.address(), order(fence), || true).await, expected);
    }
    assert_eq!(target.state(engine.address()).await.unwrap().version, "6");
}
