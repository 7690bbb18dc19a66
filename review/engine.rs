//! An engine or backend server, one process each.
//!
//! It writes to standard output which requests it runs, and its entry to the store every heartbeat.

use std::collections::HashMap;
use std::io::{Read as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http::{Head, Reader};
use crate::store::HEARTBEAT;

struct Engine {
    id: String,
    service: String,
    zone: String,
    address: SocketAddr,
    store: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    draining: AtomicBool,
    /// Whether the engine is partitioned from the store; the lines `cut` and `heal` on standard input switch it.
    cut: AtomicBool,
    /// Answers have neither a length nor chunks.
    unframed: bool,
    /// Bytes of a plain answer.
    bytes: usize,
    /// Time between the two halves of a plain answer.
    half_ms: u64,
    events: u64,
    gap_ms: u64,
    /// Whether the shares below are in force; the lines `on` and `off` on standard input switch them.
    troubled: AtomicBool,
    /// Share of requests that fail with a 500.
    fail: f64,
    /// Share of streams that break off after a few events.
    break_off: f64,
    random: AtomicU64,
}

/// Runs an engine with options `NAME=VALUE` until the process is killed. The line `drain` on standard input makes it
/// report that it leaves.
pub fn run(options: &[String]) {
    let options: HashMap<&str, &str> = options.iter().filter_map(|o| o.split_once('=')).collect();
    let text = |name: &str, usual: &str| (*options.get(name).unwrap_or(&usual)).to_owned();
    let number = |name: &str, usual: f64| -> f64 {
        options.get(name).and_then(|value| value.parse().ok()).unwrap_or(usual)
    };
    let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
    let engine = Arc::new(Engine {
        id: text("id", "i-1"),
        service: text("service", "pool"),
        zone: text("zone", "z-a"),
        address: text("address", "").parse().expect("an address"),
        store: text("store", "").parse().expect("the store's address"),
        born,
        sequence: AtomicU64::new(1),
        draining: AtomicBool::new(false),
        cut: AtomicBool::new(false),
        unframed: text("framing", "framed") == "unframed",
        bytes: number("bytes", 800.0) as usize,
        half_ms: number("half_ms", 30.0) as u64,
        events: number("events", 40.0) as u64,
        gap_ms: number("gap_ms", 50.0) as u64,
        troubled: AtomicBool::new(false),
        fail: number("fail", 0.0),
        break_off: number("break_off", 0.0),
        random: AtomicU64::new((born as u64) << 20 | u64::from(std::process::id())),
    });
    let listener = TcpListener::bind(engine.address).expect("the address is free");
    let beating = Arc::clone(&engine);
    std::thread::spawn(move || {
        loop {
            let _ = beating.beat();
            std::thread::sleep(HEARTBEAT);
        }
    });
    let told = Arc::clone(&engine);
    std::thread::spawn(move || {
        let mut line = String::new();
        while std::io::stdin().read_line(&mut line).is_ok_and(|length| length > 0) {
            match line.trim() {
                "drain" => {
                    told.draining.store(true, Ordering::SeqCst);
                    let _ = told.beat();
                }
                "cut" => told.cut.store(true, Ordering::SeqCst),
                "heal" => told.cut.store(false, Ordering::SeqCst),
                word => told.troubled.store(word == "on", Ordering::SeqCst),
            }
            line.clear();
        }
        // The driver has ended.
        std::process::exit(0);
    });
    for socket in listener.incoming().flatten() {
        let engine = Arc::clone(&engine);
        std::thread::spawn(move || engine.serve(socket));
    }
}

/// The body of the plain answer to a request.
pub fn plain_body(request: &str, length: usize) -> Vec<u8> {
    let pattern = format!("answer to {request}; ");
    let mut body: Vec<u8> = pattern.bytes().cycle().take(length.saturating_sub(5)).collect();
    body.extend_from_slice(b"\nEND\n");
    body
}

/// One event of the stream for a request.
pub fn event(request: &str, number: u64) -> String {
    format!("id: {number}\ndata: {request} piece {number}\n\n")
}

fn say(text: &str) {
    println!("{text}");
    let _ = std::io::stdout().flush();
}

impl Engine {
    fn random(&self) -> f64 {
        let mut x = self.random.fetch_add(0x9E37_79B9_7F4A_7C15, Ordering::Relaxed);
        x = (x ^ (x >> 30)).wrapping_mul(0xBF58_476D_1CE4_E5B9);
        x = (x ^ (x >> 27)).wrapping_mul(0x94D0_49BB_1331_11EB);
        ((x ^ (x >> 31)) >> 11) as f64 / (1u64 << 53) as f64
    }

    fn meets(&self, share: f64) -> bool {
        self.troubled.load(Ordering::SeqCst) && self.random() < share
    }

    fn beat(&self) -> std::io::Result<()> {
        if self.cut.load(Ordering::SeqCst) {
            return Ok(());
        }
        let state = if self.draining.load(Ordering::SeqCst) { "draining" } else { "ready" };
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst);
        let body = format!(
            "{{\"service\":\"{}\",\"addr\":\"{}\",\"zone\":\"{}\",\"version\":\"v1\",\"slots\":24,\
             \"state\":\"{state}\",\"cold_left_ms\":0,\"seq\":{sequence},\"born\":{}}}",
            self.service, self.address, self.zone, self.born
        );
        let mut socket = TcpStream::connect_timeout(&self.store, Duration::from_secs(1))?;
        let head = format!(
            "POST /standin/beat?key={} HTTP/1.1\r\nHost: store\r\nContent-Length: {}\r\n\
             Connection: close\r\n\r\n",
            self.id,
            body.len()
        );
        socket.write_all((head + &body).as_bytes())?;
        socket.set_read_timeout(Some(Duration::from_secs(1)))?;
        let mut answer = [0; 64];
        socket.read(&mut answer).map(|_| ())
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut reader = Reader::new(socket);
        while let Ok(Some(head)) = reader.head() {
            let mut body = Vec::new();
            if reader.body(&head, false, &mut body).is_err() {
                return;
            }
            if self.respond(&mut reader, &head).is_none() {
                return;
            }
        }
    }

    /// Answers one request; `None` if the connection ends with it.
    fn respond(&self, reader: &mut Reader, head: &Head) -> Option<()> {
        let path = head.word(1).to_owned();
        let draining = self.draining.load(Ordering::SeqCst);
        if path == "/healthz" {
            let status = if draining { "503 Service Unavailable" } else { "200 OK" };
            return self.simple(reader, status, "", b"");
        }
        if path == "/api/report" {
            let state = if draining { "draining" } else { "ready" };
            let body = format!(
                "{{\"stage\":\"both\",\"busy\":false,\"seq\":0,\"queued\":0,\"running\":0,\"kv_used\":0,\
                 \"kv_total\":34241,\"handles\":0,\"state\":\"{state}\",\"runs\":[],\"born\":{}}}",
                self.born
            );
            return self.simple(
                reader,
                "200 OK",
                "Content-Type: application/json\r\n",
                body.as_bytes(),
            );
        }
        if path.starts_with("/api/") {
            return self.simple(reader, "404 Not Found", "", b"");
        }
        let Some(request) = head.get("nutmeghead-request-id").map(str::to_owned) else {
            return self.simple(reader, "400 Bad Request", "Nutmeghead-Not-Run: 1\r\n", b"");
        };
        let echo = format!("Nutmeghead-Request-Id: {request}\r\n");
        let expected = head.get("nutmeghead-expect-instance").unwrap_or(&self.id);
        if expected != self.id {
            let headers = format!("{echo}Nutmeghead-Instance: {}\r\n", self.id);
            return self.simple(reader, "421 Misdirected Request", &headers, b"");
        }
        let after = head.get("last-event-id").unwrap_or("0").to_owned();
        say(&format!("run {request} at {} after {after}", self.id));
        let stamp = format!("{echo}Nutmeghead-Stamp: 3e1b.07.{}.{request}\r\n", self.id);
        if self.meets(self.fail) {
            say(&format!("failed {request} at {}", self.id));
            return self.simple(reader, "500 Internal Server Error", &stamp, b"failed\n");
        }
        match head.get("nutmeghead-tokens") {
            Some(_) => self.stream(reader, &request, &stamp, after.parse().unwrap_or(0)),
            None => self.plain(reader, &request, &stamp),
        }
    }

    fn simple(&self, reader: &mut Reader, status: &str, headers: &str, body: &[u8]) -> Option<()> {
        let head = format!("HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n", body.len());
        reader.socket.write_all(&[head.as_bytes(), body].concat()).ok()
    }

    /// A plain answer in two halves, as the work proceeds.
    fn plain(&self, reader: &mut Reader, request: &str, stamp: &str) -> Option<()> {
        let body = plain_body(request, self.bytes);
        let framing = match self.unframed {
            true => "Connection: close\r\n".to_owned(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!("HTTP/1.1 200 OK\r\n{stamp}{framing}\r\n");
        let (first, second) = body.split_at(body.len() / 2);
        reader.socket.write_all(&[head.as_bytes(), first].concat()).ok()?;
        std::thread::sleep(Duration::from_millis(self.half_ms));
        reader.socket.write_all(second).ok()?;
        say(&format!("done {request} at {} {} bytes", self.id, body.len()));
        (!self.unframed).then_some(())
    }

    fn stream(&self, reader: &mut Reader, request: &str, stamp: &str, after: u64) -> Option<()> {
        let framing = match self.unframed {
            true => "Connection: close\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        let head =
            format!("HTTP/1.1 200 OK\r\n{stamp}Content-Type: text/event-stream\r\n{framing}\r\n");
        let breaks = self.meets(self.break_off);
        reader.socket.write_all(head.as_bytes()).ok()?;
        for number in after + 1..=self.events {
            if number > after + 1 {
                std::thread::sleep(Duration::from_millis(self.gap_ms));
            }
            if breaks && number == after + 2 {
                say(&format!("broke off {request} at {}", self.id));
                return None;
            }
            let event = event(request, number);
            let part = match self.unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            if reader.socket.write_all(part.as_bytes()).is_err() {
                say(&format!("cancelled {request} at {} after {}", self.id, number - 1));
                return None;
            }
        }
        if !self.unframed {
            reader.socket.write_all(b"0\r\n\r\n").ok()?;
        }
        say(&format!("done {request} at {} {} events", self.id, self.events));
        (!self.unframed).then_some(())
    }
}
