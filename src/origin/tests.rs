//! Tests of where streams began, and a model of hosts that restart, lose messages and see builds come and go.

use std::collections::HashSet;
use std::net::SocketAddr;

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;
use crate::directory::{Directory, Phase};
use crate::roster::Roster;

/// Steps of the model, and milliseconds of each.
const STEPS: u64 = 4_000;
const STEP_MS: u64 = 250;

/// Longest stream of the model, and the horizon of inquiries.
const STREAM_MS: u64 = 6_000;
const HORIZON_MS: u64 = 2 * STREAM_MS;

const HOSTS: usize = 9;
const BUILDS: [&str; 3] = ["v1", "v1.1", "v1.2"];

fn service() -> name::Service {
    name::Service::new("pool").unwrap()
}

fn build(name: &str) -> Option<name::Build> {
    Some(name::Build::new(name).unwrap())
}

fn origin(name: &str) -> Origin {
    Origin { service: service(), build: build(name) }
}

fn sighting(watched_ms: u64, builds: &[&str]) -> Sighting {
    Sighting { watched_ms, builds: builds.iter().map(|name| build(name)).collect() }
}

fn entry(name: &str) -> Entry {
    Entry {
        id: name::Server::new(format!("i-{name}")).unwrap(),
        service: service(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new("d").unwrap(),
        slots: 4,
        cold_ms: 0,
        build: build(name),
        started_ms: 1,
        phase: Phase::Ready,
    }
}

#[test]
fn an_origin_never_changes_and_expires() {
    let mut table = Table::new();
    table.insert("r".into(), origin("v1"), 1_000, 10_000);
    table.insert("r".into(), origin("v2"), 0, 11_000);
    assert_eq!(table.get("r", 9_000 + RETENTION_MS - 1), Some(&origin("v1")));
    assert_eq!(table.get("r", 9_000 + RETENTION_MS), None);
    table.insert("r".into(), origin("v2"), 0, 9_000 + RETENTION_MS);
    assert_eq!(table.get("r", 9_000 + RETENTION_MS), Some(&origin("v2")));
}

#[test]
fn the_oldest_origins_are_removed_when_the_table_is_full() {
    let mut table = Table::new();
    for index in 0..=MAX_ORIGINS {
        table.insert(index.to_string().into(), origin("v1"), 0, 0);
    }
    assert_eq!((table.get("0", 0), table.iter(0).count()), (None, MAX_ORIGINS));
    table.insert("x".repeat(MAX_ID_BYTES + 1).into(), origin("v1"), 0, 0);
    assert_eq!(table.iter(0).count(), MAX_ORIGINS);
}

/// Guards against a keeper that learns of an engine's restart before the host that still sends requests there.
#[test]
fn streams_that_may_have_begun_at_a_restarted_server_are_forgotten() {
    let mut table = Table::new();
    table.insert("earlier".into(), origin("v1"), 0, 9_000);
    table.insert("after".into(), origin("v1"), 0, 11_000);
    table.insert("other".into(), origin("v2"), 0, 11_000);

    table.doubt(origin("v1"), 10_000, 12_000);
    table.insert("late".into(), origin("v1"), 0, 12_500);
    table.insert("reported".into(), origin("v1"), 3_000, 12_500);
    table.insert("past".into(), origin("v1"), 0, 12_000 + DOUBT_MS);

    let known = |request| table.get(request, 12_000 + DOUBT_MS).map(|origin| origin.build.clone());
    assert_eq!((known("earlier"), known("other")), (Some(build("v1")), Some(build("v2"))));
    assert_eq!((known("after"), known("late")), (None, None));
    assert_eq!((known("reported"), known("past")), (Some(build("v1")), Some(build("v1"))));
}

#[test]
fn an_unknown_origin_is_inferred_from_a_single_build_only() {
    // What this host and one other have seen, and whether the build can be inferred.
    let cases = [
        (sighting(9_000, &["v1"]), sighting(0, &["v1"]), true),
        (sighting(0, &["v1"]), sighting(9_000, &["v1"]), true),
        (sighting(4_999, &["v1"]), sighting(4_999, &["v1"]), false),
        (sighting(9_000, &["v1"]), sighting(0, &["v2"]), false),
        (sighting(9_000, &["v1", "v2"]), sighting(9_000, &["v1"]), false),
        (sighting(9_000, &[]), sighting(9_000, &[]), false),
    ];
    for (own, other, inferred) in cases {
        let mut inquiry = Inquiry::new(1, 5_000, own.clone());
        assert!(!inquiry.is_settled());
        inquiry.record(None, other.clone());
        assert!(inquiry.is_settled());
        let expected = inferred.then(|| origin("v1"));
        assert_eq!(inquiry.conclude(&service()), expected, "{own:?} {other:?}");
    }
}

#[test]
fn a_host_that_knows_the_origin_settles_an_inquiry() {
    let mut inquiry = Inquiry::new(3, 5_000, sighting(9_000, &["v2"]));
    inquiry.record(None, sighting(9_000, &["v2"]));
    assert!(!inquiry.is_settled());
    inquiry.record(Some(origin("v1")), sighting(0, &[]));
    assert!(inquiry.is_settled());
    assert_eq!(inquiry.conclude(&service()), Some(origin("v1")));
}

/// Guards against a host that is cut off from the others, or was suspended, while engines of another build joined.
#[test]
fn nothing_is_inferred_if_no_queried_host_replies() {
    let own = || sighting(9_000, &["v1"]);

    assert_eq!(Inquiry::new(3, 5_000, own()).conclude(&service()), None);
    assert_eq!(Inquiry::new(0, 5_000, own()).conclude(&service()), Some(origin("v1")));
}

/// One host of the model.
#[derive(Default)]
struct Host {
    table: Table,
    directory: Directory,
    started_ms: u64,
}

/// Hosts, the builds that serve, and the streams whose callers may resume them.
struct Model {
    random: StdRng,
    roster: Roster,
    hosts: Vec<Host>,
    serving: HashSet<&'static str>,
    /// Request, build and begin of each stream.
    streams: Vec<(Arc<str>, &'static str, u64)>,
    /// A host that gets no message and reads no entry, and until when.
    apart: Option<(usize, u64)>,
    loss: f64,
    now_ms: u64,
}

impl Model {
    fn new(seed: u64, loss: f64) -> Self {
        let mut roster = Roster::new();
        for index in 0..HOSTS {
            roster.put(host_name(index), address(index));
        }
        let mut model = Self {
            random: StdRng::seed_from_u64(seed),
            roster,
            hosts: Vec::new(),
            serving: HashSet::from(["v1"]),
            streams: Vec::new(),
            apart: None,
            loss,
            now_ms: RETENTION_MS,
        };
        model.hosts = (0..HOSTS).map(|_| model.start_host()).collect();
        model
    }

    /// A host without state, which reads the servers at its start.
    fn start_host(&self) -> Host {
        let mut directory = Directory::new();
        for build in &self.serving {
            directory.put(entry(build), self.now_ms);
        }
        Host { directory, started_ms: self.now_ms, ..Host::default() }
    }

    /// The hosts that receive a message of `own` to `count` keepers.
    fn receivers(&mut self, own: usize, request: &str, count: usize) -> Vec<usize> {
        let keepers = self.roster.keepers(&host_name(own), |_| true, request, count);
        let hosts: Vec<_> = keepers.iter().map(|keeper| usize::from(keeper.port())).collect();
        let reached = |host: &usize| !self.is_apart(own) && !self.is_apart(*host);
        let hosts: Vec<_> = hosts.into_iter().filter(reached).collect();
        hosts.into_iter().filter(|_| !self.random.random_bool(self.loss)).collect()
    }

    fn is_apart(&self, host: usize) -> bool {
        self.apart.is_some_and(|(apart, _)| apart == host)
    }

    /// Sets a host apart for some steps, while the builds change.
    fn set_apart(&mut self) {
        let steps = self.random.random_range(4..12);
        self.apart = Some((self.random.random_range(0..HOSTS), self.now_ms + steps * STEP_MS));
        self.toggle_build();
    }

    /// Lets the host that is apart read the entries.
    fn rejoin(&mut self) {
        let Some((host, _)) = self.apart.take() else { return };
        let directory = &mut self.hosts[host].directory;
        for build in BUILDS {
            if self.serving.contains(build) {
                directory.put(entry(build), self.now_ms);
            } else {
                directory.remove_entry(&format!("i-{build}"), self.now_ms);
            }
        }
    }

    fn toggle_build(&mut self) {
        let build = BUILDS[self.random.random_range(0..BUILDS.len())];
        let serves = self.serving.contains(build);
        if serves && self.serving.len() == 1 {
            return;
        }
        let apart = self.apart.map(|(host, _)| host);
        let hosts = self.hosts.iter_mut().enumerate();
        for (_, host) in hosts.filter(|(index, _)| Some(*index) != apart) {
            if serves {
                host.directory.remove_entry(&format!("i-{build}"), self.now_ms);
            } else {
                host.directory.put(entry(build), self.now_ms);
            }
        }
        if serves {
            self.serving.remove(build)
        } else {
            self.serving.insert(build)
        };
    }

    fn begin_stream(&mut self) {
        let own = self.random.random_range(0..HOSTS);
        let known = self.hosts[own].directory.builds(&service(), self.now_ms);
        let mut serving: Vec<_> = self.serving.iter().copied().collect();
        serving.retain(|build| known.contains(&self::build(build)));
        serving.sort_unstable();
        if serving.is_empty() {
            return;
        }
        let build = serving[self.random.random_range(0..serving.len())];
        let request: Arc<str> = format!("r-{}", self.random.random::<u64>()).into();
        self.streams.push((Arc::clone(&request), build, self.now_ms));
        let keepers = self.receivers(own, &request, KEEPERS);
        for host in keepers.into_iter().chain([own]) {
            self.hosts[host].table.insert(Arc::clone(&request), origin(build), 0, self.now_ms);
        }
    }

    fn kill_hosts(&mut self, share: f64) {
        for index in 0..HOSTS {
            if self.random.random_bool(share) {
                self.hosts[index] = self.start_host();
            }
        }
    }

    fn stop_host(&mut self) {
        let index = self.random.random_range(0..HOSTS);
        let restarted = self.start_host();
        let host = std::mem::replace(&mut self.hosts[index], restarted);
        for (request, origin, age_ms) in host.table.iter(self.now_ms) {
            for keeper in self.receivers(index, request, KEEPERS) {
                let table = &mut self.hosts[keeper].table;
                table.insert(Arc::clone(request), origin.clone(), age_ms, self.now_ms);
            }
        }
    }

    /// Resumes a stream at a host; returns whether its origin was found. Panics if a wrong one was found.
    fn resume(&mut self, stream: usize, own: usize) -> bool {
        let (request, began_at, _) = self.streams[stream].clone();
        let replying = self.receivers(own, &request, QUERIED_HOSTS);
        let sighting = |host: &Host| Sighting {
            watched_ms: self.now_ms - host.started_ms,
            builds: host.directory.builds(&service(), self.now_ms - HORIZON_MS),
        };
        let known = |host: &Host| host.table.get(&request, self.now_ms).cloned();
        let asked = self.roster.keepers(&host_name(own), |_| true, &request, QUERIED_HOSTS);
        let mut inquiry = Inquiry::new(asked.len(), HORIZON_MS, sighting(&self.hosts[own]));
        for host in replying.into_iter().map(|index| &self.hosts[index]) {
            inquiry.record(known(host), sighting(host));
        }
        let found = known(&self.hosts[own]).or_else(|| inquiry.conclude(&service()));
        if let Some(found) = &found {
            assert_eq!(found.build, build(began_at), "{request} at {}", self.now_ms);
        }
        found.is_some()
    }

    /// Plays random events; returns how many resumptions there were, and of how many the origin was found.
    fn play(&mut self, killed_share: f64) -> (u32, u32) {
        self.play_with(killed_share, false)
    }

    /// Like [`Self::play`]; with `sets_apart`, hosts are set apart one after the other.
    fn play_with(&mut self, killed_share: f64, sets_apart: bool) -> (u32, u32) {
        let (mut resumed, mut found) = (0, 0);
        for _ in 0..STEPS {
            self.now_ms += STEP_MS;
            if self.apart.is_some_and(|(_, until_ms)| until_ms <= self.now_ms) {
                self.rejoin();
            }
            if sets_apart && self.apart.is_none() && self.random.random_bool(0.01) {
                self.set_apart();
            }
            let oldest_ms = self.now_ms - STREAM_MS;
            self.streams.retain(|(_, _, began_ms)| *began_ms >= oldest_ms);
            match self.random.random_range(0..20) {
                0 if !sets_apart => self.toggle_build(),
                1 if killed_share > 0.0 => self.kill_hosts(killed_share),
                2 => self.stop_host(),
                3..12 => self.begin_stream(),
                _ if self.streams.is_empty() => {}
                _ => {
                    let stream = self.random.random_range(0..self.streams.len());
                    let own = self.random.random_range(0..HOSTS);
                    resumed += 1;
                    found += u32::from(self.resume(stream, own));
                }
            }
        }
        (resumed, found)
    }
}

fn host_name(index: usize) -> name::Host {
    name::Host::new(format!("h-{index}")).unwrap()
}

/// The port is the index of the host.
fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, 1], index as u16).into()
}

#[test]
fn a_stream_is_never_resumed_at_another_build() {
    for seed in 0..8 {
        for (killed_share, loss) in [(0.0, 0.0), (0.3, 0.1), (0.6, 0.3), (1.0, 0.1)] {
            Model::new(seed, loss).play(killed_share);
        }
    }
}

#[test]
fn a_stream_is_never_resumed_at_another_build_by_a_host_that_was_set_apart() {
    for seed in 0..32 {
        for killed_share in [0.0, 0.3] {
            Model::new(seed, 0.1).play_with(killed_share, true);
        }
    }
}

#[test]
fn origins_survive_restarts_of_all_hosts_in_turn() {
    for seed in 0..8 {
        let (resumed, found) = Model::new(seed, 0.0).play(0.0);
        assert_eq!(found, resumed, "{seed}");
    }
}
