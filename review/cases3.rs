//! The cases of the third review.

use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use super::{Act, Answer, Process, Rig, Streams, read_answer, sleep_ms, start_server};

/// Plays a case. Returns why the rule was broken, if it was.
pub fn play(case: &str, rig: &Rig) -> io::Result<Option<String>> {
    match case {
        "slow-body" => slow_body(rig),
        "reclaimed" => reclaimed(rig),
        "killed-server" => killed_server(rig),
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

/// Writes a configuration with these routes, as the operator does.
fn configure(rig: &Rig, version: u64, routes: &[&Route]) {
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
    let tenants: Vec<_> = TENANTS.iter().map(tenant).collect();
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
    rig.log.line(format!("operator  version {version} acknowledged, routes {}", names.join(" ")));
}

fn routes_names(document: &str) -> Vec<String> {
    let parts = document.split("\"path_prefix\":\"").skip(1);
    parts.filter_map(|part| Some(part.split_once('"')?.0.to_owned())).collect()
}

/// What a requester saw of one request.
type Answers = Arc<Mutex<Vec<(String, Option<Answer>)>>>;

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
        stream.set_read_timeout(Some(Duration::from_secs(8)))?;
        let head = format!(
            "POST {path} HTTP/1.1\r\nHost: a.example\r\nNutmeghead-Request-Id: {id}\r\n\
             Authorization: Bearer {key}\r\nContent-Length: {}\r\n{headers}\r\n",
            parts * part
        );
        log.line(format!("sent      {id}: head of {path}, key {key}"));
        stream.write_all(head.as_bytes())?;
        for _ in 0..parts {
            stream.write_all(&vec![b'x'; part])?;
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

/// Case 11: the operator drops a route while bodies of requests on it are on their way.
fn slow_body(rig: &Rig) -> io::Result<Option<String>> {
    /// A body of 512 KiB, at 5 Mbit/s.
    const BODY: (usize, usize, u64) = (16, 32 << 10, 50);
    const HEADERS: &str = "Nutmeghead-Deadline-Ms: 3000\r\n";

    for (number, zone) in ["z-a", "z-b", "z-c"].into_iter().enumerate() {
        let streams = Streams { events: 0, interval_ms: 0 };
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

/// Case 12: an engine is reclaimed while it sends streams that have neither a length nor chunks.
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

/// Case 13: a server's process is killed while it sends answers that have no length.
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
