//! Tests of permit requests to owners that reply, hold requests, fall silent or are unreachable.

use std::collections::HashMap;
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::watch;

use super::remote::Remote;
use super::*;
use crate::admission::Hint;
use crate::admission::wire::{Call, Message, Reply};
use crate::document::{Active, Intent, Role};
use crate::metrics::Instruments;
use crate::owner::Owners;
use crate::peer::{self, Link, Protocol};
use crate::{engine, hosts, owner, wire};

/// How a host responds to calls.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Silent,
    Unreachable,
    Replies(Option<Reply>),
    /// Holds the request this many times, then replies.
    Holds(usize, Reply),
}

/// A link with a scripted behaviour for each host, which records all calls.
#[derive(Clone)]
struct Script {
    hosts: Arc<HashMap<String, Behaviour>>,
    calls: Arc<Mutex<Vec<(String, Call)>>>,
}

impl Script {
    fn new(hosts: &[(&str, Behaviour)]) -> Self {
        let hosts =
            hosts.iter().map(|(host, behaviour)| ((*host).to_owned(), *behaviour)).collect();
        Self { hosts: Arc::new(hosts), calls: Arc::default() }
    }

    fn calls(&self) -> Vec<(String, Call)> {
        self.calls.lock().unwrap_or_else(PoisonError::into_inner).clone()
    }

    fn request_count(&self, host: &str) -> usize {
        let calls = self.calls();
        calls.iter().filter(|(to, call)| to == host && matches!(call, Call::Request(_))).count()
    }
}

impl Link for Script {
    async fn call(
        &self,
        host: &name::Host,
        protocol: Protocol,
        body: Bytes,
    ) -> Result<Bytes, peer::Error> {
        assert_eq!(protocol, Protocol::Admission);
        let message: Message = wire::decode(&body)?;
        let is_request = matches!(message.call, Call::Request(_));
        let earlier_requests = self.request_count(host.as_str());
        self.calls.lock().unwrap().push((host.to_string(), message.call));
        if !is_request {
            return Ok(Bytes::new());
        }
        let reply = match self.hosts[host.as_str()] {
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Unreachable => return Err(peer::Error::Unreachable(host.clone())),
            Behaviour::Replies(reply) => reply,
            Behaviour::Holds(times, _) if earlier_requests < times => {
                Some(Reply::Held(Hint::default()))
            }
            Behaviour::Holds(_, reply) => Some(reply),
        };
        Ok(wire::encode(&reply)?)
    }
}

/// Every engine has the primary owner `owner-NAME` and the backup owner `backup`.
#[derive(Clone)]
struct FixedOwners;

impl Owners for FixedOwners {
    fn owners(&self, key: &str, count: usize) -> Vec<name::Host> {
        let hosts = [format!("owner-{key}"), "backup".to_owned()];
        hosts.into_iter().take(count).map(|host| name::Host::new(host).unwrap()).collect()
    }

    fn owns(&self, host: &name::Host, key: &str) -> bool {
        self.owners(key, 1).first() == Some(host)
    }
}

fn remote(script: &Script) -> Remote<Script, FixedOwners> {
    remote_with_seed(script, 1)
}

fn remote_with_seed(script: &Script, seed: u64) -> Remote<Script, FixedOwners> {
    let (_, active) = watch::channel(None::<Arc<Active>>);
    let (_, leaving) = watch::channel(hosts::Leaving::default());
    let instruments = Instruments::new().unwrap();
    let owner = owner::Service::new(active, engine::Client::new(), instruments.clone());
    let local = name::Host::new("local").unwrap();
    Remote::new(local, script.clone(), FixedOwners, owner, leaving, instruments, seed)
}

fn engines(names: &[&str]) -> Vec<Arc<document::Engine>> {
    let engine = |name: &&str| document::Engine {
        name: name::Engine::new(name).unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: name::Domain::new("a").unwrap(),
        models: vec![name::Model::new("m").unwrap()],
        memory_tokens: 1_000,
        role: Role::Mixed,
        fences: true,
        intent: Intent::Serve,
    };
    names.iter().map(|name| Arc::new(engine(name))).collect()
}

fn request(priority: u8) -> Request {
    Request {
        attempt: Uuid::from_u128(7),
        model: name::Model::new("m").unwrap(),
        organisation: name::Organisation::new("o").unwrap(),
        share: 1.0,
        workload: name::Workload::new("w").unwrap(),
        priority,
        prompt_tokens: 10,
        max_tokens: None,
        prefix: 0,
    }
}

const GRANTED: Behaviour = Behaviour::Replies(Some(Reply::Granted(3, NO_LOAD)));
const REFUSED: Behaviour = Behaviour::Replies(Some(Reply::Refused(1_500, NO_LOAD)));
const NO_LOAD: Hint = Hint { load_permille: 0, running: 0, held: 0 };

