//! Stand-ins of the third review, with the standard library only: the platform's store, servers, callers and an operator.
//! `rig3 CASE RECORD` starts entry hosts with the command of the deploy file, plays the case, writes what was sent,
//! answered and run to the file RECORD, and exits with 0 (the rule held), 1 (it was broken) or 2 (the case could not run).

use std::collections::{BTreeMap, HashMap};
use std::fs::File;
use std::io::{self, BufRead, BufReader, Write};
use std::net::{IpAddr, Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "cases3.rs"]
mod cases3;

/// Interval of the servers' heartbeats.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Longest time for which a case runs.
const MAX_RUN: Duration = Duration::from_secs(110);

/// Ids of the processes that were started.
static STARTED: Mutex<Vec<u32>> = Mutex::new(Vec::new());

/// Ends the case, and the processes that it started, if it takes too long.
fn watch() {
    thread::spawn(|| {
        thread::sleep(MAX_RUN);
        for id in STARTED.lock().unwrap().iter() {
            let _ = Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        std::process::exit(2);
    });
}

pub fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

// ---------------------------------------------------------------- record

/// What happened, with the time since the start.
pub struct Log {
    started: Instant,
    file: Mutex<File>,
}

impl Log {
    pub fn line(&self, text: impl AsRef<str>) {
        let ms = self.started.elapsed().as_millis();
        let mut file = self.file.lock().unwrap();
        let _ = writeln!(file, "{ms:>7} ms  {}", text.as_ref());
    }

    pub fn now_ms(&self) -> u64 {
        self.started.elapsed().as_millis() as u64
    }
}

// ---------------------------------------------------------------- HTTP

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter().filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or_default()
    }

    pub fn path(&self) -> &str {
        self.word(1).split('?').next().unwrap_or_default()
    }

    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.word(1).split_once('?')?;
        query.split('&').find_map(|pair| pair.strip_prefix(&format!("{name}="))).map(str::to_owned)
    }
}

pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body with a length or in chunks; up to the end of the connection if `to_end` and it has neither.
pub fn read_body(reader: &mut impl BufRead, head: &Head, to_end: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    read_body_into(&mut body, reader, head, to_end)?;
    Ok(body)
}

/// Like [`read_body`]; `body` keeps what arrived before an error.
fn read_body_into(
    body: &mut Vec<u8>,
    reader: &mut impl BufRead,
    head: &Head,
    to_end: bool,
) -> io::Result<()> {
    if head.get("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(());
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    match head.get("content-length").and_then(|length| length.parse().ok()) {
        Some(length) => {
            body.resize(length, 0);
            reader.read_exact(body)?;
        }
        None if to_end => {
            reader.read_to_end(body)?;
        }
        None => {}
    }
    Ok(())
}

/// Serves each connection in a thread of its own.
pub fn serve(
    address: SocketAddr,
    handle: impl Fn(&Head, Vec<u8>, &mut TcpStream) -> io::Result<bool> + Send + Sync + 'static,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address)?;
    let address = listener.local_addr()?;
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = Arc::clone(&handle);
            let _ = stream.set_nodelay(true);
            thread::spawn(move || -> io::Result<()> {
                let mut writer = stream.try_clone()?;
                let mut reader = BufReader::new(stream);
                while let Some(head) = read_head(&mut reader)? {
                    let body = read_body(&mut reader, &head, false)?;
                    if !handle(&head, body, &mut writer)? {
                        break;
                    }
                }
                Ok(())
            });
        }
    });
    Ok(address)
}

pub fn respond(
    stream: &mut TcpStream,
    status: &str,
    headers: &str,
    body: &[u8],
) -> io::Result<bool> {
    let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
    stream.write_all(&[head.as_bytes(), body].concat())?;
    Ok(true)
}

// ---------------------------------------------------------------- store

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk.iter().fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            let digit = DIGITS[(word >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= chunk.len() { digit } else { '=' });
        }
    }
    text
}

type Topics = HashMap<String, Vec<(String, Vec<u8>)>>;

/// The platform's store: keyed topics of one partition, all of whose records are kept.
pub struct Store {
    topics: Mutex<Topics>,
    changed: Condvar,
}

impl Store {
    pub fn new() -> Arc<Self> {
        let topics = Mutex::default();
        Arc::new(Self { topics, changed: Condvar::new() })
    }

