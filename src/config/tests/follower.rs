//! Tests of followers with seeded interleavings of operators, entry hosts, log faults and time.

use std::collections::BTreeMap;
use std::sync::Arc;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::memory::Memory;
use super::{environment, text};
use crate::config::{Change, Follower, Reader, Record, Renewal};
use crate::name;

const STREAM: &str = "config.production";
const RETENTION_MS: u64 = 1_000_000;
const RENEWAL: Renewal = Renewal { after_ms: RETENTION_MS / 4, spread_ms: 10_000 };
const HOSTS: usize = 6;

struct Simulation {
    seed: u64,
    rng: StdRng,
    log: Memory,
    /// A reader that reads every record.
    reference: Reader,
    /// Every document that was in force according to `reference`, by version.
    history: BTreeMap<u64, Arc<str>>,
    operators: Vec<Reader>,
    hosts: Vec<Follower>,
    /// The lowest version that each host may use.
    min_versions: Vec<u64>,
}

fn host(index: usize) -> name::Host {
    name::Host::new(format!("h{index}")).unwrap()
}

impl Simulation {
    fn new(seed: u64) -> Self {
        Self {
            seed,
            rng: StdRng::seed_from_u64(seed),
            log: Memory::default(),
            reference: Reader::new(),
            history: BTreeMap::new(),
            operators: vec![Reader::new(); 3],
            hosts: vec![Follower::new(RENEWAL); HOSTS],
            min_versions: vec![0; HOSTS],
        }
    }

    fn append(&mut self, author: &str, change: Change) {
        let body = Record::new(author, change).encode().unwrap();
        // An author appends again after a lost response.
        for _ in 0..self.rng.random_range(1..3) {
            self.log.state().append(STREAM, body.clone());
            let batch = self.log.state().read(STREAM, self.reference.next());
            self.reference.apply(&batch);
            let accepted = self.reference.accepted().map(|a| &a.snapshot);
            self.history.extend(accepted.map(|s| (s.version, s.text.clone())));
        }
    }

    /// A random operator reads the stream, or submits a document based on the version that it read last.
    fn read_or_submit(&mut self) {
        let operator = self.rng.random_range(0..self.operators.len());
        if self.rng.random_bool(0.6) {
            let batch = self.log.state().read(STREAM, self.operators[operator].next());
            self.operators[operator].apply(&batch);
            return;
        }
        let base = self.operators[operator].version();
        let valid = self.rng.random_bool(0.8);
        let text = if valid { text(self.rng.random()) } else { "x = 1".into() };
        self.append("ada", Change::Submit { base, text });
    }

    fn read_log(&mut self, index: usize) {
        if self.log.state().down {
            self.hosts[index].log_failed();
            return;
        }
        self.log.state().batch_limit = self.rng.random_range(1..6);
        let batch = self.log.state().read(STREAM, self.hosts[index].reader().next());
        self.log.state().batch_limit = 0;
        self.hosts[index].apply(&batch);
        let now_ms = self.log.state().now_ms;
        let jitter = self.rng.random();
        if let Some(change) = self.hosts[index].renew(now_ms, jitter) {
            self.append("renewal", change);
        }
    }

    fn ask_peers(&mut self, index: usize) {
        let request = self.hosts[index].request(environment("production"));
        let newer = self.hosts[index].newer_peer().cloned();
        let asked: Vec<usize> = (0..HOSTS)
            .filter(|i| *i != index)
            .filter(|i| Some(host(*i)) == newer || self.rng.random_bool(0.4))
            .collect();
        let offers = asked
            .into_iter()
            .filter_map(|i| self.hosts[i].handle(&host(index), &request))
            .collect();
        self.hosts[index].finish_round(offers);
    }

    /// The host observes the versions of all hosts, as it does through membership.
    fn observe_versions(&mut self, index: usize) {
        for peer in 0..HOSTS {
            let version = self.hosts[peer].version();
            self.hosts[index].observe_version(&host(peer), version);
        }
    }

    /// Restarts a host without its state. It must not use an older version than before, unless no running host has
    /// that version.
    fn restart(&mut self, index: usize) {
        self.min_versions[index] = self.hosts[index].version().max(self.min_versions[index]);
        self.hosts[index] = Follower::new(RENEWAL);
        let newest = self.hosts.iter().map(Follower::version).max().unwrap_or(0);
        for (host, min_version) in self.hosts.iter().zip(&mut self.min_versions) {
            if host.document().is_none() {
                *min_version = newest.min(*min_version);
            }
        }
        self.observe_versions(index);
    }

