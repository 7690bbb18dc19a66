//! The cases: each returns whether the rule was broken.

use std::collections::{HashMap, HashSet};
use std::io;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use crate::engine::plain_body;
use crate::host::{
    Host, Place, Process, SIGCONT, SIGHUP, SIGSTOP, configure, keep_logs, start_engine, start_hosts,
};
use crate::record::Record;
use crate::requester::{Answer, Channel, KEY, Request};
use crate::store::Store;

/// Bytes of a plain answer: the largest of the installation's sheet.
const BYTES: usize = 4_800;

/// `config_max_ms`.
const CONFIG_MAX: Duration = Duration::from_millis(2_000);

/// `timeout_ms` of the routes of short streams.
const ROUTE_TIMEOUT: Duration = Duration::from_millis(6_000);

/// How long an engine is silent: "a second or so".
const SILENCE: Duration = Duration::from_millis(1_000);

/// Runs the case `name` and writes its record to `path`. Returns whether the rule was broken.
pub fn run(name: &str, path: &str, trouble: bool) -> io::Result<bool> {
    let record = Record::new(path)?;
    record.line(&format!(
        "case {name}, {}",
        if trouble { "with the disruption" } else { "without it" }
    ));
    let place = Place::new()?;
    let store = Store::start(place.store())?;
    let setup = Setup { place: &place, store: &store, record: &record, trouble };
    let broken = match name {
        "cut" => setup.cut(),
        "crash" => setup.crash(),
        "leaving" => setup.leaving(),
        "silence" => setup.silence(),
        "attempts" => setup.attempts(),
        "revoked" => setup.revoked(),
        "idle" => setup.idle(),
        _ => Err(io::Error::other("no such case")),
    };
    keep_logs(&place, Path::new(path).parent().unwrap_or(Path::new(".")));
    let broken = broken?;
    record.say(if broken { "the rule was broken" } else { "the rule held" });
    Ok(broken)
}

struct Setup<'a> {
    place: &'a Place,
    store: &'a Store,
    record: &'a Record,
    trouble: bool,
}

/// Requests that are open at each server.
type Open = Arc<Mutex<HashMap<String, i64>>>;

/// Counts open requests from what servers say.
fn count_open() -> (Open, impl Fn(&str) + Clone + Send + 'static) {
    let open = Open::default();
    let counted = Arc::clone(&open);
    let count = move |line: &str| {
        let words: Vec<&str> = line.split(' ').collect();
        if let [word, _, "at", server, ..] = words[..] {
            let change = if word == "run" { 1 } else { -1 };
            *counted.lock().unwrap().entry(server.to_owned()).or_default() += change;
        }
    };
    (open, count)
}

/// The server with most open requests.
fn busiest<'a>(servers: &'a [Process], open: &Open) -> Option<&'a Process> {
    let open = open.lock().unwrap();
    servers.iter().max_by_key(|server| open.get(&server.name).copied().unwrap_or_default())
}

/// What a requester saw of each request, by id.
type Answers = Arc<Mutex<HashMap<String, Answer>>>;