#[tokio::test(start_paused = true)]
async fn the_first_owner_that_replies_decides() {
    use Behaviour::{Holds, Silent, Unreachable};
    let held = Holds(3, Reply::Granted(3, NO_LOAD));
    // Behaviour of the primary and of the backup owner, request priority, and engine priority of the grant, if any.
    let cases = [
        (GRANTED, REFUSED, 5, Some(3)),
        (held, REFUSED, 5, Some(3)),
        (Silent, GRANTED, 5, Some(3)),
        (Unreachable, GRANTED, 5, Some(3)),
        (Unreachable, REFUSED, 0, None),
        (Silent, Silent, 0, Some(0)),
        (Silent, Silent, 1, None),
        (Unreachable, Behaviour::Replies(None), 0, Some(0)),
        (REFUSED, GRANTED, 0, None),
    ];
    for (owner, backup, priority, expected) in cases {
        let script = Script::new(&[("owner-a", owner), ("backup", backup)]);

        let admitted = remote(&script).admit(&request(priority), &engines(&["a"]), &[]).await;

        let engine_priority = admitted.as_ref().ok().map(|grant| grant.engine_priority);
        assert_eq!(engine_priority, expected, "{owner:?} {backup:?} {priority}");
    }
}

#[tokio::test(start_paused = true)]
async fn all_engines_are_tried_before_a_refusal_with_the_shortest_retry_delay() {
    let refused_for_longer = Behaviour::Replies(Some(Reply::Refused(9_000, NO_LOAD)));
    let names = ["a", "b", "c", "d"];
    let hosts = [
        ("owner-a", refused_for_longer),
        ("owner-b", REFUSED),
        ("owner-c", refused_for_longer),
        ("owner-d", refused_for_longer),
    ];
    for seed in 0..200 {
        let script = Script::new(&hosts);

        let admitted =
            remote_with_seed(&script, seed).admit(&request(0), &engines(&names), &[]).await;

        assert_eq!(admitted.err().unwrap().retry_after, Duration::from_millis(1_500));
        for name in names {
            assert_eq!(script.request_count(&format!("owner-{name}")), 1, "{seed} {name}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn engines_that_were_tried_are_skipped() {
    let script = Script::new(&[("owner-a", GRANTED), ("owner-b", GRANTED)]);
    let engines = engines(&["a", "b"]);

    let grant =
        remote(&script).admit(&request(5), &engines, &[engines[0].name.clone()]).await.unwrap();

    assert_eq!(grant.engine.name.as_str(), "b");
    assert_eq!(script.request_count("owner-a"), 0);
}

#[tokio::test(start_paused = true)]
async fn the_end_of_a_permit_is_reported_to_its_owner() {
    type End = fn(<Remote<Script, FixedOwners> as Issuer>::Permit);
    let attempt = request(5).attempt.as_u128();
    let ends: [(End, Call); 3] = [
        (|permit| permit.finished(42), Call::Finished(attempt, 42)),
        (|permit| permit.failed(), Call::Cancelled(attempt)),
        (drop, Call::Cancelled(attempt)),
    ];
    for (end, expected) in ends {
        let script = Script::new(&[("owner-a", GRANTED)]);
        let grant = remote(&script).admit(&request(5), &engines(&["a"]), &[]).await.unwrap();

        end(grant.permit);
        tokio::time::sleep(Duration::from_millis(1)).await;

        let updates: Vec<_> = script.calls().into_iter().skip(1).collect();
        assert_eq!(updates, [("owner-a".to_owned(), expected)]);
    }
}

#[tokio::test(start_paused = true)]
async fn a_request_is_cancelled_at_an_owner_that_does_not_reply() {
    let script = Script::new(&[("owner-a", Behaviour::Silent), ("backup", GRANTED)]);

    let grant = remote(&script).admit(&request(5), &engines(&["a"]), &[]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;

    let cancelled = Call::Cancelled(attempt());
    assert!(script.calls().contains(&("owner-a".to_owned(), cancelled)));
    drop(grant);
}

fn attempt() -> u128 {
    request(5).attempt.as_u128()
}

#[tokio::test(start_paused = true)]
async fn open_permits_are_renewed() {
    let script = Script::new(&[("owner-a", GRANTED)]);
    let remote = remote(&script);
    let grant = remote.admit(&request(5), &engines(&["a"]), &[]).await.unwrap();

    let renewer = remote.clone();
    let task = tokio::spawn(async move { renewer.run().await });
    tokio::time::sleep(Duration::from_millis(crate::admission::LEASE_MS)).await;

    let renewed = Call::Renewed(vec![attempt()]);
    let count = script.calls().iter().filter(|(_, call)| *call == renewed).count();
    assert!(count >= 3, "{count}");
    task.abort();
    drop(grant);
}
