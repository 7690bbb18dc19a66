//! Seeded interleavings of operators, entry hosts, the log and time.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::memory::Memory;
use super::{environment, text};
use crate::config::{Chain, Change, Record, Renewal, Tail};
use crate::name;

const STREAM: &str = "config.production";
const RETENTION_MS: u64 = 1_000_000;
const RENEWAL: Renewal = Renewal { after_ms: RETENTION_MS / 4, spread_ms: 10_000 };
const HOSTS: usize = 6;

struct World {
    seed: u64,
    rng: StdRng,
    log: Memory,
    /// A reader that misses no record, and all it ever saw in force.
    reference: Chain,
    history: BTreeMap<u64, Arc<str>>,
    operators: Vec<Chain>,
    hosts: Vec<Tail>,
    /// The least version that each host may obey.
    floor: Vec<u64>,
}

fn host(index: usize) -> name::Host {
    name::Host::new(format!("h{index}")).unwrap()
}

impl World {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            log: Memory::default(),
            reference: Chain::new(),
            history: BTreeMap::new(),
            operators: vec![Chain::new(); 3],
            hosts: vec![Tail::new(RENEWAL); HOSTS],
            floor: vec![0; HOSTS],
        }
    }

    fn append(&mut self, author: &str, change: Change) {
        let body = Record::new(author, change).encode().unwrap();
        // An answer that is lost makes its author append again.
        for _ in 0..self.rng.random_range(1..3) {
            self.log.state().append(STREAM, body.clone());
            let batch = self.log.state().read(STREAM, self.reference.next());
            self.reference.read(&batch);
            let accepted = self.reference.accepted().map(|a| &a.snapshot);
            self.history.extend(accepted.map(|s| (s.version, s.text.clone())));
        }
    }

    /// An operator reads, or submits on what it read last.
    fn operate(&mut self) {
        let operator = self.rng.random_range(0..self.operators.len());
        if self.rng.random_bool(0.6) {
            let batch = self.log.state().read(STREAM, self.operators[operator].next());
            self.operators[operator].read(&batch);
            return;
        }
        let base = self.operators[operator].version();
        let good = self.rng.random_bool(0.8);
        let text = if good { text(self.rng.random()) } else { "x = 1".into() };
        self.append("ada", Change::Submit { base, text });
    }

    fn host_reads(&mut self, index: usize) {
        if self.log.state().down {
            self.hosts[index].fail();
            return;
        }
        self.log.state().limit = self.rng.random_range(1..6);
        let batch = self.log.state().read(STREAM, self.hosts[index].chain().next());
        self.log.state().limit = 0;
        self.hosts[index].read(&batch);
        let now_ms = self.log.state().now_ms;
        let draw = self.rng.random();
        if let Some(change) = self.hosts[index].renew(now_ms, draw) {
            self.append("renewal", change);
        }
    }

    fn host_asks(&mut self, index: usize) {
        let request = self.hosts[index].request(environment("production"));
        let newer = self.hosts[index].newer_peer().cloned();
        let asked: Vec<usize> = (0..HOSTS)
            .filter(|i| *i != index)
            .filter(|i| Some(host(*i)) == newer || self.rng.random_bool(0.4))
            .collect();
        let offers = asked
            .into_iter()
            .filter_map(|i| self.hosts[i].answer(&host(index), &request))
            .collect();
        self.hosts[index].round(offers);
    }

    fn gossip(&mut self, index: usize) {
        for peer in 0..HOSTS {
            let version = self.hosts[peer].version();
            self.hosts[index].hear(&host(peer), version);
        }
    }

    /// A restarted host that hears of its peers must not fall behind what both it and a host that still runs obeyed.
    fn restart(&mut self, index: usize) {
        self.floor[index] = self.hosts[index].version().max(self.floor[index]);
        self.hosts[index] = Tail::new(RENEWAL);
        let known = self.hosts.iter().map(Tail::version).max().unwrap_or(0);
        for (host, floor) in self.hosts.iter().zip(&mut self.floor) {
            if host.document().is_none() {
                *floor = known.min(*floor);
            }
        }
        self.gossip(index);
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let down = self.log.state().down;
        match self.rng.random_range(0..100) {
            0..15 if !down => self.operate(),
            15..55 => self.host_reads(index),
            55..70 => self.host_asks(index),
            70..85 => self.gossip(index),
            85..88 => self.restart(index),
            88..90 => self.log.state().down = !down,
            _ => {
                let mut log = self.log.state();
                log.now_ms += self.rng.random_range(0..RETENTION_MS / 8);
                log.expire(RETENTION_MS);
            }
        }
        self.check(index);
    }

    fn check(&mut self, index: usize) {
        let Some(document) = self.hosts[index].document() else { return };
        assert_eq!(
            self.history.get(&document.version()),
            Some(document.text()),
            "seed {}: never in force",
            self.seed
        );
        assert!(document.version() >= self.floor[index], "seed {}: reverted", self.seed);
        self.floor[index] = document.version();
    }

    /// The log is up, everybody reads, and an operator restores if nobody knows what is in force.
    fn settle(&mut self) {
        self.log.state().down = false;
        for round in 0..40 {
            for index in 0..HOSTS {
                self.host_reads(index);
                self.gossip(index);
                self.host_asks(index);
                self.check(index);
            }
            if round == 20 && self.hosts.iter().all(|h| !h.chain().is_anchored()) {
                self.append("ada", Change::Restore { text: text(0) });
            }
        }
    }
}