impl Setup<'_> {
    /// Starts `count` servers of `service` with `options`.
    fn servers(&self, service: &str, count: u8, options: &[&str]) -> io::Result<Vec<Process>> {
        self.observed_servers(service, count, options, |_| {})
    }

    /// Like [`Self::servers`]. What they say goes to `observe`, too.
    fn observed_servers(
        &self,
        service: &str,
        count: u8,
        options: &[&str],
        observe: impl Fn(&str) + Clone + Send + 'static,
    ) -> io::Result<Vec<Process>> {
        let first = if service == "pool" { 100 } else { 200 };
        let service_option = format!("service={service}");
        let start = |number: u8| {
            let id = format!("i-{service}{number}");
            let zone = format!("zone=z-{}", ["a", "b", "c"][usize::from(number) % 3]);
            let options = [&[&*service_option, &*zone], options].concat();
            start_engine(self.place, first + number, &id, &options, self.record, observe.clone())
        };
        let servers = (1..=count).map(start).collect::<io::Result<Vec<_>>>()?;
        std::thread::sleep(Duration::from_millis(300));
        Ok(servers)
    }

    /// RECOVER: the servers are partitioned from the store for 5 s while all hosts are killed and start again.
    fn cut(&self) -> io::Result<bool> {
        const RECOVER: Duration = Duration::from_secs(12);
        /// Within the 5 s of the claim.
        const CUT: Duration = Duration::from_millis(4_900);
        let mut servers = self.servers("pool", 3, &["events=3"])?;
        servers.extend(self.servers("app", 3, &[])?);
        configure(self.store, 7, &[KEY]);
        let mut hosts = start_hosts(self.place, 3, self.record)?;
        let before = self.served(&hosts, "before", Duration::from_secs(2));
        if self.trouble {
            self.record.say("the servers are partitioned from the store");
            servers.iter_mut().for_each(|server| server.tell("cut"));
        }
        let cut = Instant::now();
        std::thread::sleep(Duration::from_secs(1));
        self.record.say("the hosts are killed");
        hosts.iter_mut().for_each(|host| host.process.kill());
        std::thread::sleep(Duration::from_millis(800));
        for number in 1..=3u8 {
            hosts[usize::from(number) - 1] = Host::start(self.place, number, self.record)?;
        }
        self.record.say("the hosts are back");
        std::thread::sleep(CUT.saturating_sub(cut.elapsed()));
        if self.trouble {
            servers.iter_mut().for_each(|server| server.tell("heal"));
            self.record.say(&format!(
                "the servers reach the store again after {} ms",
                cut.elapsed().as_millis()
            ));
        }
        // Counted from the end of the last disruption, which is later than the return of the hosts.
        let back = Instant::now();
        std::thread::sleep(RECOVER.saturating_sub(back.elapsed()) + Duration::from_millis(100));
        let listed = self.store.keys("keyed.servers");
        self.record.say(&format!("entries in the store: {}", listed.join(" ")));
        let after = self.served(&hosts, "after", Duration::from_secs(5));
        self.record.say(&format!(
            "served: {} of {} before, {} of {} later than 12 s after the cut and the hosts' return",
            before.0, before.1, after.0, after.1
        ));
        Ok(before.0 * 4 >= before.1 && after.0 * 4 < after.1)
    }

    /// Sends requests of both services to all hosts for `time`. Returns how many were served, and how many were sent.
    fn served(&self, hosts: &[Host], name: &str, time: Duration) -> (usize, usize) {
        let started = Instant::now();
        let (mut served, mut sent) = (0, 0);
        while started.elapsed() < time {
            for host in hosts {
                for (path, stream) in [("/lookup/1", false), ("/check/1", true)] {
                    sent += 1;
                    let id = format!("{name}{sent:04x}");
                    let method = if stream { "POST" } else { "GET" };
                    let request =
                        Request { method, path, id: &id, deadline_ms: 1_500, stream, key: KEY };
                    let answer =
                        Channel::open(host.front).map(|mut channel| channel.send(&request));
                    let answer = answer.unwrap_or_default();
                    self.record.line(&format!(
                        "requester: {path} {id} at {}: {}",
                        host.process.name,
                        answer.text()
                    ));
                    served +=
                        usize::from(answer.status == 200 && answer.stamped && answer.complete);
                }
            }
            std::thread::sleep(Duration::from_millis(50));
        }
        (served, sent)
    }

    /// MIXED: a server is killed while its answers, which end with their channels, are on their way.
    fn crash(&self) -> io::Result<bool> {
        let bytes = format!("bytes={BYTES}");
        let options = ["framing=unframed", "half_ms=100", &*bytes];
        let _pool = self.servers("pool", 1, &[])?;
        let (open, count) = count_open();
        let mut servers = self.observed_servers("app", 6, &options, count)?;
        configure(self.store, 7, &[KEY]);
        let hosts = start_hosts(self.place, 3, self.record)?;
        let answers = Answers::default();
        let ended = Arc::new(AtomicBool::new(false));
        let mut requesters = Vec::new();
        for number in 0..24 {
            let front = hosts[number % hosts.len()].front;
            let (answers, ended) = (Arc::clone(&answers), Arc::clone(&ended));
            let record = self.record.clone();
            requesters.push(std::thread::spawn(move || {
                let mut channel = Channel::open(front).ok();
                for turn in 0.. {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let id = format!("{:04x}{turn:04x}", number + 1);
                    let (method, path) = match number % 2 {
                        0 => ("POST", "/swap/1"),
                        _ => ("GET", "/lookup/1"),
                    };
                    let Some(open) = channel.as_mut() else {
                        channel = Channel::open(front).ok();
                        continue;
                    };
                    let request = Request {
                        method,
                        path,
                        id: &id,
                        deadline_ms: 1_500,
                        stream: false,
                        key: KEY,
                    };
                    let answer = open.send(&request);
                    record.line(&format!("requester: {method} {id}: {}", answer.text()));
                    if !answer.complete || answer.closes {
                        channel = None;
                    }
                    answers.lock().unwrap().insert(id, answer);
                }
            }));
        }
        std::thread::sleep(Duration::from_millis(2_550));
        if self.trouble {
            let number = busiest(&servers, &open).map(|server| server.name.clone());
            if let Some(server) =
                servers.iter_mut().find(|server| Some(&server.name) == number.as_ref())
            {
                self.record.say(&format!("server {} is killed", server.name));
                server.kill();
            }
        }
        std::thread::sleep(Duration::from_millis(2_500));
        ended.store(true, Ordering::SeqCst);
        for requester in requesters {
            let _ = requester.join();
        }
        let answers = answers.lock().unwrap();
        let ok = answers.values().filter(|answer| answer.status == 200 && answer.complete);
        self.record.say(&format!("{} requests, {} successes", answers.len(), ok.count()));
        let mut wrong = 0;
        for (id, answer) in answers.iter() {
            let success = answer.status == 200 && answer.complete;
            if success && answer.body != plain_body(id, BYTES) {
                wrong += 1;
                self.record.say(&format!(
                    "MIXED: {id} got a success with {} of the {BYTES} bytes of the server's body",
                    answer.body.len()
                ));
            }
        }
        Ok(wrong > 0)
    }

    /// Opens `count` streams on each of `paths` at each host, and returns what their requesters got.
    fn streams(&self, hosts: &[Host], paths: &[&'static str], count: usize) -> Streams {
        let answers = Answers::default();
        let mut requesters = Vec::new();
        for (number, host) in hosts.iter().enumerate() {
            for (route, path) in paths.iter().enumerate() {
                for index in 0..count {
                    let id = format!("{}{}{index:04x}", number + 1, route + 1);
                    let (answers, record) = (Arc::clone(&answers), self.record.clone());
                    let (front, path) = (host.front, *path);
                    requesters.push(std::thread::spawn(move || {
                        let Ok(mut channel) = Channel::open(front) else { return };
                        // The channel is kept from an earlier request.
                        let first = format!("{id}f");
                        let lookup = Request {
                            method: "GET",
                            path: "/lookup/1",
                            id: &first,
                            deadline_ms: 1_500,
                            stream: false,
                            key: KEY,
                        };
                        let answer = channel.send(&lookup);
                        record.line(&format!("requester: GET {first}: {}", answer.text()));
                        let request = Request {
                            method: "POST",
                            path,
                            id: &id,
                            deadline_ms: 39_000,
                            stream: true,
                            key: KEY,
                        };
                        record.line(&format!("requester: sends {path} {id}"));
                        let answer = channel.send(&request);
                        let events = answer.events();
                        record.line(&format!(
                            "requester: {path} {id}: {}, events {:?} to {:?}",
                            answer.text(),
                            events.first(),
                            events.last()
                        ));
                        answers.lock().unwrap().insert(format!("{path} {id}"), answer);
                    }));
                    std::thread::sleep(Duration::from_millis(8));
                }
            }
        }
        Streams { requesters, answers }
    }

    /// ORDER: an engine that leaves is gone while its streams, which end with their channels, are on their way.
    fn leaving(&self) -> io::Result<bool> {
        const EVENTS: u64 = 90;
        let mut engines =
            self.servers("pool", 6, &["framing=unframed", "events=90", "gap_ms=50"])?;
        let _app = self.servers("app", 3, &[])?;
        configure(self.store, 7, &[KEY]);
        let hosts = start_hosts(self.place, 3, self.record)?;
        let streams = self.streams(&hosts, &["/check/1"], 8);
        std::thread::sleep(Duration::from_millis(600));
        if self.trouble {
            self.record.say("engine i-pool1 reports that it leaves");
            engines[0].tell("drain");
            std::thread::sleep(Duration::from_millis(1_600));
            self.record.say("engine i-pool1 is gone");
            engines[0].kill();
        }
        let answers = streams.wait();
        let whole: Vec<u64> = (1..=EVENTS).collect();
        let mut wrong = 0;
        for (id, answer) in &answers {
            let events = answer.events();
            if answer.status == 200 && answer.complete && events != whole {
                wrong += 1;
                self.record.say(&format!(
                    "ORDER: {id} ended as complete after {} of {EVENTS} pieces",
                    events.len()
                ));
            }
        }
        self.record.say(&format!("{} streams, {wrong} of them wrong", answers.len()));
        Ok(wrong > 0)
    }

    /// LOST: an engine falls silent for a second and goes on. One host got a SIGHUP before.
    fn silence(&self) -> io::Result<bool> {
        let (open, count) = count_open();
        let cancelled: Arc<Mutex<HashSet<String>>> = Arc::default();
        let noted = Arc::clone(&cancelled);
        let observe = move |line: &str| {
            count(line);
            // The engine found its channel closed; it did not break off itself.
            if let ["cancelled", id, ..] = line.split(' ').collect::<Vec<_>>()[..] {
                noted.lock().unwrap().insert(id.to_owned());
            }
        };
        let engines = self.observed_servers("pool", 4, &["events=50", "gap_ms=50"], observe)?;
        let _app = self.servers("app", 3, &[])?;
        configure(self.store, 7, &[KEY]);
        let hosts = start_hosts(self.place, 4, self.record)?;
        self.record.say(&format!("SIGHUP to {}", hosts[0].process.name));
        hosts[0].process.signal(SIGHUP);
        let hangup = Instant::now();
        let streams = self.streams(&hosts, &["/verdict/1", "/check/1"], 10);
        std::thread::sleep(Duration::from_millis(500));
        if self.trouble
            && let Some(engine) = busiest(&engines, &open)
        {
            self.record.say(&format!("{} falls silent", engine.name));
            engine.signal(SIGSTOP);
            std::thread::sleep(SILENCE);
            engine.signal(SIGCONT);
            self.record.say(&format!("{} goes on", engine.name));
        }
        let answers = streams.wait();
        std::thread::sleep(Duration::from_millis(500));
        let cancelled = cancelled.lock().unwrap();
        let (mut cut, mut planned) = (0, 0);
        for (id, answer) in &answers {
            let (Some(sent), Some(ended)) = (answer.sent, answer.ended) else { continue };
            let request = id.split(' ').nth(1).unwrap_or_default();
            if answer.complete || !cancelled.contains(request) || ended - sent >= ROUTE_TIMEOUT {
                continue;
            }
            cut += 1;
            // The ids of the first host's requests begin with 1. Its SIGHUP is the planned work.
            let after = sent.saturating_duration_since(hangup);
            if request.starts_with('1') && after <= CONFIG_MAX {
                planned += 1;
                self.record.say(&format!(
                    "LOST: {id}, sent {} ms after the SIGHUP, was cut {} ms later, after piece {:?}",
                    after.as_millis(),
                    (ended - sent).as_millis(),
                    answer.events().last()
                ));
            }
        }
        self.record.say(&format!(
            "{} streams, {cut} cut by hosts, {planned} of them at the host after its SIGHUP",
            answers.len()
        ));
        Ok(planned > 0)
    }

    /// CONFIG: a key that was taken away is accepted again by a host that starts after the store came back from an older
    /// copy, although the other hosts know the newer configuration.
    fn revoked(&self) -> io::Result<bool> {
        const REVOKED: &str = "wsjnbanfqasnmgkcuyj8";
        const REVOKE_MS: u128 = 5_000;
        let ran_ids: Arc<Mutex<HashSet<String>>> = Arc::default();
        let noted = Arc::clone(&ran_ids);
        let observe = move |line: &str| {
            if let ["run", id, ..] = line.split(' ').collect::<Vec<_>>()[..] {
                noted.lock().unwrap().insert(id.to_owned());
            }
        };
        let _pool = self.servers("pool", 2, &[])?;
        let _app = self.observed_servers("app", 3, &[], observe)?;
        configure(self.store, 7, &[KEY, REVOKED]);
        let mut hosts = start_hosts(self.place, 3, self.record)?;
        self.store.copy();
        let copied = Instant::now();
        self.record.say("the platform copies its store");
        std::thread::sleep(Duration::from_millis(500));
        configure(self.store, 8, &[KEY]);
        let acknowledged = Instant::now();
        self.record.say("version 8 is acknowledged: it takes a key away");
        std::thread::sleep(Duration::from_millis(5_200));
        let send = |host: &Host, id: &str, key: &str| {
            let request = Request {
                method: "GET",
                path: "/lookup/1",
                id,
                deadline_ms: 1_500,
                stream: false,
                key,
            };
            let answer = Channel::open(host.front).map(|mut channel| channel.send(&request));
            let answer = answer.unwrap_or_default();
            self.record.line(&format!(
                "requester: {id} at {}: {}",
                host.process.name,
                answer.text()
            ));
            answer
        };
        for (number, host) in hosts.iter().enumerate() {
            send(host, &format!("{:04x}", number + 1), REVOKED);
        }
        if self.trouble {
            self.record.say("the store is away");
            self.store.leave();
            std::thread::sleep(Duration::from_millis(500));
            self.store.restore();
            self.record.say(&format!(
                "the store is back from its copy, {} ms old",
                copied.elapsed().as_millis()
            ));
        }
        let returned = Instant::now();
        let name = hosts[2].process.name.clone();
        self.record.say(&format!("{name} is killed and starts again"));
        hosts[2].process.kill();
        std::thread::sleep(Duration::from_millis(300));
        hosts[2] = Host::start(self.place, 3, self.record)?;
        let started = Instant::now();
        let mut sent = Vec::new();
        let mut turn = 0;
        let mut written = false;
        while started.elapsed() < Duration::from_secs(6) {
            turn += 1;
            let id = format!("a{turn:04x}");
            let sent_ms = acknowledged.elapsed().as_millis();
            send(&hosts[2], &id, REVOKED);
            sent.push((id, sent_ms));
            if !written && returned.elapsed() > Duration::from_secs(2) {
                configure(self.store, 8, &[KEY]);
                written = true;
                self.record.say("the operator has written version 8 again");
            }
            std::thread::sleep(Duration::from_millis(100));
        }
        let answer = send(&hosts[2], "last", KEY);
        let ran_ids = ran_ids.lock().unwrap();
        let late = sent.iter().filter(|(id, ms)| *ms > REVOKE_MS && ran_ids.contains(id));
        let ran = late.clone().count();
        for (id, sent_ms) in late {
            self.record
                .say(&format!("CONFIG: {id} ran, sent {sent_ms} ms after the key was taken away"));
        }
        self.record
            .say(&format!("{ran} requests ran with the key; another key: {}", answer.text()));
        Ok(ran > 0)
    }

    /// RECOVER: requesters leave their channels open and idle.
    fn idle(&self) -> io::Result<bool> {
        let _pool = self.servers("pool", 1, &[])?;
        let _app = self.servers("app", 3, &["half_ms=5"])?;
        configure(self.store, 7, &[KEY]);
        let hosts = start_hosts(self.place, 1, self.record)?;
        let mut kept = Vec::new();
        let started = Instant::now();
        let mut late = 0;
        let mut turn = 0u32;
        while started.elapsed() < Duration::from_secs(92) && late < 40 {
            turn += 1;
            let id = format!("b{turn:05x}");
            let request = Request {
                method: "GET",
                path: "/lookup/1",
                id: &id,
                deadline_ms: 500,
                stream: false,
                key: KEY,
            };
            let Ok(mut channel) = Channel::open(hosts[0].front) else {
                late += 1;
                continue;
            };
            let answer = channel.send(&request);
            if answer.status != 200 {
                late += 1;
                self.record.line(&format!(
                    "requester: {id}: {} channels kept {}",
                    answer.text(),
                    kept.len()
                ));
            } else {
                late = 0;
            }
            if self.trouble {
                kept.push(channel);
            }
            std::thread::sleep(Duration::from_millis(15));
        }
        self.record.say(&format!(
            "{turn} channels, {} kept, {late} in a row unanswered, ready: {}",
            kept.len(),
            hosts[0].is_ready()
        ));
        Ok(late >= 7)
    }

    /// BUDGET: requests of a route with two attempts run on more than two engines.
    fn attempts(&self) -> io::Result<bool> {
        let ran: Arc<Mutex<HashMap<String, HashSet<String>>>> = Arc::default();
        let mut engines = Vec::new();
        for number in 1..=7u8 {
            let id = format!("i-pool{number}");
            let mut options = vec!["service=pool", "zone=z-a", "events=4", "gap_ms=15"];
            match number {
                1 => options.push("fail=0.45"),
                2..=5 => options.push("break_off=0.05"),
                _ => {}
            }
            let ran = Arc::clone(&ran);
            engines.push(start_engine(
                self.place,
                100 + number,
                &id,
                &options,
                self.record,
                move |line| {
                    let words: Vec<&str> = line.split(' ').collect();
                    if let ["run", request, "at", engine, ..] = words[..] {
                        let mut ran = ran.lock().unwrap();
                        ran.entry(request.to_owned()).or_default().insert(engine.to_owned());
                    }
                },
            )?);
        }
        let _app = self.servers("app", 3, &[])?;
        configure(self.store, 7, &[KEY]);
        let hosts = start_hosts(self.place, 3, self.record)?;
        let ended = Arc::new(AtomicBool::new(false));
        let mut requesters = Vec::new();
        for number in 0..48 {
            let front = hosts[number % hosts.len()].front;
            let (ended, record) = (Arc::clone(&ended), self.record.clone());
            requesters.push(std::thread::spawn(move || {
                for turn in 0.. {
                    if ended.load(Ordering::SeqCst) {
                        return;
                    }
                    let Ok(mut channel) = Channel::open(front) else { continue };
                    let id = format!("{:04x}{turn:05x}", number + 1);
                    let request = Request {
                        method: "POST",
                        path: "/check/1",
                        id: &id,
                        deadline_ms: 6_000,
                        stream: true,
                        key: KEY,
                    };
                    let answer = channel.send(&request);
                    record.line(&format!("requester: {id}: {}", answer.text()));
                }
            }));
        }
        for _ in 0..12 {
            if self.trouble {
                engines.iter_mut().for_each(|engine| engine.tell("on"));
            }
            std::thread::sleep(Duration::from_secs(5));
            engines.iter_mut().for_each(|engine| engine.tell("off"));
            std::thread::sleep(Duration::from_secs(2));
        }
        ended.store(true, Ordering::SeqCst);
        for requester in requesters {
            let _ = requester.join();
        }
        std::thread::sleep(Duration::from_millis(300));
        let ran = ran.lock().unwrap();
        let over: Vec<_> = ran.iter().filter(|(_, engines)| engines.len() > 2).collect();
        for (request, engines) in &over {
            self.record.line(&format!("BUDGET: {request} ran on {engines:?}, of two allowed"));
        }
        self.record.say(&format!(
            "{} requests ran, {} on more than two engines",
            ran.len(),
            over.len()
        ));
        Ok(over.len() > 3)
    }
}

/// Streams that are open.
struct Streams {
    requesters: Vec<std::thread::JoinHandle<()>>,
    answers: Answers,
}

impl Streams {
    fn wait(self) -> HashMap<String, Answer> {
        for requester in self.requesters {
            let _ = requester.join();
        }
        std::mem::take(&mut *self.answers.lock().unwrap())
    }
}
