//! The cases of the third review.

use std::collections::{BTreeMap, BTreeSet};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::{Act, Answer, Head, Process, Rig, Streams, read_answer, sleep_ms, start_server};

/// Plays a case. Returns why the rule was broken, if it was.
pub fn play(case: &str, rig: &Rig) -> io::Result<Option<String>> {
    match case {
        "cut-from-store" => cut_from_store(rig),
        "slow-body" => slow_body(rig),
        "reclaimed" => reclaimed(rig),
        "killed-server" => killed_server(rig),
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

const EXTRA: Route = Route { name: "extra", ..LOOKUP };

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

/// Case 13: the operator drops a route while bodies of requests on it are on their way.
fn slow_body(rig: &Rig) -> io::Result<Option<String>> {
    /// A body of 512 KiB, at 5 Mbit/s.
    const BODY: (usize, usize, u64) = (16, 32 << 10, 50);
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 3000\r\n";

    for (number, zone) in ["z-a", "z-b", "z-c"].into_iter().enumerate() {
        let streams = Streams { events: 0, interval_ms: 0, silence: None };
        start_server(rig, &format!("s-{number}"), "app", zone, streams, |_| Act::Serve)?;
    }
    configure(rig, 3, &[&SWAP, &LOOKUP]);
    let hosts = rig.start_hosts(3)?;
    let answers = Answers::default();
    let mut callers = Vec::new();
    for number in 0..40 {
        if rig.trouble && number == 20 {
            configure(rig, 7, &[&LOOKUP]);
        }
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let (id, path) = (format!("swap-{number}"), format!("/swap/{number}"));
        callers.push(call(rig, front, id, path, key, HEADERS, BODY, &answers));
        sleep_ms(100);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let arrivals = rig.arrivals.lock().unwrap().clone();
    let mut foreign = 0;
    for arrival in &arrivals {
        let id = arrival.head.get("nutmeghead-request-id").unwrap_or_default();
        let number: usize = id.trim_start_matches("swap-").parse().map_err(io::Error::other)?;
        let (tenant, _) = TENANTS[number % 2];
        let got = arrival.head.get("nutmeghead-tenant");
        if got != Some(tenant) {
            foreign += 1;
            rig.log.line(format!(
                "checked   {id}: ran for tenant {got:?}, its key is held by {tenant}"
            ));
        }
    }
    if arrivals.len() < 10 {
        return Err(io::Error::other("too few requests ran"));
    }
    Ok((foreign > 0).then(|| {
        format!(
            "UNASKED: {foreign} of {} runs without the tenant that holds the key",
            arrivals.len()
        )
    }))
}

/// Case 15: an engine is reclaimed while it sends streams that have neither a length nor chunks.
fn reclaimed(rig: &Rig) -> io::Result<Option<String>> {
    const EVENTS: u64 = 38;
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 6000\r\nNutmeghead-Model: m\r\n\
                           Nutmeghead-Tokens: 300,152\r\n";

    let zones = ["z-a", "z-b", "z-c"];
    let mut engines = Vec::new();
    for number in 0..6 {
        engines.push(Process::start(
            rig,
            &format!("e-{number}"),
            "pool",
            zones[number % 3],
            EVENTS,
            120,
        )?);
    }
    configure(rig, 3, &[&CHECK]);
    let hosts = rig.start_hosts(3)?;
    let answers = Answers::default();
    let mut callers = Vec::new();
    for number in 0..90 {
        // One engine of six: the notice, and two seconds later it is gone.
        if rig.trouble && number == 50 {
            engines[0].drain()?;
            rig.log.line("engine    e-0 reports that it is draining");
        }
        if rig.trouble && number == 83 {
            engines[0].kill();
            rig.log.line("engine    e-0 is gone: its process was killed");
        }
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let (id, path) = (format!("check-{number}"), format!("/check/{number}"));
        callers.push(call(rig, front, id, path, key, HEADERS, (1, 400, 0), &answers));
        sleep_ms(60);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (mut short, mut whole) = (0, 0);
    for (id, answer) in answers.lock().unwrap().iter() {
        let Some(answer) = answer.as_ref().filter(|answer| answer.status == 200) else { continue };
        let text = String::from_utf8_lossy(&answer.body);
        let ids = text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse::<u64>().ok());
        let last = ids.last().unwrap_or(0);
        whole += usize::from(answer.complete && last == EVENTS);
        if answer.complete && last < EVENTS {
            short += 1;
            rig.log
                .line(format!("checked   {id}: ended as complete after event {last} of {EVENTS}"));
        }
    }
    if whole < 20 {
        return Err(io::Error::other("too few streams were served"));
    }
    Ok((short > 0).then(|| {
        format!(
            "ORDER: {short} streams ended as complete before their last piece; {whole} were whole"
        )
    }))
}

/// Not among the cases: a server's process is killed while it sends answers that have no length.
fn killed_server(rig: &Rig) -> io::Result<Option<String>> {
    const ROWS: u64 = 20;
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 3000\r\n";

    let zones = ["z-a", "z-b", "z-c"];
    let mut servers = Vec::new();
    for number in 0..7 {
        servers.push(Process::start(
            rig,
            &format!("s-{number}"),
            "app",
            zones[number % 3],
            ROWS,
            25,
        )?);
    }
    configure(rig, 3, &[&SWAP, &LOOKUP]);
    let hosts = rig.start_hosts(3)?;
    let answers = Answers::default();
    let mut callers = Vec::new();
    for number in 0..200 {
        if rig.trouble && number == 100 {
            servers[0].kill();
            rig.log.line("server    s-0 crashes: its process was killed");
        }
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let kind = ["swap", "lookup"][number / 2 % 2];
        let (id, path) = (format!("{kind}-{number}"), format!("/{kind}/{number}"));
        callers.push(call(rig, front, id, path, key, HEADERS, (1, 400, 0), &answers));
        sleep_ms(15);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let (mut short, mut whole) = (0, 0);
    for (id, answer) in answers.lock().unwrap().iter() {
        let Some(answer) = answer.as_ref().filter(|answer| answer.status == 200) else { continue };
        let rows = String::from_utf8_lossy(&answer.body).lines().count() as u64;
        whole += usize::from(answer.complete && rows == ROWS);
        if answer.complete && rows < ROWS {
            short += 1;
            rig.log.line(format!("checked   {id}: 200, complete with {rows} of {ROWS} rows"));
        }
    }
    if whole < 20 {
        return Err(io::Error::other("too few requests were served"));
    }
    Ok((short > 0).then(|| {
        format!("MIXED: {short} answers of 200 with a part of the body; {whole} were whole")
    }))
}

/// Case 11: the servers of a service don't reach the store for 5 s, and serve all the while.
fn cut_from_store(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 3000\r\n";
    /// Requests on an added route from which on the rule holds.
    const MIN_ADDED: usize = 20;
    /// Silence after which the store removes an entry, in milliseconds: three heartbeats.
    const SILENCE_MS: u64 = 3_600;
    const CUT_MS: u64 = 5_000;

    let none = Streams { events: 0, interval_ms: 0, silence: None };
    let mut servers = Vec::new();
    for (number, zone) in ["z-a", "z-b", "z-c"].into_iter().enumerate() {
        let id = format!("s-{number}");
        servers.push(start_server(rig, &id, "app", zone, none, |_| Act::Serve)?);
    }
    configure(rig, 3, &[&SWAP, &LOOKUP]);
    let hosts = rig.start_hosts(3)?;
    let answers = Answers::default();
    let mut callers = Vec::new();
    let started_ms = rig.log.now_ms();
    let (mut is_lapsed, mut is_back, mut is_added) = (false, false, false);
    for number in 0..400 {
        let elapsed_ms = rig.log.now_ms() - started_ms;
        let is_cut = rig.trouble && (2_000..2_000 + CUT_MS).contains(&elapsed_ms);
        for server in &servers {
            server.listed.store(!is_cut, Ordering::SeqCst);
        }
        if is_cut && elapsed_ms >= 2_000 + SILENCE_MS && !std::mem::replace(&mut is_lapsed, true) {
            for server in &servers {
                rig.store.put("keyed.servers", &server.id, b"");
            }
            rig.log.line("store     removes the entries of the servers, which have been silent");
        }
        if is_lapsed && !is_cut && !std::mem::replace(&mut is_back, true) {
            rig.log.line("servers   reach the store again");
        }
        if elapsed_ms >= 10_000 && !std::mem::replace(&mut is_added, true) {
            configure(rig, 7, &[&SWAP, &LOOKUP, &EXTRA]);
        }
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let on_added = elapsed_ms >= 13_000 && number % 2 == 0;
        let kind = if on_added { "extra" } else { "lookup" };
        let (id, path) = (format!("{kind}-{number}"), format!("/{kind}/{number}"));
        callers.push(call(rig, front, id, path, key, HEADERS, (1, 400, 0), &answers));
        sleep_ms(50);
    }
    for caller in callers {
        let _ = caller.join();
    }
    let answers = answers.lock().unwrap();
    let count = |kind: &str| {
        let of_kind = || answers.iter().filter(|(id, _)| id.starts_with(kind));
        let is_served = |answer: &Option<Answer>| answer.as_ref().is_some_and(|a| a.status == 200);
        (of_kind().filter(|(_, answer)| is_served(answer)).count(), of_kind().count())
    };
    let ((added, of_added), (first, of_first)) = (count("extra"), count("lookup"));
    rig.log.line(format!("checked   served: {added} of {of_added} on the added route, {first} of {of_first} on the first"));
    if of_added < MIN_ADDED || first == 0 {
        return Err(io::Error::other("too few requests"));
    }
    Ok((added * of_first * 4 < first * of_added).then(|| {
        format!("CONFIG: {added} of {of_added} requests on the added route were served, {first} of {of_first} on the first")
    }))
}

/// Case 12: one answer of an engine has no end.
fn endless(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 6000\r\n";
    const STREAM_HEADERS: &str = "Nutmeghead-Deadline-Ms: 39000\r\nNutmeghead-Model: m\r\n\
                                  Nutmeghead-Tokens: 300,80\r\n";
    /// Time after a route's timeout by which its requests are to be answered, in milliseconds.
    const SLACK_MS: u64 = 500;

    let zones = ["z-a", "z-b", "z-c"];
    for (number, zone) in zones.into_iter().enumerate() {
        let none = Streams { events: 0, interval_ms: 0, silence: None };
        start_server(rig, &format!("s-{number}"), "app", zone, none, |_| Act::Serve)?;
    }
    let trouble = rig.trouble;
    for number in 0..6 {
        let streams = Streams { events: 20, interval_ms: 30, silence: None };
        let act = move |head: &Head| match head.path() {
            "/rebuild/40" if trouble => Act::Endless,
            _ => Act::Serve,
        };
        start_server(rig, &format!("e-{number}"), "pool", zones[number % 3], streams, act)?;
    }
    configure(rig, 3, &[&LOOKUP, &REBUILD]);
    let hosts = rig.start_hosts(3)?;
    let (answers, waits) = (Answers::default(), Waits::default());
    let mut callers = Vec::new();
    for number in 0..120 {
        let (front, (_, key)) = (hosts[number % hosts.len()].front, TENANTS[number % 2]);
        let (id, path) = (format!("lookup-{number}"), format!("/lookup/{number}"));
        let (log, sent_ms, waits) = (Arc::clone(&rig.log), rig.log.now_ms(), Arc::clone(&waits));
        let caller = call(rig, front, id.clone(), path, key, HEADERS, (1, 400, 0), &answers);
        callers.push(thread::spawn(move || {
            let called = caller.join().unwrap_or_else(|_| Err(io::ErrorKind::Other.into()));
            waits.lock().unwrap().push((id, log.now_ms() - sent_ms));
            called
        }));
        if number % 2 == 0 {
            let (id, path) = (format!("rebuild-{number}"), format!("/rebuild/{number}"));
            callers.push(call(rig, front, id, path, key, STREAM_HEADERS, (1, 400, 0), &answers));
        }
        sleep_ms(100);
    }
    for caller in callers {
        let _ = caller.join();
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

/// Not among the cases: an engine fails a part of its requests, while the others fall silent at times as sound engines may.
fn attempts(rig: &Rig) -> io::Result<Option<String>> {
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 6000\r\nNutmeghead-Model: m\r\n\
                           Nutmeghead-Tokens: 300,48\r\n";
    /// Requests of every hundred that the failing engine answers with 500.
    const FAILED_PERCENT: u64 = 45;
    /// Requests that may run on more engines than their route allows.
    const EXCUSED: usize = 3;

    let zones = ["z-a", "z-b", "z-c"];
    let trouble = rig.trouble;
    for number in 0..7 {
        let streams = Streams { events: 12, interval_ms: 40, silence: Some((1_300, 4_000)) };
        let requests = AtomicU64::new(0);
        let act = move |_: &Head| {
            let count = requests.fetch_add(1, Ordering::SeqCst);
            let fails = trouble && number == 0 && count * 37 % 100 < FAILED_PERCENT;
            if fails { Act::Fail } else { Act::Serve }
        };
        start_server(rig, &format!("e-{number}"), "pool", zones[number % 3], streams, act)?;
    }
    configure(rig, 3, &[&CHECK]);
    let hosts = rig.start_hosts(3)?;
    let answers = Answers::default();
    let mut callers = Vec::new();
    for number in 0..2_600 {
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

/// Case 14: a configuration takes a key away, and has a tenant whose name holds a space.
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
