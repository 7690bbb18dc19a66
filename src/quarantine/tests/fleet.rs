//! A seeded model of hosts and servers: requests with a part that crashes engines, a call that crashes servers and comes
//! again, and crashes that no request causes.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

/// Hosts, servers and requests of a model.
#[derive(Clone, Copy)]
struct Shape {
    hosts: usize,
    servers: usize,
    /// Time until a server crashes under a request that crashes it, from its arrival, in milliseconds.
    crash_ms: u64,
    /// Time from then until a sound request ends, in milliseconds.
    writing_ms: u64,
    /// Crashes under the bad requests after which few more of them may reach servers.
    known_crashes: usize,
}

/// Generations at the engines of nine hosts.
const GENERATIONS: Shape =
    Shape { hosts: 9, servers: 18, crash_ms: 400, writing_ms: 150, known_crashes: 5 };

/// Calls at the three servers of a plain service of this many hosts.
fn calls(hosts: usize) -> Shape {
    Shape { hosts, servers: 3, crash_ms: 60, writing_ms: 30, known_crashes: 3 }
}

/// Time until a crashed server is back, in milliseconds.
const RESTART_MS: u64 = 3_000;

/// Servers that a request may be sent to.
const MAX_RUNS: u32 = 2;

/// Time after the last of the known crashes within which hosts have to know the bad part, in milliseconds.
const CONTACT_MS: u64 = 3_000;

/// Requests with the bad part that may reach servers after that.
const MAX_LATE: u32 = 3;

/// Share of the messages between hosts that are lost.
const LOSS: f64 = 0.05;

/// Sound requests that may be refused, one in a hundred: a host may miss both copies of a proof.
const MAX_REFUSED: u32 = 6;

/// Parts in the middle of sound prompts; each is in a few requests only.
const MIDDLE_PARTS: usize = 40;

struct Request {
    host: usize,
    server: usize,
    writes_ms: u64,
    parts: Vec<name::Part>,
    is_bad: bool,
    runs: u32,
}

struct Fleet {
    shape: Shape,
    random: StdRng,
    /// For what hosts tell of earlier proofs, so that it does not change the requests.
    voucher_random: StdRng,
    tables: Vec<Table>,
    /// Until when each server is down.
    down_until_ms: Vec<u64>,
    running: Vec<Request>,
    /// Requests with the bad part that reached servers later than [`CONTACT_MS`] after the known crashes.
    late: u32,
    /// Crashes under requests with the bad part.
    bad_crashes_ms: Vec<u64>,
    crashes: usize,
    /// Sound requests that were refused.
    refused: u32,
}

impl Fleet {
    fn new(shape: Shape, seed: u64) -> Self {
        Self {
            shape,
            random: StdRng::seed_from_u64(seed),
            voucher_random: StdRng::seed_from_u64(seed),
            tables: (0..shape.hosts).map(|_| Table::new()).collect(),
            down_until_ms: vec![0; shape.servers],
            running: Vec::new(),
            late: 0,
            bad_crashes_ms: Vec::new(),
            crashes: 0,
            refused: 0,
        }
    }

    /// Sends a request to a server that is up, if the host admits it.
    fn send(&mut self, names: &[&str], is_bad: bool, now_ms: u64) {
        let host = self.random.random_range(0..self.shape.hosts);
        let parts = parts(names);
        let verdict = self.tables[host].admit(&parts, |_| host == 0, now_ms);
        for change in self.tables[host].take_changes() {
            if let Change::Quarantined(part) = change {
                self.share(host, &[part], now_ms);
            }
        }
        if matches!(verdict, Verdict::Refused { .. }) {
            self.refused += u32::from(!is_bad);
            return;
        }
        let writes_ms = now_ms + self.shape.crash_ms;
        self.place(Request { host, server: 0, writes_ms, parts, is_bad, runs: 1 }, now_ms);
    }

    fn place(&mut self, mut request: Request, now_ms: u64) {
        let up = (0..self.shape.servers).filter(|index| self.down_until_ms[*index] <= now_ms);
        let up: Vec<_> = up.collect();
        if up.is_empty() {
            return;
        }
        request.server = up[self.random.random_range(0..up.len())];
        let known_ms = self.bad_crashes_ms.get(self.shape.known_crashes - 1);
        let is_late = known_ms.is_some_and(|known_ms| now_ms > known_ms + CONTACT_MS);
        self.late += u32::from(request.is_bad && is_late);
        self.running.push(request);
    }

