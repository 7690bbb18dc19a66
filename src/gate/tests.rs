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

/// How a host treats calls.
#[derive(Clone, Copy, Debug)]
enum Behaviour {
    Silent,
    Unreachable,
    Replies(Option<Reply>),
    /// Holds so many times, then replies.
    Holds(usize, Reply),
}

/// A link on which each host behaves as it is told.
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

    fn asked(&self, host: &str) -> usize {
        let calls = self.calls();
        calls.iter().filter(|(to, call)| to == host && matches!(call, Call::Ask(_))).count()
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
        let is_ask = matches!(message.call, Call::Ask(_));
        let seen = self.asked(host.as_str());
        self.calls.lock().unwrap().push((host.to_string(), message.call));
        if !is_ask {
            return Ok(Bytes::new());
        }
        let reply = match self.hosts[host.as_str()] {
            Behaviour::Silent => std::future::pending().await,
            Behaviour::Unreachable => return Err(peer::Error::Unreachable(host.clone())),
            Behaviour::Replies(reply) => reply,
            Behaviour::Holds(times, _) if seen < times => Some(Reply::Held(Hint::default())),
            Behaviour::Holds(_, reply) => Some(reply),
        };
        Ok(wire::encode(&reply)?)
    }
}

/// Every engine is owned by `owner-NAME` with `deputy` behind it.
#[derive(Clone)]
struct Fixed;

impl Owners for Fixed {
    fn owners(&self, key: &str, count: usize) -> Vec<name::Host> {
        let hosts = [format!("owner-{key}"), "deputy".to_owned()];
        hosts.into_iter().take(count).map(|host| name::Host::new(host).unwrap()).collect()
    }

    fn owns(&self, host: &name::Host, key: &str) -> bool {
        self.owners(key, 1).first() == Some(host)
    }
}

fn remote(script: &Script) -> Remote<Script, Fixed> {
    seeded(script, 1)
}

fn seeded(script: &Script, seed: u64) -> Remote<Script, Fixed> {
    let (_, active) = watch::channel(None::<Arc<Active>>);
    let (_, leaving) = watch::channel(hosts::Leaving::default());
    let instruments = Instruments::new().unwrap();
    let desks = owner::Service::new(active, engine::Client::new(), instruments.clone());
    let own = name::Host::new("own").unwrap();
    Remote::new(own, script.clone(), Fixed, desks, leaving, instruments, seed)
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

const GRANTED: Behaviour = Behaviour::Replies(Some(Reply::Granted(3, ZERO)));
const REFUSED: Behaviour = Behaviour::Replies(Some(Reply::Refused(1_500, ZERO)));
const ZERO: Hint = Hint { load: 0, running: 0, waiting: 0 };

#[tokio::test(start_paused = true)]
async fn the_first_owner_that_grants_decides() {
    use Behaviour::{Holds, Silent, Unreachable};
    let held = Holds(3, Reply::Granted(3, ZERO));
    // Owner of engine a, its deputy, priority, and the engine priority of the grant, if any.
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
    for (owner, deputy, priority, wanted) in cases {
        let script = Script::new(&[("owner-a", owner), ("deputy", deputy)]);

        let admitted = remote(&script).admit(&request(priority), &engines(&["a"]), &[]).await;

        let got = admitted.as_ref().ok().map(|grant| grant.engine_priority);
        assert_eq!(got, wanted, "{owner:?} {deputy:?} {priority}");
    }
}

#[tokio::test(start_paused = true)]
async fn all_engines_are_asked_before_a_refusal_which_names_the_shortest_wait() {
    let long = Behaviour::Replies(Some(Reply::Refused(9_000, ZERO)));
    let names = ["a", "b", "c", "d"];
    let hosts = [("owner-a", long), ("owner-b", REFUSED), ("owner-c", long), ("owner-d", long)];
    for seed in 0..200 {
        let script = Script::new(&hosts);

        let admitted = seeded(&script, seed).admit(&request(0), &engines(&names), &[]).await;

        assert_eq!(admitted.err().unwrap().retry_after, Duration::from_millis(1_500));
        for name in names {
            assert_eq!(script.asked(&format!("owner-{name}")), 1, "{seed} {name}");
        }
    }
}

#[tokio::test(start_paused = true)]
async fn engines_that_were_tried_are_not_asked() {
    let script = Script::new(&[("owner-a", GRANTED), ("owner-b", GRANTED)]);
    let engines = engines(&["a", "b"]);

    let grant =
        remote(&script).admit(&request(5), &engines, &[engines[0].name.clone()]).await.unwrap();

    assert_eq!(grant.engine.name.as_str(), "b");
    assert_eq!(script.asked("owner-a"), 0);
}

#[tokio::test(start_paused = true)]
async fn an_owner_learns_what_becomes_of_its_permits() {
    type End = fn(<Remote<Script, Fixed> as Gate>::Permit);
    let attempt = request(5).attempt.as_u128();
    let ends: [(End, Call); 3] = [
        (|permit| permit.finished(42), Call::Finished(attempt, 42)),
        (|permit| permit.failed(), Call::Cancelled(attempt)),
        (drop, Call::Cancelled(attempt)),
    ];
    for (end, wanted) in ends {
        let script = Script::new(&[("owner-a", GRANTED)]);
        let grant = remote(&script).admit(&request(5), &engines(&["a"]), &[]).await.unwrap();

        end(grant.permit);
        tokio::time::sleep(Duration::from_millis(1)).await;

        let told: Vec<_> = script.calls().into_iter().skip(1).collect();
        assert_eq!(told, [("owner-a".to_owned(), wanted)]);
    }
}

#[tokio::test(start_paused = true)]
async fn an_owner_that_may_have_granted_in_vain_is_told_to_forget() {
    let script = Script::new(&[("owner-a", Behaviour::Silent), ("deputy", GRANTED)]);

    let grant = remote(&script).admit(&request(5), &engines(&["a"]), &[]).await.unwrap();
    tokio::time::sleep(Duration::from_millis(1)).await;

    let cancelled = Call::Cancelled(grant_attempt());
    assert!(script.calls().contains(&("owner-a".to_owned(), cancelled)));
    drop(grant);
}

fn grant_attempt() -> u128 {
    request(5).attempt.as_u128()
}

#[tokio::test(start_paused = true)]
async fn open_permits_are_renewed() {
    let script = Script::new(&[("owner-a", GRANTED)]);
    let remote = remote(&script);
    let grant = remote.admit(&request(5), &engines(&["a"]), &[]).await.unwrap();

    let renewing = remote.clone();
    let task = tokio::spawn(async move { renewing.run().await });
    tokio::time::sleep(Duration::from_millis(crate::admission::LEASE_MS)).await;

    let renewed = Call::Renewed(vec![grant_attempt()]);
    let count = script.calls().iter().filter(|(_, call)| *call == renewed).count();
    assert!(count >= 3, "{count}");
    task.abort();
    drop(grant);
}