    fn step(&mut self) {
        let index = self.rng.random_range(0..HOSTS);
        let down = self.log.state().down;
        match self.rng.random_range(0..100) {
            0..15 if !down => self.read_or_submit(),
            15..55 => self.read_log(index),
            55..70 => self.ask_peers(index),
            70..85 => self.observe_versions(index),
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
        assert!(document.version() >= self.min_versions[index], "seed {}: reverted", self.seed);
        self.min_versions[index] = document.version();
    }

    /// Ends the log's outage and runs 40 rounds in which all hosts read the log and ask peers. In round 20 an operator
    /// restores a document if no host knows the one in force.
    fn converge(&mut self) {
        self.log.state().down = false;
        for round in 0..40 {
            for index in 0..HOSTS {
                self.read_log(index);
                self.observe_versions(index);
                self.ask_peers(index);
                self.check(index);
            }
            if round == 20 && self.hosts.iter().all(|h| !h.reader().is_synced()) {
                self.append("ada", Change::Restore { text: text(0) });
            }
        }
    }
}

#[test]
fn hosts_never_revert_and_finally_agree() {
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);

        for _ in 0..400 {
            simulation.step();
        }
        simulation.converge();

        let expected = simulation.reference.version();
        let versions: Vec<u64> = simulation.hosts.iter().map(Follower::version).collect();
        assert_eq!(versions, [expected; HOSTS], "seed {seed}");
        assert!(simulation.hosts.iter().all(|h| h.reader().version() == expected), "seed {seed}");
    }
}

#[test]
fn unchanged_document_outlives_the_log_retention() {
    let mut simulation = Simulation::new(1);
    simulation.append("ada", Change::Submit { base: 0, text: text(1) });
    let version = simulation.reference.version();
    let steps = 10 * RETENTION_MS / 1_000;

    for _ in 0..steps {
        let mut log = simulation.log.state();
        log.now_ms += 1_000;
        log.expire(RETENTION_MS);
        drop(log);
        (0..HOSTS).for_each(|index| simulation.read_log(index));

        let mut new_host = Follower::new(RENEWAL);
        new_host.apply(&simulation.log.state().read(STREAM, 0));
        new_host.apply(&simulation.log.state().read(STREAM, new_host.reader().next()));
        assert_eq!(new_host.version(), version);
    }

    let records = simulation.log.state().read(STREAM, 0).next;
    assert!(simulation.log.state().read(STREAM, 0).first > 0);
    assert!(records < 120, "{records} renewals");
}

/// Spreads a version that only one host read before the log failed. Returns the number of hosts that have it after each
/// round and the total number of calls.
///
/// Membership reports no versions. As in a running watch, a host whose version changed asks four peers in each of two
/// rounds, a host that observed a newer version asks until it has it, and all others ask in one round of twenty.
fn propagate(hosts: usize, seed: u64) -> (Vec<usize>, usize) {
    let mut rng = StdRng::seed_from_u64(seed);
    let log = Memory::default();
    let submit = |base| Record::new("ada", Change::Submit { base, text: text(base) });
    log.state().append(STREAM, submit(0).encode().unwrap());
    let mut followers = vec![Follower::new(RENEWAL); hosts];
    for follower in &mut followers {
        follower.apply(&log.state().read(STREAM, 0));
        follower.apply(&log.state().read(STREAM, 1));
    }
    log.state().append(STREAM, submit(1).encode().unwrap());
    followers[0].apply(&log.state().read(STREAM, 1));
    let mut rounds_to_ask = vec![0; hosts];
    rounds_to_ask[0] = 2;
    let mut calls = 0;
    let mut reached = Vec::new();
    for round in 0..40 {
        for index in 0..hosts {
            let idle = round % 20 != index % 20;
            if idle && rounds_to_ask[index] == 0 && !followers[index].needs_peers() {
                continue;
            }
            let request = followers[index].request(environment("production"));
            let newer = followers[index].newer_peer().map(|h| h.as_str()[1..].parse().unwrap());
            let peers: Vec<usize> =
                (0..4).map(|_| rng.random_range(0..hosts)).chain(newer).collect();
            calls += peers.len();
            let responses = peers.iter().map(|p| followers[*p].handle(&host(index), &request));
            let offers: Vec<_> = responses.flatten().collect();
            rounds_to_ask[index] =
                if offers.is_empty() { rounds_to_ask[index].max(1) - 1 } else { 2 };
            followers[index].finish_round(offers);
        }
        reached.push(followers.iter().filter(|t| t.version() == 2).count());
    }
    (reached, calls)
}

#[test]
fn version_spreads_through_a_fleet_while_the_log_is_down() {
    for seed in 0..20 {
        let (reached, calls) = propagate(360, seed);

        assert!(reached[7] >= 359, "seed {seed}: {reached:?}");
        assert_eq!(reached[39], 360, "seed {seed}: {reached:?}");
        assert!(calls <= 360 * 21, "seed {seed}: {calls} calls");
    }
}
