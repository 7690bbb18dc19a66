//! Simulated network of membership states in virtual time, with seeded delays, loss, blocked links and pauses.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::member::state::{Action, Event, Settings, State};
use crate::member::{Message, Status, Table};
use crate::{name, wire};

const START_MS: u64 = 1_000_000;
const CALL_TIMEOUT_MS: u64 = 1_000;

/// Pause after which the other hosts have closed their connections to a host, in milliseconds.
const DISCONNECT_MS: u64 = 2_000;

/// Bytes per datagram of the IPv4 and UDP headers, the QUIC header, the frame header and the authentication tag.
const HEADER_BYTES: usize = 28 + 13 + 2 + 16;

enum Delivery {
    Datagram(usize, usize, bytes::Bytes),
    Call(usize, usize, Table),
    Response(usize, usize, Table),
    CallFailed(usize, SocketAddr),
    Document(usize, u64),
}

impl Delivery {
    fn to(&self) -> usize {
        match self {
            Self::Datagram(_, to, _) | Self::Call(_, to, _) | Self::Response(_, to, _) => *to,
            Self::CallFailed(to, _) | Self::Document(to, _) => *to,
        }
    }
}

pub(super) struct Network {
    pub(super) now_ms: u64,
    pub(super) hosts: Vec<Option<State>>,
    /// Fraction of datagrams lost, 0.0 to 1.0.
    pub(super) loss: f64,
    /// Longest random pause of a host, in milliseconds; 0 for no random pauses.
    pub(super) max_pause_ms: u64,
    /// Links, as (from, to), that deliver nothing.
    pub(super) blocked: BTreeSet<(usize, usize)>,
    /// Bytes sent in datagrams, headers included.
    pub(super) bytes: usize,
    /// The newest document version of each host that has fetched one.
    pub(super) document_versions: BTreeMap<usize, u64>,
    paused_until: Vec<u64>,
    queue: BTreeMap<(u64, u64), Delivery>,
    sequence: u64,
    rng: StdRng,
}

pub(super) fn host(index: usize) -> name::Host {
    name::Host::new(format!("e-{index}")).unwrap()
}

pub(super) fn address(index: usize) -> SocketAddr {
    ([10, 0, (index / 250) as u8, (index % 250) as u8], 7_000).into()
}

pub(super) fn settings(index: usize, incarnation: u64, seed: u64) -> Settings {
    Settings {
        host: host(index),
        incarnation,
        domain: name::Domain::new(["a", "b", "c"][index % 3]).unwrap(),
        region: name::Region::new("r").unwrap(),
        address: address(index),
        seeds: (0..3).map(address).collect(),
        seed: seed * 1_000 + index as u64,
    }
}

