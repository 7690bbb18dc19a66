//! The events of a generation as the body of an answer.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::json;

use super::core::Core;
use super::generation::{End, Generation, Label};
use crate::web::Hangup;

/// Tokens of one frame at most, which bounds the memory of a reader that catches up.
const FRAME_TOKENS: u32 = 256;

/// Bytes of an event, roughly.
const EVENT_BYTES: usize = 240;

/// A reader of a generation. While it exists, the generation does not linger.
#[derive(Debug)]
pub(super) struct Reader {
    core: Arc<Core>,
    pub(super) generation: Arc<Generation>,
}

impl Reader {
    pub(super) fn new(core: Arc<Core>, generation: Arc<Generation>) -> Self {
        generation.lock().readers += 1;
        Self { core, generation }
    }

    /// Waits for the end and returns the tokens produced.
    pub(super) async fn ended(&self) -> (u32, End) {
        std::future::poll_fn(|context| {
            let mut progress = self.generation.lock();
            if let Some(end) = progress.end {
                return Poll::Ready((progress.produced, end));
            }
            progress.wake_later(context.waker());
            Poll::Pending
        })
        .await
    }
}

impl Drop for Reader {
    fn drop(&mut self) {
        let now_us = self.core.now_us();
        let mut progress = self.generation.lock();
        progress.readers -= 1;
        progress.left_us = now_us;
    }
}

/// Faults of one stream.
#[derive(Clone, Debug, Default)]
pub(super) struct Flaw {
    /// Whether each event is sent twice.
    pub(super) doubled: bool,
    /// Tokens after which the connection breaks.
    pub(super) cut_after: Option<u32>,
    /// Another generation's label, sent in place of the own one.
    pub(super) crossed: Option<Label>,
}

/// Server-sent events, one a token.
#[derive(Debug)]
pub struct Events {
    reader: Reader,
    flaw: Flaw,
    next: u32,
    sent: u32,
    flushed: bool,
    closed: bool,
}

impl Events {
    pub(super) fn new(reader: Reader, next: u32, flaw: Flaw) -> Self {
        Self { reader, flaw, next, sent: 0, flushed: false, closed: false }
    }

    /// Breaks the connection, at the second call so that what was sent before can leave.
    fn cut(&mut self, context: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        if self.flushed {
            return Poll::Ready(Some(Err(Hangup)));
        }
        self.flushed = true;
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn write(&mut self, produced: u32, end: Option<End>) -> Vec<u8> {
        let until = produced.min(self.next.saturating_add(FRAME_TOKENS)).max(self.next);
        let copies = if self.flaw.doubled { 2 } else { 1 };
        let count = (until - self.next) as usize;
        let mut output = Vec::with_capacity(EVENT_BYTES * (copies * count + 1));
        let label = self.flaw.crossed.as_ref().unwrap_or(&self.reader.generation.label);
        let stamp = self.reader.core.stamp();
        for index in self.next..until {
            let last = index + 1 == produced;
            let finish = end.filter(|_| last).and_then(End::finish_reason);
            for _ in 0..copies {
                label.write(&mut output, index, stamp, finish);
            }
        }
        self.sent += until - self.next;
        self.next = until;
        if let Some(end) = end.filter(|_| until >= produced) {
            close(&mut output, end);
            self.closed = true;
        }
        output
    }
}

fn close(output: &mut Vec<u8>, end: End) {
    if end.finish_reason().is_some() {
        output.extend_from_slice(b"data: [DONE]\n\n");
        return;
    }
    let error = json!({ "error": { "type": end.error() } });
    output.extend_from_slice(format!("event: error\ndata: {error}\n\n").as_bytes());
}

impl Body for Events {
    type Data = Bytes;
    type Error = Hangup;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        let events = self.as_mut().get_mut();
        if events.closed {
            return Poll::Ready(None);
        }
        if events.flaw.cut_after.is_some_and(|limit| events.sent >= limit) {
            return events.cut(context);
        }
        let (mut produced, end) = {
            let mut progress = events.reader.generation.lock();
            if progress.produced <= events.next && progress.end.is_none() {
                progress.wake_later(context.waker());
                return Poll::Pending;
            }
            (progress.produced, progress.end)
        };
        if let Some(limit) = events.flaw.cut_after {
            produced = produced.min(events.next + (limit - events.sent));
        }
        let end = end.filter(|_| events.flaw.cut_after.is_none());
        let output = events.write(produced, end);
        Poll::Ready(Some(Ok(Frame::data(output.into()))))
    }
}
