//! The cases of the third review.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::{Act, Answer, Head, Rig, Streams, read_answer, sleep_ms, start_server};

/// Plays a case. Returns why the rule was broken, if it was.
pub fn play(case: &str, rig: &Rig) -> io::Result<Option<String>> {
    match case {
        "endless" => endless(rig),
        "attempts" => attempts(rig),
        "names" => names(rig),
        "upload" => upload(rig),
        _ => Err(io::Error::other("no such case")),
    }
}

/// A route of the operator's configuration.
struct Route {
    name: &'static str,
    kind: &'static str,
    service: &'static str,
    timeout_ms: u64,
    objective_ms: u64,
    max_attempts: u32,
    can_resume: bool,
}

const SWAP: Route = Route {
    name: "swap",
    kind: "non_idempotent",
    service: "app",
    timeout_ms: 3_000,
    objective_ms: 300,
    max_attempts: 1,
    can_resume: false,
};

const LOOKUP: Route = Route { name: "lookup", kind: "idempotent", max_attempts: 2, ..SWAP };

const REBUILD: Route = Route {
    name: "rebuild",
    kind: "stream",
    service: "pool",
    timeout_ms: 39_000,
    objective_ms: 1_800,
    max_attempts: 1,
    can_resume: false,
};

const CHECK: Route = Route {
    name: "check",
    kind: "stream",
    service: "pool",
    timeout_ms: 6_000,
    objective_ms: 1_500,
    max_attempts: 2,
    can_resume: true,
};

/// The tenants and their keys.
const TENANTS: [(&str, &str); 2] = [("t-one", "k-one"), ("t-two", "k-two")];

/// Writes a configuration with these routes and the usual tenants.
fn configure(rig: &Rig, version: u64, routes: &[&Route]) {
    configure_tenants(rig, version, routes, &TENANTS);
}

/// Writes a configuration with these routes and tenants, as the operator does.
fn configure_tenants(rig: &Rig, version: u64, routes: &[&Route], tenants: &[(&str, &str)]) {
    let route = |route: &&Route| {
        let Route { name, kind, service, timeout_ms, objective_ms, max_attempts, can_resume } =
            route;
        let sticky = *service == "pool";
        format!(
            "{{\"name\":\"r-{name}\",\"host\":\"a.example\",\"path_prefix\":\"/{name}/\",\"kind\":\"{kind}\",\
             \"timeout_ms\":{timeout_ms},\"target_latency_ms\":{objective_ms},\"priority\":1,\"service\":\"{service}\",\
             \"max_attempts\":{max_attempts},\"public\":false,\"sticky\":{sticky},\"can_resume\":{can_resume},\
             \"gap_aim_ms\":180}}"
        )
    };
    let routes: Vec<_> = routes.iter().map(route).collect();
    let tenant = |(name, key): &(&str, &str)| {
        format!("{{\"name\":\"{name}\",\"api_keys\":[\"{key}\"],\"priority\":1}}")
    };
    let keys: Vec<_> = tenants.iter().map(|(name, key)| format!("{name}: {key}")).collect();
    let tenants: Vec<_> = tenants.iter().map(tenant).collect();
    let document = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"pool\",\"health_path\":\"/healthz\",\
         \"max_conns\":252,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":24,\"kv_capacity\":34241,\
         \"kv_token_bytes\":18432,\"link_mbps\":2700.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\
         \"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_s\":5.0,\"models\":[{{\"name\":\"m\"}}]}}}},\
         {{\"name\":\"app\",\"health_path\":\"/healthz\",\"max_conns\":110,\"protocol\":\"h1\",\"tls\":false}}],\
         \"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\
         \"idle_timeout_ms\":15000}},\"tenants\":[{}]}}",
        routes.join(","),
        tenants.join(",")
    );
    rig.store.put("keyed.op", "config", document.as_bytes());
    let names: Vec<_> = routes_names(&document);
    rig.log.line(format!(
        "operator  version {version} acknowledged, routes {}, keys of {}",
        names.join(" "),
        keys.join(", ")
    ));
}

fn routes_names(document: &str) -> Vec<String> {
    let parts = document.split("\"path_prefix\":\"").skip(1);
    parts.filter_map(|part| Some(part.split_once('"')?.0.to_owned())).collect()
}

/// What a requester saw of one request.
type Answers = Arc<Mutex<Vec<(String, Option<Answer>)>>>;

/// Milliseconds from the sending of a request until its requester had the answer, or saw that none comes.
type Waits = Arc<Mutex<Vec<(String, u64)>>>;

