// The scripted cases; part of `rig.rs`.

fn run_case(name: &str, record: &Path, with_trouble: bool) {
    match name {
        "removed-route" => removed_route(record, with_trouble),
        "unframed-leaving" => unframed_leaving(record, with_trouble),
        "unframed-crash" => unframed_crash(record, with_trouble),
        "silent-engine" => silent_engine(record, with_trouble),
        "restored-key" => restored_key(record, with_trouble),
        _ => process::exit(2),
    }
}

/// Callers send bodies slowly while a configuration removes their route. Every request that runs has to carry the name of
/// the tenant that holds its caller's key.
fn removed_route(record: &Path, with_trouble: bool) {
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1"]);
    for _ in 0..3 {
        rig.add_server(PLAIN);
    }
    rig.add_server(ENGINE);
    rig.add_host();
    rig.wait_ready(0);
    let address = rig.caller_address(0);
    let body = vec![b'x'; 8_000];
    let mut callers = Vec::new();
    for index in 0..10 {
        let (id, body) = (format!("slow-{index}"), body.clone());
        rig.note(&format!("{id} sent with key-1: its head and the first half of its body"));
        callers.push(thread::spawn(move || {
            let mut socket = TcpStream::connect(address).ok()?;
            socket.set_read_timeout(Some(ms(5_000))).ok()?;
            let length = format!("Content-Length: {}\r\n", body.len());
            let head = head("POST", "/pay/1", &id, "key-1", 5_000, &length);
            let (first, second) = body.split_at(body.len() / 2);
            socket.write_all(&[head.as_bytes(), first].concat()).ok()?;
            thread::sleep(ms(1_000));
            socket.write_all(second).ok()?;
            read_response(socket)
        }));
    }
    thread::sleep(ms(300));
    if with_trouble {
        rig.submit(&["read"], &["key-1"]);
    }
    let mut answered = 0;
    for (index, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("a caller");
        answered += usize::from(response.is_some());
        rig.note(&format!("slow-{index} answered: {}", describe(response.as_ref())));
    }
    let runs = rig.runs("slow-");
    let broken = runs.iter().filter(|line| !line.contains(" tenant huka270 ")).count();
    rig.finish(broken, answered)
}

/// An engine with unframed answers leaves and ends while it streams. A stream that ends early must not look complete.
fn unframed_leaving(record: &Path, with_trouble: bool) {
    const EVENTS: u64 = 40;
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1"]);
    for _ in 0..6 {
        rig.add_server(Kind { unframed: true, events: EVENTS, interval_ms: 100, ..ENGINE });
    }
    rig.add_host();
    rig.wait_ready(0);
    let callers = send_streams(&rig, 24);
    if with_trouble {
        rig.list(0, "draining");
        rig.note("engine 0 says that it leaves");
        thread::sleep(ms(2_000));
        rig.servers[0].process.kill();
        rig.note("engine 0 has ended");
    }
    check_streams(rig, callers, EVENTS)
}

/// A caller, which returns the response it got.
type Caller = thread::JoinHandle<Option<Message>>;

/// Sends `count` streams that may be resumed to the first entry host.
fn send_streams(rig: &Deployment, count: usize) -> Vec<Caller> {
    let address = rig.caller_address(0);
    let mut callers = Vec::new();
    for index in 0..count {
        let id = format!("stream-{index}");
        rig.note(&format!("{id} sent"));
        callers.push(thread::spawn(move || {
            let rest = "Nutmeghead-Model: m\r\nNutmeghead-Tokens: 2550,160\r\nNutmeghead-Prefix-Hash: 5c1e07a2:350,91bd3f06:2200\r\n\
                        Content-Length: 4\r\n";
            let head = head("POST", "/sort/1", &id, "key-1", 6_000, rest) + "body";
            exchange(address, &[head.as_bytes()], ms(7_000))
        }));
        thread::sleep(ms(50));
    }
    callers
}

/// A release of the engines is under way, one engine of the old build is left. The entry host is asked to shut down, and
/// the engine falls silent for a little over a second. Streams end with all of their events.
fn silent_engine(record: &Path, with_trouble: bool) {
    const EVENTS: u64 = 30;
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1"]);
    let silence_ms = if with_trouble { 1_100 } else { 0 };
    let old = Kind { events: EVENTS, interval_ms: 60, silence_ms, ..ENGINE };
    rig.add_server(old);
    for _ in 0..2 {
        rig.add_server(Kind { build: "v2", silence_ms: 0, ..old });
    }
    rig.add_host();
    rig.wait_ready(0);
    // Longer than `contact_ms`: the rule looks back for so long.
    thread::sleep(ms(3_200));
    let callers = send_streams(&rig, 9);
    if with_trouble {
        rig.signal_host(0, "TERM");
        rig.note("entry host 1 gets SIGTERM");
    }
    let (mut broken, mut checked) = (0, 0);
    for (index, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("a caller");
        let last = last_event(response.as_ref());
        rig.note(&format!("stream-{index} answered: {}, last event {last} of {EVENTS}", describe(response.as_ref())));
        let is_refused = response.as_ref().is_some_and(|response| response.status() != 200);
        checked += usize::from(!is_refused);
        broken += usize::from(!is_refused && !response.is_some_and(|response| response.complete && last == EVENTS));
    }
    rig.finish(broken, checked)
}

