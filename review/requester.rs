//! Requesters: channels to an entry host, kept for several requests.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::Reader;

/// Key of the requesters.
pub const KEY: &str = "xd9dnn2ctnfzs989anu6";

/// What a requester got for one request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub stamped: bool,
    pub body: Vec<u8>,
    /// Whether the answer arrived completely, by the protocol.
    pub complete: bool,
    pub closes: bool,
    /// When the last byte of the request was sent, and when the answer ended.
    pub sent: Option<Instant>,
    pub ended: Option<Instant>,
}

impl Answer {
    /// The numbers of the events of a stream.
    pub fn events(&self) -> Vec<u64> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let events = text.split("\n\n").filter_map(|event| event.strip_prefix("id: "));
        events.filter_map(|event| event.split('\n').next()?.parse().ok()).collect()
    }

    pub fn text(&self) -> String {
        format!(
            "status {} stamp {} body {} bytes {}",
            self.status,
            if self.stamped { "engine's" } else { "none" },
            self.body.len(),
            if self.complete { "complete" } else { "broken off" }
        )
    }
}

/// A request.
#[derive(Clone, Debug)]
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub id: &'a str,
    pub deadline_ms: u64,
    pub stream: bool,
    pub key: &'a str,
}

pub struct Channel(Reader);

impl Channel {
    pub fn open(address: SocketAddr) -> std::io::Result<Self> {
        let socket = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        socket.set_nodelay(true)?;
        Ok(Self(Reader::new(socket)))
    }

    pub fn send(&mut self, request: &Request) -> Answer {
        let Request { method, path, id, deadline_ms, stream, key } = request;
        let body = if *method == "POST" { "x".repeat(600) } else { String::new() };
        let prompt = match stream {
            true => format!(
                "Nutmeghead-Model: m\r\nNutmeghead-Tokens: 300,160\r\n\
                 Nutmeghead-Prefix-Hash: 5c1e07a2:80,{:08x}:220\r\n",
                id.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()))
            ),
            false => String::new(),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: ficu95.example\r\nNutmeghead-Request-Id: {id}\r\n\
             Nutmeghead-Deadline-Ms: {deadline_ms}\r\nAuthorization: Bearer {key}\r\n{prompt}\
             Content-Length: {}\r\n\r\n{body}",
            body.len()
        );
        let mut answer = Answer::default();
        let limit = Duration::from_millis(deadline_ms + 500);
        let _ = self.0.socket.set_read_timeout(Some(limit));
        if self.0.socket.write_all(text.as_bytes()).is_err() {
            return answer;
        }
        answer.sent = Some(Instant::now());
        let Ok(Some(head)) = self.0.head() else {
            answer.ended = Some(Instant::now());
            return answer;
        };
        answer.status = head.word(1).parse().unwrap_or(0);
        answer.stamped = head.get("nutmeghead-stamp").is_some();
        answer.closes = head.get("connection").is_some_and(|value| value.contains("close"));
        answer.complete = self.0.body(&head, true, &mut answer.body).is_ok();
        answer.ended = Some(Instant::now());
        answer
    }
}
