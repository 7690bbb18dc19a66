//! The platform's store: keyed topics with newest records, long-poll reads and appends.

use std::collections::{BTreeMap, HashMap};
use std::io::Write as _;
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant};

use crate::http::{Head, Reader};

/// Heartbeat intervals of silence after which an engine's entry is removed.
const SILENT_INTERVALS: u32 = 3;

/// Time between two heartbeats of an engine.
pub const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// A response takes this long, as on the installation's sheet.
const ANSWER_TIME: Duration = Duration::from_millis(4);

/// The answer of a store that is away.
const UNAVAILABLE: (&str, &str, Vec<u8>) =
    ("503 Service Unavailable", "application/json", Vec::new());

#[derive(Default)]
struct State {
    topics: HashMap<String, Vec<(String, Vec<u8>)>>,
    /// When each engine wrote its entry last.
    beats: HashMap<String, Instant>,
    /// How often the store came back from an older copy.
    era: u64,
    /// The copy.
    copy: HashMap<String, Vec<(String, Vec<u8>)>>,
    /// Whether the store is away: it answers 503.
    away: bool,
}

impl State {
    fn put(&mut self, topic: &str, key: &str, value: &[u8]) {
        let records = self.topics.entry(topic.to_owned()).or_default();
        records.push((key.to_owned(), value.to_vec()));
    }

    fn newest(&self, topic: &str) -> BTreeMap<String, (usize, Vec<u8>)> {
        let mut newest = BTreeMap::new();
        for (offset, (key, value)) in self.topics.get(topic).into_iter().flatten().enumerate() {
            match value.is_empty() {
                true => newest.remove(key),
                false => newest.insert(key.clone(), (offset, value.clone())),
            };
        }
        newest
    }

    fn end(&self, topic: &str) -> usize {
        self.topics.get(topic).map_or(0, Vec::len)
    }
}

#[derive(Clone, Default)]
pub struct Store(Arc<(Mutex<State>, Condvar)>);

