//! A generation: its identity, its progress and its readers.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use serde_json::json;
use uuid::Uuid;

/// Decimal digits of the largest `u64`.
const MAX_DIGITS: usize = 20;

/// The identity of a generation, as its responses and events state it.
#[derive(Clone, Debug)]
pub(super) struct Identity {
    pub(super) generation: Uuid,
    pub(super) request_id: String,
    pub(super) model: String,
    /// Start of the data of each event, up to the index of the token.
    head: String,
}

impl Identity {
    pub(super) fn new(generation: Uuid, request_id: String, model: String) -> Self {
        let [request, name] = [&request_id, &model].map(|text| json!(text));
        let head = format!(
            "data: {{\"id\":\"{generation}\",\"object\":\"text_completion\",\"request_id\":{request},\
             \"model\":{name},\"choices\":[{{\"index\":0,\"text\":\" t"
        );
        Self { generation, request_id, model, head }
    }

    /// Appends the event of a token to `output`.
    pub(super) fn write(
        &self,
        output: &mut Vec<u8>,
        index: u32,
        stamp: Option<u64>,
        finish: Option<&str>,
    ) {
        let mut digits = [0; MAX_DIGITS];
        let number = decimal(index.into(), &mut digits);
        output.extend_from_slice(b"id: ");
        output.extend_from_slice(number);
        output.push(b'\n');
        output.extend_from_slice(self.head.as_bytes());
        output.extend_from_slice(number);
        if let Some(at_us) = stamp {
            output.push(b'@');
            output.extend_from_slice(decimal(at_us, &mut digits));
        }
        match finish {
            None => output.extend_from_slice(b"\",\"finish_reason\":null}]}\n\n"),
            Some(reason) => {
                output.extend_from_slice(b"\",\"finish_reason\":\"");
                output.extend_from_slice(reason.as_bytes());
                output.extend_from_slice(b"\"}]}\n\n");
            }
        }
    }
}

fn decimal(mut number: u64, digits: &mut [u8; MAX_DIGITS]) -> &[u8] {
    let mut start = digits.len();
    loop {
        start -= 1;
        digits[start] = b'0' + (number % 10) as u8;
        number /= 10;
        if number == 0 {
            return &digits[start..];
        }
    }
}

/// How a generation ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum End {
    /// All tokens were produced.
    Stop,
    /// `max_tokens` were produced.
    Length,
    /// It was cancelled.
    Cancelled,
    /// The engine was reclaimed.
    Reclaimed,
}

impl End {
    /// The finish reason in the event of the last token; none if the generation ended early.
    pub(super) fn finish_reason(self) -> Option<&'static str> {
        match self {
            Self::Stop => Some("stop"),
            Self::Length => Some("length"),
            Self::Cancelled | Self::Reclaimed => None,
        }
    }

    /// The type in the error event that ends the stream.
    pub(super) fn error(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Reclaimed => "reclaimed",
            Self::Stop | Self::Length => "internal",
        }
    }
}

/// The progress of a generation.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: Option<End>,
    pub(super) ended_us: u64,
    pub(super) readers: usize,
    /// When the last reader was dropped, on the engine's clock.
    pub(super) unread_since_us: u64,
    wakers: Vec<Waker>,
}

impl Progress {
    /// Registers a task to be woken at the next change.
    pub(super) fn register(&mut self, waker: &Waker) {
        if !self.wakers.iter().any(|known| known.will_wake(waker)) {
            self.wakers.push(waker.clone());
        }
    }
}

/// A generation.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) key: u64,
    pub(super) identity: Identity,
    /// Whether `max_tokens` shortens the output.
    pub(super) truncated: bool,
    progress: Mutex<Progress>,
}

impl Generation {
    pub(super) fn new(key: u64, identity: Identity, truncated: bool) -> Self {
        Self { key, identity, truncated, progress: Mutex::default() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records progress, and the end unless the generation has ended before, and wakes the readers. Readers see both at
    /// the same time, so that the event of the last token carries the finish reason.
    pub(super) fn advance(&self, now_us: u64, produced: u32, end: Option<End>) {
        let wakers = {
            let mut progress = self.lock();
            progress.produced = progress.produced.max(produced);
            if progress.end.is_none() && end.is_some() {
                progress.end = end;
                progress.ended_us = now_us;
            }
            std::mem::take(&mut progress.wakers)
        };
        wakers.into_iter().for_each(Waker::wake);
    }
}