    /// Ends the requests that are done, and the servers that crash.
    fn advance(&mut self, now_ms: u64) {
        let crashed: Vec<_> = self
            .running
            .iter()
            .filter(|r| r.is_bad && r.writes_ms <= now_ms)
            .map(|r| r.server)
            .collect();
        self.bad_crashes_ms.extend(crashed.iter().map(|_| now_ms));
        self.crash(&crashed, now_ms);
        let done: Vec<_> = self
            .running
            .extract_if(.., |request| request.writes_ms + self.shape.writing_ms <= now_ms)
            .collect();
        for request in done {
            let proven = self.tables[request.host].record_proof(&request.parts, now_ms);
            self.share_proof(request.host, &proven, now_ms);
        }
    }

    /// Crashes these servers at the same moment.
    fn crash(&mut self, servers: &[usize], now_ms: u64) {
        let servers = servers.iter().filter(|server| self.down_until_ms[**server] <= now_ms);
        let servers: BTreeSet<usize> = servers.copied().collect();
        for server in &servers {
            self.down_until_ms[*server] = now_ms + RESTART_MS;
        }
        self.crashes += servers.len();
        let ended = self.running.extract_if(.., |request| servers.contains(&request.server));
        let ended: Vec<_> = ended.collect();
        for request in ended {
            let server = server(request.server);
            let changed = self.tables[request.host].record_crash(&request.parts, &server, now_ms);
            self.share(request.host, &changed, now_ms);
            let may_repeat = self.tables[request.host].may_repeat(&request.parts, now_ms);
            if may_repeat && request.runs < MAX_RUNS {
                let (writes_ms, runs) = (now_ms + self.shape.crash_ms, request.runs + 1);
                self.place(Request { writes_ms, runs, ..request }, now_ms);
            }
        }
    }

    /// Sends the records of parts to the other hosts, and their replies that one was proven sound.
    fn share(&mut self, sender: usize, parts: &[name::Part], now_ms: u64) {
        let record =
            |part: &name::Part| Some((part.clone(), self.tables[sender].record(part)?.clone()));
        let records: Vec<_> = parts.iter().filter_map(record).collect();
        for host in (0..self.shape.hosts).filter(|host| *host != sender) {
            if self.random.random_bool(LOSS) {
                continue;
            }
            for (part, record) in &records {
                if self.tables[host].merge(part, record, now_ms) == Merge::Disproved {
                    self.share_proof(host, std::slice::from_ref(part), now_ms);
                }
            }
        }
        for host in 0..self.shape.hosts {
            self.vouch(host);
        }
    }

    /// Tells the other hosts which suspected parts were sound at a host before, at a few of all hosts.
    fn vouch(&mut self, sender: usize) {
        let chance = (VOUCHING_HOSTS as f64 / self.shape.hosts as f64).min(1.0);
        let random = &mut self.voucher_random;
        let proofs = self.tables[sender].take_earlier_proofs(|_| random.random_bool(chance));
        for host in (0..self.shape.hosts).filter(|host| *host != sender && !proofs.is_empty()) {
            if !self.voucher_random.random_bool(LOSS) {
                for (part, at_ms) in &proofs {
                    self.tables[host].record_earlier_proof(part, *at_ms);
                }
            }
        }
    }

    /// Sends a proof twice to the other hosts.
    fn share_proof(&mut self, sender: usize, parts: &[name::Part], now_ms: u64) {
        for host in (0..self.shape.hosts).filter(|host| *host != sender && !parts.is_empty()) {
            if !self.random.random_bool(LOSS * LOSS) {
                self.tables[host].record_proof(parts, now_ms);
            }
        }
    }
}

/// Runs 60 s: ten sound requests a second, from 10 s `bad_per_s` bad ones, and at 25 and 40 s a crash of `share` of the
/// engines.
fn run(seed: u64, bad_per_s: f64, share: f64) -> Fleet {
    let mut fleet = Fleet::new(GENERATIONS, seed);
    for now_ms in (0..60_000).step_by(10) {
        if fleet.random.random_bool(0.1) {
            let middle = format!("m-{}", fleet.random.random_range(0..MIDDLE_PARTS));
            fleet.send(&["shared", &middle], false, now_ms);
        }
        if now_ms > 10_000 && fleet.random.random_bool(bad_per_s / 100.0) {
            let middle = format!("m-{}", fleet.random.random_range(0..MIDDLE_PARTS));
            fleet.send(&["shared", &middle, "bad"], true, now_ms);
        }
        if now_ms == 25_000 || now_ms == 40_000 {
            let engines: Vec<_> = (0..(GENERATIONS.servers as f64 * share) as usize).collect();
            fleet.crash(&engines, now_ms);
        }
        fleet.advance(now_ms);
    }
    fleet
}