impl Store {
    /// Starts the store at `address`.
    pub fn start(address: SocketAddr) -> std::io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let serving = store.clone();
        std::thread::spawn(move || {
            for socket in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(socket));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(100));
                expiring.expire();
            }
        });
        Ok(store)
    }

    /// Sets the value of a key; an empty value removes it.
    pub fn put(&self, topic: &str, key: &str, value: &[u8]) {
        self.0.0.lock().unwrap().put(topic, key, value);
        self.0.1.notify_all();
    }

    /// The keys of a topic that have a value.
    pub fn keys(&self, topic: &str) -> Vec<String> {
        self.0.0.lock().unwrap().newest(topic).into_keys().collect()
    }

    /// Takes the copy from which the store comes back.
    pub fn copy(&self) {
        let mut state = self.0.0.lock().unwrap();
        state.copy = state.topics.clone();
    }

    /// The store goes away.
    pub fn leave(&self) {
        self.0.0.lock().unwrap().away = true;
        self.0.1.notify_all();
    }

    /// The store comes back from its copy.
    pub fn restore(&self) {
        let mut state = self.0.0.lock().unwrap();
        state.topics = state.copy.clone();
        state.era += 1;
        state.away = false;
        // Engines write their entries again.
        let engines: Vec<String> = state.newest("keyed.servers").into_keys().collect();
        state.beats = engines.into_iter().map(|key| (key, Instant::now())).collect();
        drop(state);
        self.0.1.notify_all();
    }

    fn expire(&self) {
        let mut state = self.0.0.lock().unwrap();
        if state.away {
            return;
        }
        let silent: Vec<String> = state
            .beats
            .iter()
            .filter(|(_, at)| at.elapsed() > HEARTBEAT * SILENT_INTERVALS)
            .map(|(key, _)| key.clone())
            .collect();
        for key in &silent {
            state.beats.remove(key);
            state.put("keyed.servers", key, b"");
        }
        drop(state);
        if !silent.is_empty() {
            self.0.1.notify_all();
        }
    }

    fn serve(&self, socket: TcpStream) {
        let _ = socket.set_nodelay(true);
        let mut reader = Reader::new(socket);
        while let Ok(Some(head)) = reader.head() {
            let mut body = Vec::new();
            if reader.body(&head, false, &mut body).is_err() {
                return;
            }
            let mut answer = match self.is_away() {
                true => UNAVAILABLE,
                false => self.answer(&head, &body),
            };
            std::thread::sleep(ANSWER_TIME);
            if self.is_away() {
                answer = UNAVAILABLE;
            }
            let (status, kind, answer) = answer;
            let era = self.0.0.lock().unwrap().era;
            let id = head.get("nutmeghead-request-id").map(str::to_owned);
            let id = id.map_or(String::new(), |id| format!("Nutmeghead-Request-Id: {id}\r\n"));
            let head = format!(
                "HTTP/1.1 {status}\r\n{id}Store-Era: {era}\r\nContent-Type: {kind}\r\nContent-Length: {}\r\n\r\n",
                answer.len()
            );
            let written = reader.socket.write_all(&[head.as_bytes(), &answer].concat());
            if written.is_err() {
                return;
            }
        }
    }

    fn is_away(&self) -> bool {
        self.0.0.lock().unwrap().away
    }

    fn answer(&self, head: &Head, body: &[u8]) -> (&'static str, &'static str, Vec<u8>) {
        const JSON: &str = "application/json";
        let target = head.word(1).to_owned();
        let (path, query) = target.split_once('?').unwrap_or((&target, ""));
        let value = |name: &str| {
            let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.clone().find(|(key, _)| *key == name).map_or("", |(_, value)| value).to_owned()
        };
        let topic = value("topic");
        match path {
            "/api/log-newest" => {
                let state = self.0.0.lock().unwrap();
                let items: Vec<String> = state
                    .newest(&topic)
                    .into_iter()
                    .map(|(key, (offset, value))| {
                        let value = base64(&value);
                        format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"offset\":{offset}}}")
                    })
                    .collect();
                let text = format!(
                    "{{\"items\":[{}],\"has_more\":false,\"end\":{}}}",
                    items.join(","),
                    state.end(&topic)
                );
                ("200 OK", JSON, text.into_bytes())
            }
            "/api/log-read" => {
                let from: usize = value("from").parse().unwrap_or(0);
                let wait = Duration::from_millis(value("wait_ms").parse().unwrap_or(0));
                match self.read(&topic, from, wait) {
                    Some(answer) => ("200 OK", "application/octet-stream", answer),
                    None => ("410 Gone", JSON, b"{\"first\":0}".to_vec()),
                }
            }
            "/api/log-append" => {
                let offset = self.append(&topic, body);
                let text = format!("{{\"offset\":{offset},\"end\":{}}}", offset + 1);
                ("200 OK", JSON, text.into_bytes())
            }
            // How the stand-in engines write their entries.
            "/standin/beat" => {
                let key = value("key");
                let mut state = self.0.0.lock().unwrap();
                state.put("keyed.servers", &key, body);
                state.beats.insert(key, Instant::now());
                drop(state);
                self.0.1.notify_all();
                ("200 OK", JSON, b"{}".to_vec())
            }
            _ => ("404 Not Found", JSON, b"{}".to_vec()),
        }
    }

    /// The records from an offset on; `None` if the store does not have that offset.
    fn read(&self, topic: &str, from: usize, wait: Duration) -> Option<Vec<u8>> {
        let deadline = Instant::now() + wait;
        let mut state = self.0.0.lock().unwrap();
        while state.end(topic) == from && !state.away && Instant::now() < deadline {
            let left = deadline.saturating_duration_since(Instant::now());
            state = self.0.1.wait_timeout(state, left).unwrap().0;
        }
        if state.end(topic) < from {
            return None;
        }
        let mut answer = (state.end(topic) as u64).to_be_bytes().to_vec();
        answer.extend_from_slice(&0u64.to_be_bytes());
        for (key, value) in state.topics.get(topic).into_iter().flatten().skip(from) {
            answer.extend_from_slice(&((1 + key.len() + value.len()) as u32).to_be_bytes());
            answer.push(key.len() as u8);
            answer.extend_from_slice(key.as_bytes());
            answer.extend_from_slice(value);
        }
        Some(answer)
    }

    fn append(&self, topic: &str, body: &[u8]) -> usize {
        let mut offset = 0;
        let mut rest = body;
        while rest.len() > 4 {
            let length = u32::from_be_bytes([rest[0], rest[1], rest[2], rest[3]]) as usize;
            if rest.len() < 4 + length || length == 0 {
                break;
            }
            let record = &rest[4..4 + length];
            rest = &rest[4 + length..];
            let key_end = 1 + usize::from(record[0]);
            if key_end > record.len() {
                break;
            }
            let key = String::from_utf8_lossy(&record[1..key_end]).into_owned();
            offset = self.0.0.lock().unwrap().end(topic);
            self.put(topic, &key, &record[key_end..]);
        }
        offset
    }
}

fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for part in bytes.chunks(3) {
        let mut group = [0u8; 3];
        group[..part.len()].copy_from_slice(part);
        let number = u32::from_be_bytes([0, group[0], group[1], group[2]]);
        for index in 0..4 {
            match index <= part.len() {
                true => text.push(DIGITS[(number >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}