    /// Appends a record; one without a value drops its key.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        let mut topics = self.topics.lock().unwrap();
        topics.entry(topic.to_owned()).or_default().push((key.to_owned(), value.to_vec()));
        self.changed.notify_all();
    }

    fn read(&self, topic: &str, from: usize, wait_ms: u64) -> Option<Vec<u8>> {
        let deadline = Instant::now() + Duration::from_millis(wait_ms);
        let mut topics = self.topics.lock().unwrap();
        loop {
            let end = topics.get(topic).map_or(0, Vec::len);
            if from > end {
                return None;
            }
            let left = deadline.saturating_duration_since(Instant::now());
            if from < end || left.is_zero() {
                break;
            }
            topics = self.changed.wait_timeout(topics, left).unwrap().0;
        }
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut body = Vec::new();
        body.extend_from_slice(&(records.len() as u64).to_be_bytes());
        body.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in &records[from..] {
            body.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            body.push(key.len() as u8);
            body.extend_from_slice(key.as_bytes());
            body.extend_from_slice(value);
        }
        Some(body)
    }

    fn newest(&self, topic: &str) -> String {
        let topics = self.topics.lock().unwrap();
        let records = topics.get(topic).map_or(&[][..], Vec::as_slice);
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in records.iter().enumerate() {
            newest.insert(key, (offset, value));
        }
        newest.retain(|_, (_, value)| !value.is_empty());
        let items: Vec<_> = newest
            .iter()
            .map(|(key, (offset, value))| {
                let value = base64(value);
                format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
            })
            .collect();
        let items = items.join(",");
        format!("{{\"items\":[{items}],\"has_more\":false,\"end\":{}}}", records.len())
    }

    pub fn start(self: &Arc<Self>, address: SocketAddr) -> io::Result<SocketAddr> {
        let store = Arc::clone(self);
        serve(address, move |head, body, stream| {
            let id = head
                .get("nutmeghead-request-id")
                .map_or(String::new(), |id| format!("Nutmeghead-Request-Id: {id}\r\n"));
            sleep_ms(4);
            let topic = head.query("topic").unwrap_or_default();
            let number = |name| head.query(name).and_then(|n| n.parse::<u64>().ok()).unwrap_or(0);
            match head.path() {
                "/api/log-newest" => {
                    let headers = format!("{id}Content-Type: application/json\r\n");
                    respond(stream, "200 OK", &headers, store.newest(&topic).as_bytes())
                }
                "/api/log-read" => {
                    match store.read(&topic, number("from") as usize, number("wait_ms")) {
                        Some(body) => respond(stream, "200 OK", &id, &body),
                        None => respond(stream, "410 Gone", &id, b"{\"first\":0}"),
                    }
                }
                "/api/log-append" => {
                    let mut rest = &body[..];
                    while rest.len() > 5 {
                        let length = u32::from_be_bytes(rest[..4].try_into().unwrap()) as usize;
                        let record = &rest[4..4 + length];
                        let (key, value) = record[1..].split_at(usize::from(record[0]));
                        store.put(&topic, &String::from_utf8_lossy(key), value);
                        rest = &rest[4 + length..];
                    }
                    respond(stream, "200 OK", &id, b"{\"offset\":0,\"end\":1}")
                }
                _ => respond(stream, "404 Not Found", &id, b""),
            }
        })
    }
}

// ---------------------------------------------------------------- servers

/// What a server does with a request that it runs.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Act {
    /// Answers with its whole body or stream.
    Serve,
    /// Answers 500.
    Fail,
    /// Sends one event of a stream, then lines that end no event, each in a chunk of its own, until the caller closes.
    Endless,
}

/// A request as it arrived at a server.
#[derive(Clone, Debug)]
pub struct Arrival {
    pub at_ms: u64,
    pub server: String,
    pub head: Head,
    pub act: Act,
    /// Whether the server has sent a failure, or the first token of a stream.
    ran: Arc<AtomicBool>,
}

impl Arrival {
    pub fn has_run(&self) -> bool {
        self.ran.load(Ordering::SeqCst)
    }
}

pub type Arrivals = Arc<Mutex<Vec<Arrival>>>;