fn last_event(response: Option<&Message>) -> u64 {
    let text = response.map_or(String::new(), |response| String::from_utf8_lossy(&response.body).into_owned());
    text.lines().filter_map(|line| line.strip_prefix("id: ")?.parse().ok()).last().unwrap_or(0)
}

fn check_streams(rig: Deployment, callers: Vec<Caller>, events: u64) {
    let (mut broken, mut checked) = (0, 0);
    for (index, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("a caller");
        let last = last_event(response.as_ref());
        rig.note(&format!("stream-{index} answered: {}, last event {last} of {events}", describe(response.as_ref())));
        let Some(response) = response.filter(|response| response.status() == 200) else { continue };
        checked += 1;
        broken += usize::from(response.complete && last < events);
    }
    rig.finish(broken, checked)
}

/// A server with unframed answers crashes while it writes plain bodies. An answer that ends early must not look complete.
fn unframed_crash(record: &Path, with_trouble: bool) {
    const PARTS: u64 = 8;
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1"]);
    for _ in 0..6 {
        rig.add_server(Kind { unframed: true, events: PARTS, interval_ms: 60, ..PLAIN });
    }
    rig.add_server(ENGINE);
    rig.add_host();
    rig.wait_ready(0);
    let address = rig.caller_address(0);
    let mut callers = Vec::new();
    for index in 0..240 {
        callers.push(thread::spawn(move || {
            let path = if index % 3 == 0 { "/read/1" } else { "/pay/1" };
            let head = head("POST", path, &format!("call-{index}"), "key-1", 3_000, "Content-Length: 4\r\n") + "body";
            exchange(address, &[head.as_bytes()], ms(4_000))
        }));
        thread::sleep(ms(12));
        if with_trouble && index == 120 {
            rig.servers[0].process.kill();
            rig.note("server 0 has crashed");
        }
    }
    let whole: String = (1..=PARTS).map(|part| format!("part {part} of {PARTS}\n")).collect();
    let (mut broken, mut checked) = (0, 0);
    for (index, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("a caller");
        rig.note(&format!("call-{index} answered: {} of {}", describe(response.as_ref()), whole.len()));
        let Some(response) = response.filter(|response| response.status() == 200) else { continue };
        checked += 1;
        broken += usize::from(response.complete && response.body != whole.as_bytes());
    }
    rig.finish(broken, checked)
}

/// A key is removed; the store comes back from an older copy while an entry host starts again. No request runs with the key
/// that was sent later than `revoke_ms` after the acknowledgement.
fn restored_key(record: &Path, with_trouble: bool) {
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1", "key-2"]);
    for _ in 0..3 {
        rig.add_server(PLAIN);
    }
    rig.add_server(ENGINE);
    for index in 0..3 {
        rig.add_host();
        rig.wait_ready(index);
    }
    thread::sleep(ms(2_500));
    let copy = rig.store.copy();
    rig.note("the store's copy is made");
    thread::sleep(ms(700));
    rig.submit(&["pay", "read"], &["key-2"]);
    let revoked = Instant::now();
    let at = |after_ms: u64| thread::sleep((revoked + ms(after_ms)).saturating_duration_since(Instant::now()));
    let address = rig.caller_address(0);
    let caller = thread::spawn(move || {
        let mut sent = Vec::new();
        while revoked.elapsed() < ms(8_000) {
            let since = revoked.elapsed().as_millis() as u64;
            let id = format!("old-{since}");
            let head = head("POST", "/pay/1", &id, "key-1", 1_500, "Content-Length: 4\r\n") + "body";
            let response = exchange(address, &[head.as_bytes()], ms(2_000));
            sent.push((since, id, response));
            thread::sleep(ms(50));
        }
        sent
    });
    if with_trouble {
        at(2_200);
        rig.store.set_down(true);
        rig.note("the store is away");
        at(3_000);
        rig.kill_host(0);
        rig.note("entry host 1 is killed");
        at(3_800);
        rig.start_host(0);
        rig.note("entry host 1 starts again");
        at(5_200);
        rig.store.restore(copy);
        rig.note("the store is back from its copy");
        for index in 0..rig.servers.len() {
            rig.list(index, "ready");
        }
        at(6_200);
        rig.submit_again(&["pay", "read"], &["key-2"]);
        rig.note("the operator has written the configuration again");
    }
    let sent = caller.join().expect("a caller");
    let (mut broken, mut checked) = (0, 0);
    for (since, id, response) in sent {
        let runs = rig.runs(&id).iter().filter(|line| line.split(' ').nth(3) == Some(&id)).count();
        rig.note(&format!("{id} sent {since} ms after the removal, answered: {}, runs {runs}", describe(response.as_ref())));
        checked += 1;
        broken += usize::from(since > REVOKE_MS && runs > 0);
    }
    rig.finish(broken, checked)
}
