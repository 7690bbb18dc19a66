//! The events of a generation as the body of a response.

use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame};
use serde_json::json;

use super::core::Core;
use super::generation::{End, Generation, Identity};
use crate::web::Hangup;

/// Largest number of tokens in a frame. Bounds the memory of a reader that is far behind.
const MAX_FRAME_TOKENS: u32 = 256;

/// Approximate size of an event, in bytes, for the capacity of the buffer.
const EVENT_BYTES: usize = 240;

/// A reader of a generation. The linger time of the generation starts when its last reader is dropped.
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

    /// Waits for the end of the generation and returns the number of tokens produced.
    pub(super) async fn wait_for_end(&self) -> (u32, End) {
        std::future::poll_fn(|context| {
            let mut progress = self.generation.lock();
            if let Some(end) = progress.end {
                return Poll::Ready((progress.produced, end));
            }
            progress.register(context.waker());
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
        progress.unread_since_us = now_us;
    }
}

/// Faults of one response.
#[derive(Clone, Debug, Default)]
pub(super) struct Fault {
    /// Whether each event is sent twice.
    pub(super) doubled: bool,
    /// Number of tokens after which the connection breaks.
    pub(super) cut_after: Option<u32>,
    /// Identity of another generation, sent in place of the own one.
    pub(super) crossed: Option<Identity>,
}

/// Server-sent events, one per token.
#[derive(Debug)]
pub struct Events {
    reader: Reader,
    fault: Fault,
    next: u32,
    sent: u32,
    flushed: bool,
    closed: bool,
}

impl Events {
    pub(super) fn new(reader: Reader, next: u32, fault: Fault) -> Self {
        Self { reader, fault, next, sent: 0, flushed: false, closed: false }
    }

    /// Breaks the connection at the second call, so that the frames before it are sent first.
    fn break_connection(
        &mut self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Hangup>>> {
        if self.flushed {
            return Poll::Ready(Some(Err(Hangup)));
        }
        self.flushed = true;
        context.waker().wake_by_ref();
        Poll::Pending
    }

    fn write(&mut self, produced: u32, end: Option<End>) -> Vec<u8> {
        let end_index = produced.min(self.next.saturating_add(MAX_FRAME_TOKENS)).max(self.next);
        let copies = if self.fault.doubled { 2 } else { 1 };
        let count = (end_index - self.next) as usize;
        let mut output = Vec::with_capacity(EVENT_BYTES * (copies * count + 1));
        let identity = self.fault.crossed.as_ref().unwrap_or(&self.reader.generation.identity);
        let stamp = self.reader.core.stamp();
        for index in self.next..end_index {
            let last = index + 1 == produced;
            let finish = end.filter(|_| last).and_then(End::finish_reason);
            for _ in 0..copies {
                identity.write(&mut output, index, stamp, finish);
            }
        }
        self.sent += end_index - self.next;
        self.next = end_index;
        if let Some(end) = end.filter(|_| end_index >= produced) {
            write_end(&mut output, end);
            self.closed = true;
        }
        output
    }
}

fn write_end(output: &mut Vec<u8>, end: End) {
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
        if events.fault.cut_after.is_some_and(|limit| events.sent >= limit) {
            return events.break_connection(context);
        }
        let (mut produced, end) = {
            let mut progress = events.reader.generation.lock();
            if progress.produced <= events.next && progress.end.is_none() {
                progress.register(context.waker());
                return Poll::Pending;
            }
            (progress.produced, progress.end)
        };
        if let Some(limit) = events.fault.cut_after {
            produced = produced.min(events.next + (limit - events.sent));
        }
        let end = end.filter(|_| events.fault.cut_after.is_none());
        let output = events.write(produced, end);
        Poll::Ready(Some(Ok(Frame::data(output.into()))))
    }
}