/// Sends a request whose body goes out in parts of `part` bytes, one each `pause_ms`, and reads the answer.
fn call(
    rig: &Rig,
    front: SocketAddr,
    id: String,
    path: String,
    key: &'static str,
    headers: &'static str,
    (parts, part, pause_ms): (usize, usize, u64),
    answers: &Answers,
) -> JoinHandle<io::Result<()>> {
    let (log, answers) = (Arc::clone(&rig.log), Arc::clone(answers));
    thread::spawn(move || {
        let mut stream = TcpStream::connect(front)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nNutmeghead-Request-Id: {id}\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {}\r\n{headers}\r\n",
            parts * part
        );
        log.line(format!("sent      {id}: head of {path}, key {key}"));
        stream.write_all(head.as_bytes())?;
        for _ in 0..parts {
            // A host that doesn't read on may have answered.
            if stream.write_all(&vec![b'x'; part]).is_err() {
                break;
            }
            sleep_ms(pause_ms);
        }
        let answer = read_answer(stream);
        let seen = answer.as_ref().map_or("no answer".to_owned(), |answer| {
            let end = if answer.complete { "complete" } else { "broken off" };
            format!("{}, {} bytes, {end}", answer.status, answer.body.len())
        });
        log.line(format!("answered  {id}: {seen}"));
        answers.lock().unwrap().push((id, answer));
        Ok(())
    })
}

/// Case 11: one answer of an engine has no end.
fn endless(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 6000\r\n";
    const STREAM_HEADERS: &str = "Nutmeghead-Deadline-Ms: 39000\r\nNutmeghead-Model: m\r\n\
                                  Nutmeghead-Tokens: 300,80\r\n";
    /// Time after a route's timeout by which its requests are to be answered, in milliseconds.
    const SLACK_MS: u64 = 500;

    /// Engines that spoil answers, 0.5 of six, and which one of their answers has no end.
    const SPOILING: usize = 3;
    const SPOILT: u64 = 60;
    /// Answers of which one may be spoilt: 0.02.
    const MIN_ANSWERS: u64 = 50;

    let zones = ["z-a", "z-b", "z-c"];
    for (number, zone) in zones.into_iter().enumerate() {
        let none = Streams { events: 0, interval_ms: 0, silence: None };
        start_server(rig, &format!("s-{number}"), "app", zone, none, |_| Act::Serve)?;
    }
    let trouble = rig.trouble;
    let spoiling = Arc::new(AtomicU64::new(0));
    for number in 0..6 {
        let streams = Streams { events: 20, interval_ms: 30, silence: None };
        let answers = Arc::clone(&spoiling);
        let act = move |_: &Head| {
            let is_last = number < SPOILING && answers.fetch_add(1, Ordering::SeqCst) + 1 == SPOILT;
            if trouble && is_last { Act::Endless } else { Act::Serve }
        };
        start_server(rig, &format!("e-{number}"), "pool", zones[number % 3], streams, act)?;
    }
    configure(rig, 3, &[&LOOKUP, &REBUILD]);
    let hosts = rig.start_hosts(3)?;
    let (answers, waits) = (Answers::default(), Waits::default());
    let mut callers = Vec::new();
    for number in 0..240 {
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let (id, path) = (format!("lookup-{number}"), format!("/lookup/{number}"));
        let (log, sent_ms, waits) = (Arc::clone(&rig.log), rig.log.now_ms(), Arc::clone(&waits));
        let caller = call(rig, front, id.clone(), path, key, HEADERS, (1, 400, 0), &answers);
        callers.push(thread::spawn(move || {
            let called = caller.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into()));
            waits.lock().unwrap().push((id, log.now_ms() - sent_ms));
            called
        }));
        let (id, path) = (format!("rebuild-{number}"), format!("/rebuild/{number}"));
        callers.push(call(rig, front, id, path, key, STREAM_HEADERS, (1, 400, 0), &answers));
        sleep_ms(50);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let spoilt_of = spoiling.load(Ordering::SeqCst);
    rig.log.line(format!(
        "checked   one of {spoilt_of} answers of the spoiling engines may have no end"
    ));
    if spoilt_of < SPOILT.max(MIN_ANSWERS) {
        return Err(io::Error::other("too few answers for one to be spoilt"));
    }
    let (mut late, mut over) = (0, 0);
    for (id, wait_ms) in waits.lock().unwrap().iter() {
        late += usize::from(*wait_ms >= LOOKUP.timeout_ms);
        if *wait_ms > LOOKUP.timeout_ms + SLACK_MS {
            over += 1;
            rig.log.line(format!("checked   {id}: answered after {wait_ms} ms"));
        }
    }
    let served =
        answers.lock().unwrap().iter().flat_map(|(_, a)| a).filter(|a| a.status == 200).count();
    if served < 60 {
        return Err(io::Error::other("too few requests were served"));
    }
    Ok((over * 2 > late).then(|| {
        format!("CONFIG: {over} of {late} requests unanswered at their route's timeout had no answer 0.5 s later")
    }))
}

