//! A small network of membership states in virtual time, with seeded delay, loss, cuts and freezes.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use crate::member::state::{Action, Event, Settings, State};
use crate::member::{Condition, Message, Table};
use crate::{name, wire};

const START_MS: u64 = 1_000_000;
const CALL_TIMEOUT_MS: u64 = 1_000;
const FORGET_MS: u64 = 2_000;

/// Bytes of the IPv4, UDP and QUIC headers, the frame header and the seal of one datagram.
const HEADER_BYTES: usize = 28 + 13 + 2 + 16;

enum Delivery {
    Datagram(usize, usize, bytes::Bytes),
    Call(usize, usize, Table),
    Answer(usize, usize, Table),
    Unanswered(usize, SocketAddr),
    Document(usize, u64),
}

impl Delivery {
    fn to(&self) -> usize {
        match self {
            Self::Datagram(_, to, _) | Self::Call(_, to, _) | Self::Answer(_, to, _) => *to,
            Self::Unanswered(to, _) | Self::Document(to, _) => *to,
        }
    }
}

pub(super) struct Network {
    pub(super) now_ms: u64,
    pub(super) nodes: Vec<Option<State>>,
    /// Share of datagrams lost, 0.0 to 1.0.
    pub(super) loss: f64,
    /// Longest time in which a host does not get to run, in milliseconds; 0 for never.
    pub(super) pause_ms: u64,
    /// Links, from and to, that pass nothing.
    pub(super) cuts: BTreeSet<(usize, usize)>,
    pub(super) bytes: usize,
    /// The newest document of each host that has taken one over.
    pub(super) versions: BTreeMap<usize, u64>,
    asleep_until: Vec<u64>,
    queue: BTreeMap<(u64, u64), Delivery>,
    sent: u64,
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
    /// Hosts that all start within a second and know the first three.
    pub(super) fn new(count: usize, seed: u64) -> Self {
        let nodes = (0..count).map(|index| Some(State::new(settings(index, 1, seed)))).collect();
        Self {
            now_ms: START_MS,
            nodes,
            loss: 0.01,
            pause_ms: 0,
            cuts: BTreeSet::new(),
            bytes: 0,
            versions: BTreeMap::new(),
            asleep_until: (0..count as u64).map(|i| START_MS + i * 997 % 1_000).collect(),
            queue: BTreeMap::new(),
            sent: 0,
            rng: StdRng::seed_from_u64(seed),
        }
    }

    /// A network whose hosts have found each other.
    pub(super) fn settled(count: usize, seed: u64) -> Self {
        let mut network = Self::new(count, seed);
        let all = network.wait(60_000, |network| network.agree(&(0..count).collect()));
        assert!(all.is_some(), "seed {seed}: {count} hosts did not find each other");
        network.run(5_000);
        network
    }

    pub(super) fn restart(&mut self, index: usize, incarnation: u64) {
        self.nodes[index] = Some(State::new(settings(index, incarnation, incarnation)));
    }

    pub(super) fn freeze(&mut self, index: usize, time_ms: u64) {
        self.asleep_until[index] = self.now_ms + time_ms;
    }

    /// Cuts or heals all links between two groups.
    pub(super) fn part(&mut self, apart: impl Fn(usize, usize) -> bool) {
        let count = self.nodes.len();
        let pairs = (0..count).flat_map(|a| (0..count).map(move |b| (a, b)));
        self.cuts = pairs.filter(|(a, b)| apart(*a, *b)).collect();
    }

    /// The hosts that `index` counts as present.
    pub(super) fn seen(&self, index: usize) -> BTreeSet<name::Host> {
        let Some(state) = &self.nodes[index] else { return BTreeSet::new() };
        state.view().members().iter().map(|member| member.host.clone()).collect()
    }

    /// Suspicions raised by a host.
    pub(super) fn suspicions(&self, index: usize) -> u64 {
        self.nodes[index].as_ref().map_or(0, |state| state.counts().suspicions)
    }

    /// Whether every host of `group` sees exactly `group`, all alive.
    pub(super) fn agree(&self, group: &BTreeSet<usize>) -> bool {
        let expected: BTreeSet<name::Host> = group.iter().map(|index| host(*index)).collect();
        group.iter().all(|index| {
            let view = self.nodes[*index].as_ref().unwrap().view();
            let alive = view.members().iter().all(|m| m.condition != Condition::Suspect);
            alive && self.seen(*index) == expected
        })
    }