/// A server or model engine, which writes its entry to the store.
pub struct Server {
    pub id: String,
    pub address: SocketAddr,
    pub service: String,
    pub zone: String,
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// Settings of the streams of an engine.
#[derive(Clone, Copy)]
pub struct Streams {
    pub events: u64,
    pub interval_ms: u64,
    /// A time in which the engine sends nothing, and the time from the start of one to the next, in milliseconds.
    pub silence: Option<(u64, u64)>,
}

impl Streams {
    /// Waits until the engine with this number isn't silent.
    fn wait(self, number: u64, now_ms: u64) {
        let Some((silent_ms, period_ms)) = self.silence else { return };
        let phase_ms = (now_ms + number * 487) % period_ms;
        sleep_ms(silent_ms.saturating_sub(phase_ms));
    }
}

/// Whether the caller has closed the connection.
fn is_closed(stream: &TcpStream) -> bool {
    let peek = || {
        stream.set_nonblocking(true)?;
        let peeked = stream.peek(&mut [0]);
        stream.set_nonblocking(false)?;
        peeked
    };
    match peek() {
        Ok(length) => length == 0,
        Err(error) => error.kind() != io::ErrorKind::WouldBlock,
    }
}

pub fn start_server(
    rig: &Rig,
    id: &str,
    service: &str,
    zone: &str,
    streams: Streams,
    choose: impl Fn(&Head) -> Act + Send + Sync + 'static,
) -> io::Result<Arc<Server>> {
    let born = unix_ms();
    let number = id.rsplit('-').next().and_then(|number| number.parse().ok()).unwrap_or(0);
    let (name, arrivals, log) = (id.to_owned(), Arc::clone(&rig.arrivals), Arc::clone(&rig.log));
    let address = serve(rig.address(), move |head, _, stream| {
        if head.path() == "/api/report" {
            let body = format!(
                "{{\"stage\":\"both\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\
                 \"seq\":1,\"queued\":0,\"running\":0,\"kv_used\":0,\"kv_total\":34241,\"handles\":0,\"born\":{born}}}"
            );
            return respond(
                stream,
                "200 OK",
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            );
        }
        let request = head.get("nutmeghead-request-id").unwrap_or_default().to_owned();
        let same = head.get("nutmeghead-expect-instance").is_none_or(|expected| expected == name);
        let common = format!("Nutmeghead-Request-Id: {request}\r\nNutmeghead-Instance: {name}\r\n");
        if head.path() == "/healthz" {
            return respond(stream, "200 OK", &common, b"");
        }
        if !same {
            return respond(stream, "421 Misdirected Request", &common, b"");
        }
        let act = choose(head);
        let ran = Arc::new(AtomicBool::new(false));
        let arrival = Arrival {
            at_ms: log.now_ms(),
            server: name.clone(),
            head: head.clone(),
            act,
            ran: Arc::clone(&ran),
        };
        arrivals.lock().unwrap().push(arrival);
        log.line(format!(
            "run       {request} at {name}: {} {} {act:?}",
            head.word(0),
            head.word(1)
        ));
        let common = format!("{common}Nutmeghead-Stamp: {request}.{name}\r\n");
        if act == Act::Fail {
            ran.store(true, Ordering::SeqCst);
            return respond(stream, "500 Internal Server Error", &common, b"failed");
        }
        if head.get("nutmeghead-tokens").is_none() {
            sleep_ms(20);
            return respond(stream, "200 OK", &common, format!("{request} by {name}\n").as_bytes());
        }
        let after = head.get("last-event-id").and_then(|id| id.parse::<u64>().ok()).unwrap_or(0);
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        sleep_ms(streams.interval_ms);
        streams.wait(number, log.now_ms());
        stream.write_all(head.as_bytes())?;
        if act == Act::Endless {
            stream.write_all(b"14\r\nid: 1\ndata: 1 of n\n\n\r\n".as_slice())?;
            let lines = b"2\r\n:\n\r\n".repeat(8_000);
            while stream.write_all(&lines).is_ok() {}
            log.line(format!("closed    {request} at {name}: by its caller"));
            return Ok(false);
        }
        for event in after + 1..=streams.events {
            streams.wait(number, log.now_ms());
            // An engine drops a request when its channel closes.
            if is_closed(stream) {
                log.line(format!("dropped   {request} at {name}: its channel has closed"));
                return Ok(false);
            }
            let text = format!("id: {event}\ndata: {event}\n\n");
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            stream.write_all(chunk.as_bytes())?;
            ran.store(true, Ordering::SeqCst);
            sleep_ms(streams.interval_ms);
        }
        stream.write_all(b"0\r\n\r\n")?;
        Ok(true)
    })?;
    let server = Arc::new(Server {
        id: id.to_owned(),
        address,
        service: service.to_owned(),
        zone: zone.to_owned(),
    });
    let (beating, store, mut seq) = (Arc::clone(&server), Arc::clone(&rig.store), 0);
    let slots = if streams.events > 0 { 24 } else { 6 };
    thread::spawn(move || {
        loop {
            seq += 1;
            let Server { id, address, service, zone, .. } = &*beating;
            let entry = format!(
                "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\
                     \"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"seq\":{seq},\"born\":{born}}}"
            );
            store.put("keyed.servers", id, entry.as_bytes());
            thread::sleep(HEARTBEAT);
        }
    });
    Ok(server)
}

// ---------------------------------------------------------------- hosts

/// An entry host: a process of the real program.
pub struct Host {
    pub child: Child,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    pub name: String,
}

impl Host {
    pub fn signal(&self, signal: &str) {
        let _ =
            Command::new("kill").args([format!("-{signal}"), self.child.id().to_string()]).status();
    }