impl Network {
    /// Hosts that all start within a second, with the first three as seeds.
    pub(super) fn new(count: usize, seed: u64) -> Self {
        let hosts = (0..count).map(|index| Some(State::new(settings(index, 1, seed)))).collect();
        Self {
            now_ms: START_MS,
            hosts,
            loss: 0.01,
            max_pause_ms: 0,
            blocked: BTreeSet::new(),
            bytes: 0,
            document_versions: BTreeMap::new(),
            paused_until: (0..count as u64).map(|i| START_MS + i * 997 % 1_000).collect(),
            queue: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A network whose hosts have all joined.
    pub(super) fn settled(count: usize, seed: u64) -> Self {
        let mut network = Self::new(count, seed);
        let joined =
            network.run_until(60_000, |network| network.views_match(&(0..count).collect()));
        assert!(joined.is_some(), "seed {seed}: {count} hosts did not all join");
        network.run(5_000);
        network
    }

    pub(super) fn restart(&mut self, index: usize, incarnation: u64) {
        self.hosts[index] = Some(State::new(settings(index, incarnation, incarnation)));
    }

    pub(super) fn pause(&mut self, index: usize, time_ms: u64) {
        self.paused_until[index] = self.now_ms + time_ms;
    }

    /// Blocks exactly the links for which `is_blocked(from, to)` is true.
    pub(super) fn block(&mut self, is_blocked: impl Fn(usize, usize) -> bool) {
        let count = self.hosts.len();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.blocked = pairs.filter(|(a, b)| is_blocked(*a, *b)).collect();
    }

    /// The hosts in the view of host `index`.
    pub(super) fn present(&self, index: usize) -> BTreeSet<name::Host> {
        let Some(state) = &self.hosts[index] else { return BTreeSet::new() };
        state.view().members().iter().map(|member| member.host.clone()).collect()
    }

    /// Number of suspicions that a host has raised.
    pub(super) fn suspicions(&self, index: usize) -> u64 {
        self.hosts[index].as_ref().map_or(0, |state| state.counts().suspicions)
    }

    /// Whether the view of every host of `group` has exactly the hosts of `group`, none of them suspect.
    pub(super) fn views_match(&self, group: &BTreeSet<usize>) -> bool {
        let expected: BTreeSet<name::Host> = group.iter().map(|index| host(*index)).collect();
        group.iter().all(|index| {
            let view = self.hosts[*index].as_ref().unwrap().view();
            let alive = view.members().iter().all(|m| m.status != Status::Suspect);
            alive && self.present(*index) == expected
        })
    }

    pub(super) fn handle(&mut self, index: usize, event: Event) {
        let Some(state) = &mut self.hosts[index] else { return };
        let actions = state.handle(self.now_ms, event);
        actions.into_iter().for_each(|action| self.execute(index, action));
    }

    /// Runs until `done`, and returns the time taken in milliseconds, or `None` after `limit_ms`.
    pub(super) fn run_until(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let started_ms = self.now_ms;
        while self.now_ms < started_ms + limit_ms {
            if done(self) {
                return Some(self.now_ms - started_ms);
            }
            self.run(100);
        }
        None
    }

    pub(super) fn run(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        loop {
            let delivery = self.queue.first_key_value().map_or(u64::MAX, |(key, _)| key.0);
            let wakes = self.hosts.iter().enumerate().filter_map(|(index, state)| {
                Some((state.as_ref()?.wake_ms().max(self.paused_until[index]), index))
            });
            let (wake, index) = wakes.min().unwrap_or((u64::MAX, 0));
            if delivery.min(wake) > end_ms {
                self.now_ms = end_ms;
                return;
            }
            self.now_ms = self.now_ms.max(delivery.min(wake));
            if delivery <= wake {
                self.deliver();
                continue;
            }
            self.handle(index, Event::Tick);
            let pauses = self.max_pause_ms > 0 && self.rng.random_ratio(1, 20);
            if pauses {
                let pause_ms = self.rng.random_range(0..self.max_pause_ms);
                self.pause(index, pause_ms);
            }
        }
    }

    fn execute(&mut self, from: usize, action: Action) {
        match action {
            Action::Send(host, message) => {
                let body = wire::encode(&message).unwrap();
                assert!(body.len() <= crate::peer::MAX_DATAGRAM_BYTES);
                self.bytes += body.len() + HEADER_BYTES;
                let Some(to) = self.index(&host) else { return };
                if !self.rng.random_bool(self.loss) {
                    self.enqueue(from, Delivery::Datagram(from, to, body));
                }
            }
            Action::Exchange(host) => {
                let Some(to) = self.index(&host) else { return };
                let table = self.hosts[from].as_ref().unwrap().table();
                self.enqueue(from, Delivery::Call(from, to, table));
            }
            Action::ExchangeWithAddress(to_address) => self.exchange_with_address(from, to_address),
            Action::NewerDocument(_, version) => {
                // The host fetches the document, which takes a while.
                let key = (self.now_ms + self.rng.random_range(1..200), self.next_sequence());
                self.queue.insert(key, Delivery::Document(from, version));
            }
            _ => {}
        }
    }

    fn exchange_with_address(&mut self, from: usize, to_address: SocketAddr) {
        let to = (0..self.hosts.len()).find(|index| address(*index) == to_address);
        let reachable = to.filter(|to| self.can_call(from, *to) && self.can_call(*to, from));
        match reachable {
            Some(to) => {
                let table = self.hosts[from].as_ref().unwrap().table();
                self.enqueue(from, Delivery::Call(from, to, table));
            }
            None => {
                let key = (self.now_ms + CALL_TIMEOUT_MS, self.next_sequence());
                self.queue.insert(key, Delivery::CallFailed(from, to_address));
            }
        }
    }

    fn can_call(&self, from: usize, to: usize) -> bool {
        let responsive = self.paused_until[to] <= self.now_ms + CALL_TIMEOUT_MS;
        self.hosts[to].is_some() && responsive && !self.blocked.contains(&(from, to))
    }

    fn index(&self, host: &name::Host) -> Option<usize> {
        host.as_str().strip_prefix("e-")?.parse().ok()
    }

    fn next_sequence(&mut self) -> u64 {
        self.sequence += 1;
        self.sequence
    }

    fn enqueue(&mut self, from: usize, delivery: Delivery) {
        if self.blocked.contains(&(from, delivery.to())) {
            return;
        }
        let delay_ms = self.rng.random_range(1..5);
        let key = (self.now_ms + delay_ms, self.next_sequence());
        self.queue.insert(key, delivery);
    }

    fn deliver(&mut self) {
        let Some((key, delivery)) = self.queue.pop_first() else { return };
        let resume_ms = self.paused_until[delivery.to()];
        if resume_ms > self.now_ms + DISCONNECT_MS {
            // The others have declared the host dead and closed their connections to it.
            return;
        }
        if resume_ms > self.now_ms {
            self.queue.insert((resume_ms, key.1), delivery);
            return;
        }
        match delivery {
            Delivery::Datagram(from, to, body) => {
                let message: Message = wire::decode(&body).unwrap();
                self.handle(to, Event::Datagram(host(from), message));
            }
            Delivery::Call(from, to, table) => {
                self.handle(to, Event::Table(host(from), table.clone()));
                let Some(state) = &self.hosts[to] else { return };
                let response = state.difference(&table);
                self.enqueue(to, Delivery::Response(to, from, response));
            }
            Delivery::Response(from, to, table) => {
                self.handle(to, Event::Table(host(from), table));
            }
            Delivery::CallFailed(to, to_address) => {
                self.handle(to, Event::ExchangeFailed(to_address))
            }
            Delivery::Document(to, version) => {
                self.document_versions.insert(to, version);
                self.handle(to, Event::DocumentVersion(version));
            }
        }
    }
}