/// Case 13: an engine fails a part of its requests, while the others fall silent at times as sound engines may.
fn attempts(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 6000\r\nNutmeghead-Model: m\r\n\
                           Nutmeghead-Tokens: 300,48\r\n";
    /// Requests of every hundred that the failing engine answers with 500.
    const FAILED_PERCENT: u64 = 45;
    /// How long the engine fails requests, and the time from one start of that to the next, in milliseconds.
    const FAILING_MS: u64 = 6_500;
    const PERIOD_MS: u64 = 8_000;
    /// Requests that may run on more engines than their route allows.
    const EXCUSED: usize = 3;

    let zones = ["z-a", "z-b", "z-c"];
    let trouble = rig.trouble;
    for number in 0..7 {
        let streams = Streams { events: 12, interval_ms: 40, silence: Some((1_300, 4_000)) };
        let (requests, log) = (AtomicU64::new(0), Arc::clone(&rig.log));
        let act = move |_: &Head| {
            let is_failing = trouble && number == 0 && log.now_ms() % PERIOD_MS < FAILING_MS;
            let count = if is_failing { requests.fetch_add(1, Ordering::SeqCst) } else { 0 };
            let fails = is_failing && count * 37 % 100 < FAILED_PERCENT;
            if fails { Act::Fail } else { Act::Serve }
        };
        start_server(rig, &format!("e-{number}"), "pool", zones[number % 3], streams, act)?;
    }
    configure(rig, 3, &[&CHECK]);
    let hosts = rig.start_hosts(3)?;
    let answers = Answers::default();
    let mut callers = Vec::new();
    for number in 0..3_200 {
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let (id, path) = (format!("check-{number}"), format!("/check/{number}"));
        callers.push(call(rig, front, id, path, key, HEADERS, (1, 400, 0), &answers));
        sleep_ms(28);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let mut engines: BTreeMap<String, BTreeSet<String>> = BTreeMap::new();
    for arrival in rig.arrivals.lock().unwrap().iter().filter(|arrival| arrival.has_run()) {
        let id = arrival.head.get("nutmeghead-request-id").unwrap_or_default();
        engines.entry(id.to_owned()).or_default().insert(arrival.server.clone());
    }
    let mut over = 0;
    for (id, engines) in engines.iter().filter(|(_, e)| e.len() > CHECK.max_attempts as usize) {
        over += 1;
        rig.log.line(format!("checked   {id}: ran on {engines:?}"));
    }
    Ok((over > EXCUSED).then(|| {
        let allowed = CHECK.max_attempts;
        format!("BUDGET: {over} of {} requests ran on more than {allowed} engines", engines.len())
    }))
}

/// Case 12: a configuration takes a key away, and has a tenant whose name holds a space.
fn names(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 3000\r\n";
    /// Time after which a key that was taken away may not run, in milliseconds.
    const REVOKE_MS: u64 = 5_000;

    let none = Streams { events: 0, interval_ms: 0, silence: None };
    for (number, zone) in ["z-a", "z-b", "z-c"].into_iter().enumerate() {
        start_server(rig, &format!("s-{number}"), "app", zone, none, |_| Act::Serve)?;
    }
    configure(rig, 3, &[&SWAP, &LOOKUP]);
    let hosts = rig.start_hosts(3)?;
    let name = if rig.trouble { "Cafe Nyhavn" } else { "cafe-nyhavn" };
    configure_tenants(rig, 7, &[&SWAP, &LOOKUP], &[TENANTS[1], (name, "k-three")]);
    let changed_ms = rig.log.now_ms();
    let (answers, mut callers) = (Answers::default(), Vec::new());
    for number in 0..100 {
        let front = hosts[number % hosts.len()].front;
        let (id, path) = (format!("swap-{number}"), format!("/swap/{number}"));
        callers.push(call(rig, front, id, path, TENANTS[0].1, HEADERS, (1, 400, 0), &answers));
        sleep_ms(100);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let arrivals = rig.arrivals.lock().unwrap();
    let late = arrivals.iter().filter(|a| a.at_ms > changed_ms + REVOKE_MS + 500).count();
    Ok((late > 0).then(|| {
        format!("CONFIG: {late} requests ran with a key that was taken away over 5 s before")
    }))
}

/// Not among the cases: bodies that take 12 s, on a route with 39 s.
fn upload(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 39000\r\nNutmeghead-Model: m\r\n\
                           Nutmeghead-Tokens: 300,80\r\n";
    /// Requests that may be denied.
    const EXCUSED: usize = 5;

    let body = if rig.trouble { (24, 1_000, 500) } else { (24, 1_000, 100) };
    for (number, zone) in ["z-a", "z-b", "z-c"].into_iter().enumerate() {
        let streams = Streams { events: 20, interval_ms: 30, silence: None };
        start_server(rig, &format!("e-{number}"), "pool", zone, streams, |_| Act::Serve)?;
    }
    configure(rig, 3, &[&REBUILD]);
    let hosts = rig.start_hosts(3)?;
    let (answers, mut callers) = (Answers::default(), Vec::new());
    for number in 0..20 {
        let front = hosts[number % hosts.len()].front;
        let (id, path) = (format!("rebuild-{number}"), format!("/rebuild/{number}"));
        callers.push(call(rig, front, id, path, TENANTS[0].1, HEADERS, body, &answers));
        sleep_ms(50);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let denied = answers.iter().flat_map(|(_, answer)| answer);
    let denied = denied.filter(|answer| answer.status == 400).count();
    Ok((denied > EXCUSED).then(|| format!("DENIED: {denied} of 20 proper requests got 400")))
}