    pub fn is_ready(&self) -> bool {
        let get = || -> io::Result<bool> {
            let mut stream = TcpStream::connect_timeout(&self.ready, Duration::from_secs(1))?;
            stream.set_read_timeout(Some(Duration::from_secs(1)))?;
            stream
                .write_all(b"GET /api/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")?;
            let head = read_head(&mut BufReader::new(stream))?;
            Ok(head.is_some_and(|head| head.word(1) == "200"))
        };
        get().unwrap_or(false)
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// What all parts of a case share.
pub struct Rig {
    pub log: Arc<Log>,
    pub store: Arc<Store>,
    pub store_address: SocketAddr,
    pub arrivals: Arrivals,
    pub trouble: bool,
    ip: [u8; 3],
    next: AtomicU64,
    folder: PathBuf,
}

impl Rig {
    pub fn new(record: &str) -> io::Result<Self> {
        let log =
            Arc::new(Log { started: Instant::now(), file: Mutex::new(File::create(record)?) });
        let id = std::process::id();
        let ip = [127, 64 + (id >> 8 & 63) as u8, id as u8];
        let folder = std::env::temp_dir().join(format!("nutmeghead-review-3-{id}"));
        std::fs::create_dir_all(&folder)?;
        let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
        let store = Store::new();
        let first = SocketAddr::new(IpAddr::V4(Ipv4Addr::new(ip[0], ip[1], ip[2], 1)), 0);
        let store_address = store.start(first)?;
        log.line(format!("disruption: {}", if trouble { "on" } else { "off" }));
        let arrivals = Arrivals::default();
        Ok(Self {
            log,
            store,
            store_address,
            arrivals,
            trouble,
            ip,
            next: AtomicU64::new(2),
            folder,
        })
    }

    /// The next address, with any port.
    pub fn address(&self) -> SocketAddr {
        let last = self.next.fetch_add(1, Ordering::SeqCst) as u8;
        SocketAddr::new(IpAddr::V4(Ipv4Addr::new(self.ip[0], self.ip[1], self.ip[2], last)), 0)
    }

    /// Starts an entry host by the command of the deploy file, with the settings of a small deployment.
    pub fn start_host(&self, number: usize, zone: &str, hosts: usize) -> io::Result<Host> {
        let ip = self.address().ip();
        // All hosts of a day use the same ports.
        let base = 20_000 + (std::process::id() % 2_000) as u16 * 8;
        let (front, ready, peer) = (base, base + 1, base + 2);
        let name = format!("front-{zone}-{number}");
        let settings = format!(
            "node_name = \"{name}\"\nrole = \"entry\"\nmachine_class = \"front\"\nserves = [\"front\"]\n\
             ip = \"{ip}\"\nzone = \"{zone}\"\nregion = \"r\"\nport_range = [{peer},{peer}]\nseeds = []\n\
             bootstrap = true\ndiscovery = \"platform\"\nentry = \"vip\"\nheartbeat_ms = 1200\n\
             contracts = [\"base\",\"drain\",\"config\",\"cost\",\"retry\",\"recover\",\"engine\",\"stream\",\"tenants\",\"platform\"]\n\
             [zones]\nz-a = \"r\"\nz-b = \"r\"\nz-c = \"r\"\n\
             [listen]\nfront = \"{ip}:{front}\"\nready = \"{ip}:{ready}\"\n\
             [limits]\ncpu_share = 0.25\ncores = 1\nmemory_mb = 110\nmax_fds = 4100\nlink_mbps = 1000.0\ndisk_mb = 0\n\
             [fault_tolerance]\nmachines = {hosts}\nzones = 0\nregions = 0\n\
             [bounds]\nseed_lag_s = 3\nreuse_s = 2\ncontact_ms = 3000\nack_ms = 4000\nsync_s = 4\ndrain_ms = 2000\n\
             grace_s = 8\nloss_slack_ms = 200\nconfig_max_ms = 2000\nback_ms = 250\nouter_ms = 5000\nstrict_revoke = true\n\
             revoke_ms = 5000\nretry_ratio = 0.2\nretry_window_s = 10\nretry_slack = 58\nrecover_s = 12\npass_ms = 120\n\
             reuse_window_s = 5.2\n\
             [platform]\naddr = \"{}\"\nform = \"log\"\nwrites_per_s = 400\nreads_per_s = 2000\nparts = 8\nappend_ms = 4.0\n\
             keep_s = 300\n",
            self.store_address
        );
        let path = self.folder.join(format!("{name}.toml"));
        std::fs::write(&path, settings)?;
        let deploy = std::fs::read_to_string("deploy/system.toml")?;
        let run = deploy.lines().find_map(|line| line.strip_prefix("run = \"")?.strip_suffix('"'));
        let mut words = run.ok_or(io::ErrorKind::NotFound)?.split(' ');
        let program = words.next().unwrap_or_default();
        let output = File::create(self.folder.join(format!("{name}.log")))?;
        let child = Command::new(program)
            .args(words)
            .env_clear()
            .env("NUTMEGHEAD_SETTINGS", &path)
            .stdin(Stdio::null())
            .stdout(output)
            .stderr(Stdio::null())
            .spawn()?;
        STARTED.lock().unwrap().push(child.id());
        self.log.line(format!("started   {name} ({ip})"));
        let (front, ready) = (SocketAddr::new(ip, front), SocketAddr::new(ip, ready));
        Ok(Host { child, front, ready, name })
    }

    /// Starts hosts in three failure domains and waits until all are ready and know each other.
    pub fn start_hosts(&self, count: usize) -> io::Result<Vec<Host>> {
        let zones = ["z-a", "z-b", "z-c"];
        let hosts: io::Result<Vec<_>> =
            (0..count).map(|n| self.start_host(n + 1, zones[n % 3], count)).collect();
        let hosts = hosts?;
        let deadline = Instant::now() + Duration::from_secs(15);
        while !hosts.iter().all(Host::is_ready) {
            if Instant::now() > deadline {
                return Err(io::Error::other("the hosts are not ready"));
            }
            sleep_ms(50);
        }
        sleep_ms(1_500);
        self.log.line("ready     all hosts");
        Ok(hosts)
    }
}

impl Drop for Rig {
    fn drop(&mut self) {
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

/// A response as a caller saw it.
#[derive(Clone, Debug)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub complete: bool,
}

/// Reads a response; `None` if the channel ended before its head.
pub fn read_answer(stream: TcpStream) -> Option<Answer> {
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader).ok()??;
    let status = head.word(1).parse().ok()?;
    let mut body = Vec::new();
    let complete = read_body_into(&mut body, &mut reader, &head, false).is_ok();
    Some(Answer { status, head, body, complete })
}

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(case), Some(record)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: rig3 CASE RECORD");
        std::process::exit(2);
    };
    watch();
    let play = || {
        let rig = Rig::new(record)?;
        let broken = cases3::play(case, &rig);
        let verdict = match &broken {
            Ok(Some(why)) => format!("BROKEN    {why}"),
            Ok(None) => "HELD".to_owned(),
            Err(error) => format!("NOT RUN   {error}"),
        };
        rig.log.line(&verdict);
        println!("{verdict}");
        broken
    };
    // A panic ends the hosts, too.
    let played = std::panic::catch_unwind(std::panic::AssertUnwindSafe(play));
    let played = played.unwrap_or_else(|_| Err(io::Error::other("the play panicked")));
    std::process::exit(match played {
        Ok(Some(_)) => 1,
        Ok(None) => 0,
        Err(_) => 2,
    });
}
