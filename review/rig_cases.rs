// The scripted cases; part of `rig.rs`.

fn run_case(name: &str, record: &Path, with_trouble: bool) {
    match name {
        "removed-route" => removed_route(record, with_trouble),
        "joined-versions" => joined_versions(record, with_trouble),
        "idle-channels" => idle_channels(record, with_trouble),
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

/// Headers of a stream's request.
const STREAM_HEADERS: &str = "Nutmeghead-Model: m\r\nNutmeghead-Tokens: 2550,160\r\n\
                              Nutmeghead-Prefix-Hash: 5c1e07a2:350,91bd3f06:2200\r\nContent-Length: 4\r\n";

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
            let head = head("POST", "/sort/1", &id, "key-1", 6_000, STREAM_HEADERS) + "body";
            exchange(address, &[head.as_bytes()], ms(7_000))
        }));
        thread::sleep(ms(50));
    }
    callers
}

/// An engine goes down and up by turns, and comes back under its id with a newer version. No stream joins pieces of two
/// versions.
fn joined_versions(record: &Path, with_trouble: bool) {
    const EVENTS: u64 = 40;
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1"]);
    for _ in 0..10 {
        rig.add_server(Kind { events: EVENTS, interval_ms: 100, ..ENGINE });
    }
    rig.add_host();
    rig.wait_ready(0);
    thread::sleep(ms(1_000));
    if with_trouble {
        rig.servers[0].process.kill();
        rig.note("engine 0 goes down");
        thread::sleep(ms(1_400));
        rig.restart_server(0, "v2");
        rig.note("engine 0 is up again, with version v2");
    }
    let up = Instant::now();
    thread::sleep(ms(100));
    let callers = send_streams(&rig, 22);
    if with_trouble {
        rig.list(0, "ready");
        rig.note(&format!("engine 0 has written its entry {} ms after its start", up.elapsed().as_millis()));
        thread::sleep(ms(1_400).saturating_sub(up.elapsed()));
        rig.servers[0].process.kill();
        rig.note("engine 0 goes down again");
    }
    let (mut broken, mut checked) = (0, 0);
    for (index, caller) in callers.into_iter().enumerate() {
        let response = caller.join().expect("a caller");
        let text = response.as_ref().map_or(String::new(), |r| String::from_utf8_lossy(&r.body).into_owned());
        let (old, new) = (text.matches(" by v1\n").count(), text.matches(" by v2\n").count());
        rig.note(&format!("stream-{index} answered: {}, pieces by v1 {old}, by v2 {new}", describe(response.as_ref())));
        checked += usize::from(response.is_some());
        broken += usize::from(old > 0 && new > 0);
    }
    rig.finish(broken, checked)
}

/// Of nine entry hosts, eight are lost. The one that is left gets all requesters' channels, which stay open after a request.
/// While it says that it is ready, it takes new channels.
fn idle_channels(record: &Path, with_trouble: bool) {
    const CHANNELS: usize = 2_400;
    const PER_S: u64 = 60;
    const CONTACT_MS: u64 = 3_000;
    let mut rig = Deployment::new(record);
    rig.submit(&["pay", "read"], &["key-1"]);
    for _ in 0..3 {
        rig.add_server(PLAIN);
    }
    rig.add_server(ENGINE);
    for index in 0..9 {
        rig.add_host();
        rig.wait_ready(index);
    }
    if with_trouble {
        for index in 1..9 {
            rig.kill_host(index);
        }
        rig.note("the entry hosts 2 to 9 are lost");
    }
    let hosts: Vec<_> = (0..if with_trouble { 1 } else { 9 }).map(|index| rig.caller_address(index)).collect();
    let address = hosts[0];
    let begun = Instant::now();
    let (mut kept, mut served, mut failed, mut first_failed) = (Vec::new(), 0, 0, None);
    for index in 0..CHANNELS {
        thread::sleep((begun + ms(index as u64 * 1_000 / PER_S)).saturating_duration_since(Instant::now()));
        let head = head("GET", "/read/1", &format!("read-{index}"), "key-1", 1_000, "");
        let (status, socket) = keep(hosts[index % hosts.len()], head.as_bytes(), ms(1_000));
        if status == 200 {
            served += 1;
        } else {
            failed += 1;
            first_failed.get_or_insert(index);
        }
        kept.extend(socket);
        // The channel can't be established any more, or each request takes a second to fail.
        if failed >= 3 {
            break;
        }
    }
    rig.note(&format!("{served} requests served on channels of their own, {} channels open and idle", kept.len()));
    if let Some(index) = first_failed {
        rig.note(&format!("the first request that failed was read-{index}, {} ms after the first channel", begun.elapsed().as_millis()));
    }
    // New channels, until one more would not even be established by the system.
    let fill = Instant::now();
    while with_trouble && fill.elapsed() < ms(30_000) {
        let Ok(socket) = TcpStream::connect_timeout(&address, ms(1_000)) else { break };
        kept.push(socket);
        thread::sleep(ms(1_000 / PER_S));
    }
    let open = kept.iter().filter(|socket| is_open(socket)).count();
    rig.note(&format!("{open} of {} channels are still open, the oldest for {} ms", kept.len(), begun.elapsed().as_millis()));
    let (mut tries, mut taken, mut ready) = (0, 0, true);
    let window = Instant::now();
    while window.elapsed() < ms(CONTACT_MS + 1_000) {
        ready &= rig.is_ready(0);
        let connect = move || TcpStream::connect_timeout(&address, ms(1_000)).is_ok();
        let requesters: Vec<_> = (0..10).map(|_| thread::spawn(connect)).collect();
        for requester in requesters {
            tries += 1;
            taken += usize::from(requester.join().expect("a requester"));
        }
        thread::sleep(ms(100));
    }
    rig.note(&format!("{tries} tries of ten requesters for {} ms: {taken} channels taken; ready all the while: {ready}", window.elapsed().as_millis()));
    drop(kept);
    rig.finish(usize::from(ready && taken == 0), served)
}