/// The parts that any host has quarantined in the end.
fn quarantined(fleet: &Fleet) -> BTreeSet<String> {
    let records = fleet.tables.iter().flat_map(Table::records);
    let quarantined = records.filter(|(_, record)| record.quarantine.is_some());
    quarantined.map(|(part, _)| part.to_string()).collect()
}

#[test]
fn few_bad_requests_reach_engines_and_no_sound_part_stays_refused() {
    for seed in 0..200 {
        for bad_per_s in [0.3, 1.0, 4.0] {
            let fleet = run(seed, bad_per_s, 0.2);
            let Fleet { late, refused, .. } = fleet;
            assert!(late <= MAX_LATE, "seed {seed}, {bad_per_s}: {late}");
            assert!(refused <= MAX_REFUSED, "seed {seed}, {bad_per_s}: {refused}");
            assert_eq!(quarantined(&fleet), ["bad".to_owned()].into(), "seed {seed}, {bad_per_s}");
        }
    }
}

#[test]
fn crashes_without_a_cause_in_requests_refuse_hardly_any() {
    for seed in 0..200 {
        let fleet = run(seed, 0.0, 0.6);
        assert!(fleet.refused <= MAX_REFUSED, "seed {seed}: {}", fleet.refused);
        assert_eq!((quarantined(&fleet), fleet.crashes), (BTreeSet::new(), 20), "seed {seed}");
    }
}

/// Runs 60 s of calls: 30 sound ones a second, one in three of them the same, and from 10 s `bad_per_s` times the bad one. At
/// 25 and 40 s all servers end by themselves within 0.1 s if `outages`.
fn run_calls(hosts: usize, seed: u64, bad_per_s: f64, outages: bool) -> Fleet {
    let mut fleet = Fleet::new(calls(hosts), seed);
    for now_ms in (0..60_000).step_by(10) {
        if fleet.random.random_bool(0.1) {
            fleet.send(&["frequent"], false, now_ms);
        }
        if fleet.random.random_bool(0.2) {
            fleet.send(&[&format!("call-{now_ms}")], false, now_ms);
        }
        if now_ms > 10_000 && fleet.random.random_bool(bad_per_s / 100.0) {
            fleet.send(&["bad"], true, now_ms);
        }
        for (server, offset_ms) in [(0, 0), (1, 50), (2, 100)] {
            if outages && [25_000, 40_000].contains(&(now_ms - offset_ms.min(now_ms))) {
                fleet.crash(&[server], now_ms);
            }
        }
        fleet.advance(now_ms);
    }
    fleet
}

fn check_bad_calls(hosts: usize, seeds: u64) {
    for seed in 0..seeds {
        for bad_per_s in [0.3, 2.0, 6.0] {
            let fleet = run_calls(hosts, seed, bad_per_s, false);
            let Fleet { late, refused, .. } = fleet;
            assert!(late <= MAX_LATE, "seed {seed}, {bad_per_s}: {late}");
            assert!(refused <= MAX_REFUSED, "seed {seed}, {bad_per_s}: {refused}");
            assert_eq!(quarantined(&fleet), ["bad".to_owned()].into(), "seed {seed}, {bad_per_s}");
        }
    }
}

fn check_outages(hosts: usize, seeds: u64) {
    for seed in 0..seeds {
        let fleet = run_calls(hosts, seed, 0.0, true);
        assert!(fleet.refused <= MAX_REFUSED, "seed {seed}: {}", fleet.refused);
        assert_eq!((quarantined(&fleet), fleet.crashes), (BTreeSet::new(), 6), "seed {seed}");
    }
}

#[test]
fn a_call_that_crashes_servers_reaches_few_more_and_no_other_is_refused() {
    check_bad_calls(9, 60);
}

#[test]
fn a_call_that_crashes_servers_reaches_few_more_with_many_hosts() {
    check_bad_calls(295, 4);
}

#[test]
fn servers_that_all_end_at_once_refuse_hardly_any_call() {
    check_outages(9, 60);
}

#[test]
fn servers_that_all_end_at_once_refuse_hardly_any_call_with_many_hosts() {
    check_outages(295, 10);
}