    pub(super) fn handle(&mut self, index: usize, event: Event) {
        let Some(state) = &mut self.nodes[index] else { return };
        let actions = state.handle(self.now_ms, event);
        actions.into_iter().for_each(|action| self.act(index, action));
    }

    /// Runs until `done`, and returns the time that it took.
    pub(super) fn wait(&mut self, limit_ms: u64, done: impl Fn(&Self) -> bool) -> Option<u64> {
        let begun_ms = self.now_ms;
        while self.now_ms < begun_ms + limit_ms {
            if done(self) {
                return Some(self.now_ms - begun_ms);
            }
            self.run(100);
        }
        None
    }

    pub(super) fn run(&mut self, time_ms: u64) {
        let end_ms = self.now_ms + time_ms;
        loop {
            let delivery = self.queue.first_key_value().map_or(u64::MAX, |(key, _)| key.0);
            let wakes = self.nodes.iter().enumerate().filter_map(|(index, node)| {
                Some((node.as_ref()?.wake_ms().max(self.asleep_until[index]), index))
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
            let rests = self.pause_ms > 0 && self.rng.random_ratio(1, 20);
            if rests {
                let pause_ms = self.rng.random_range(0..self.pause_ms);
                self.freeze(index, pause_ms);
            }
        }
    }

    fn act(&mut self, from: usize, action: Action) {
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
                let table = self.nodes[from].as_ref().unwrap().table();
                self.enqueue(from, Delivery::Call(from, to, table));
            }
            Action::Contact(to_address) => self.contact(from, to_address),
            Action::Newer(_, version) => {
                // The host fetches the document, which takes a while.
                let key = (self.now_ms + self.rng.random_range(1..200), self.next());
                self.queue.insert(key, Delivery::Document(from, version));
            }
            _ => {}
        }
    }

    fn contact(&mut self, from: usize, to_address: SocketAddr) {
        let to = (0..self.nodes.len()).find(|index| address(*index) == to_address);
        let reached = to.filter(|to| self.connected(from, *to) && self.connected(*to, from));
        match reached {
            Some(to) => {
                let table = self.nodes[from].as_ref().unwrap().table();
                self.enqueue(from, Delivery::Call(from, to, table));
            }
            None => {
                let key = (self.now_ms + CALL_TIMEOUT_MS, self.next());
                self.queue.insert(key, Delivery::Unanswered(from, to_address));
            }
        }
    }

    fn connected(&self, from: usize, to: usize) -> bool {
        let awake = self.asleep_until[to] <= self.now_ms + CALL_TIMEOUT_MS;
        self.nodes[to].is_some() && awake && !self.cuts.contains(&(from, to))
    }

    fn index(&self, host: &name::Host) -> Option<usize> {
        host.as_str().strip_prefix("e-")?.parse().ok()
    }

    fn next(&mut self) -> u64 {
        self.sent += 1;
        self.sent
    }

    fn enqueue(&mut self, from: usize, delivery: Delivery) {
        if self.cuts.contains(&(from, delivery.to())) {
            return;
        }
        let delay_ms = self.rng.random_range(1..5);
        let key = (self.now_ms + delay_ms, self.next());
        self.queue.insert(key, delivery);
    }

    fn deliver(&mut self) {
        let Some((key, delivery)) = self.queue.pop_first() else { return };
        let awake_ms = self.asleep_until[delivery.to()];
        if awake_ms > self.now_ms + FORGET_MS {
            // The others close their connections to a host that they think dead.
            return;
        }
        if awake_ms > self.now_ms {
            self.queue.insert((awake_ms, key.1), delivery);
            return;
        }
        match delivery {
            Delivery::Datagram(from, to, body) => {
                let message: Message = wire::decode(&body).unwrap();
                self.handle(to, Event::Received(host(from), message));
            }
            Delivery::Call(from, to, table) => {
                self.handle(to, Event::Exchanged(host(from), table.clone()));
                let Some(state) = &self.nodes[to] else { return };
                let answer = state.difference(&table);
                self.enqueue(to, Delivery::Answer(to, from, answer));
            }
            Delivery::Answer(from, to, table) => {
                self.handle(to, Event::Exchanged(host(from), table));
            }
            Delivery::Unanswered(to, to_address) => self.handle(to, Event::Unanswered(to_address)),
            Delivery::Document(to, version) => {
                self.versions.insert(to, version);
                self.handle(to, Event::Version(version));
            }
        }
    }
}
