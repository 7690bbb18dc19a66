//! One generation: how far it is, and who reads it.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::task::Waker;

use serde_json::json;
use uuid::Uuid;

/// Digits of the largest number.
const MAX_DIGITS: usize = 20;

/// Text before and after the number of a token in its event.
#[derive(Clone, Debug)]
pub(super) struct Label {
    pub(super) generation: Uuid,
    pub(super) request_id: String,
    pub(super) model: String,
    head: String,
}

impl Label {
    pub(super) fn new(generation: Uuid, request_id: String, model: String) -> Self {
        let [request, name] = [&request_id, &model].map(|text| json!(text));
        let head = format!(
            "data: {{\"id\":\"{generation}\",\"object\":\"text_completion\",\"request_id\":{request},\
             \"model\":{name},\"choices\":[{{\"index\":0,\"text\":\" t"
        );
        Self { generation, request_id, model, head }
    }

    /// Appends the event of one token.
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
    /// The reason in the last token's event; none if there is no last token.
    pub(super) fn finish_reason(self) -> Option<&'static str> {
        match self {
            Self::Stop => Some("stop"),
            Self::Length => Some("length"),
            Self::Cancelled | Self::Reclaimed => None,
        }
    }

    /// The type in the closing error event.
    pub(super) fn error(self) -> &'static str {
        match self {
            Self::Cancelled => "cancelled",
            Self::Reclaimed => "reclaimed",
            Self::Stop | Self::Length => "internal",
        }
    }
}

/// How far a generation is.
#[derive(Debug, Default)]
pub(super) struct Progress {
    pub(super) produced: u32,
    pub(super) end: Option<End>,
    pub(super) ended_us: u64,
    pub(super) readers: usize,
    /// When the last reader left, on the engine's clock.
    pub(super) left_us: u64,
    wakers: Vec<Waker>,
}

impl Progress {
    /// Registers a task to be woken at the next change.
    pub(super) fn wake_later(&mut self, waker: &Waker) {
        if !self.wakers.iter().any(|known| known.will_wake(waker)) {
            self.wakers.push(waker.clone());
        }
    }
}

/// One generation.
#[derive(Debug)]
pub(super) struct Generation {
    pub(super) key: u64,
    pub(super) label: Label,
    /// Whether the output is cut by `max_tokens`.
    pub(super) cut: bool,
    progress: Mutex<Progress>,
}

impl Generation {
    pub(super) fn new(key: u64, label: Label, cut: bool) -> Self {
        Self { key, label, cut, progress: Mutex::default() }
    }

    pub(super) fn lock(&self) -> MutexGuard<'_, Progress> {
        self.progress.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes progress, and the end unless there was one, and wakes the readers. Both are seen at once, so that the last
    /// token's event carries the finish reason.
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