#[test]
fn hosts_never_revert_and_agree_in_the_end() {
    for seed in 0..300 {
        let mut world = World::new(seed);

        for _ in 0..400 {
            world.step();
        }
        world.settle();

        let expected = world.reference.version();
        let versions: Vec<u64> = world.hosts.iter().map(Tail::version).collect();
        assert_eq!(versions, [expected; HOSTS], "seed {seed}");
        assert!(world.hosts.iter().all(|h| h.chain().version() == expected), "seed {seed}");
    }
}

#[test]
fn a_quiet_document_outlives_the_retention() {
    let mut world = World::new(1);
    world.append("ada", Change::Submit { base: 0, text: text(1) });
    let version = world.reference.version();
    let steps = 10 * RETENTION_MS / 1_000;

    for _ in 0..steps {
        let mut log = world.log.state();
        log.now_ms += 1_000;
        log.expire(RETENTION_MS);
        drop(log);
        (0..HOSTS).for_each(|index| world.host_reads(index));

        let mut starter = Tail::new(RENEWAL);
        starter.read(&world.log.state().read(STREAM, 0));
        starter.read(&world.log.state().read(STREAM, starter.chain().next()));
        assert_eq!(starter.version(), version);
    }

    let records = world.log.state().read(STREAM, 0).next;
    assert!(world.log.state().read(STREAM, 0).first > 0);
    assert!(records < 120, "{records} renewals");
}

/// The hosts that have a version after each round, which one host read before an outage, and the calls that it took.
/// Without gossip: each host with news asks four peers in two rounds, as a running watch does, one that heard of a newer
/// version asks until it has it, and all others ask in one round of twenty.
fn spread(hosts: usize, seed: u64) -> (Vec<usize>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let log = Memory::default();
    let submit = |base| Record::new("ada", Change::Submit { base, text: text(base) });
    log.state().append(STREAM, submit(0).encode().unwrap());
    let mut tails = vec![Tail::new(RENEWAL); hosts];
    for tail in &mut tails {
        tail.read(&log.state().read(STREAM, 0));
        tail.read(&log.state().read(STREAM, 1));
    }
    log.state().append(STREAM, submit(1).encode().unwrap());
    tails[0].read(&log.state().read(STREAM, 1));
    let mut turns = vec![0; hosts];
    turns[0] = 2;
    let mut calls = 0;
    let mut reached = Vec::new();
    for round in 0..40 {
        for index in 0..hosts {
            let idle = round % 20 != index % 20;
            if idle && turns[index] == 0 && !tails[index].needs_peers() {
                continue;
            }
            let request = tails[index].request(environment("production"));
            let newer = tails[index].newer_peer().map(|h| h.as_str()[1..].parse().unwrap());
            let peers: Vec<usize> =
                (0..4).map(|_| rng.random_range(0..hosts)).chain(newer).collect();
            calls += peers.len();
            let answers = peers.iter().map(|p| tails[*p].answer(&host(index), &request));
            let offers: Vec<_> = answers.flatten().collect();
            turns[index] = if offers.is_empty() { turns[index].max(1) - 1 } else { 2 };
            tails[index].round(offers);
        }
        reached.push(tails.iter().filter(|t| t.version() == 2).count());
    }
    (reached, calls)
}

#[test]
fn a_version_spreads_through_a_fleet_with_the_log_down() {
    for seed in 0..20 {
        let (reached, calls) = spread(360, seed);

        assert!(reached[7] >= 359, "seed {seed}: {reached:?}");
        assert_eq!(reached[39], 360, "seed {seed}: {reached:?}");
        assert!(calls <= 360 * 21, "seed {seed}: {calls} calls");
    }
}
