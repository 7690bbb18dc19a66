//! Queue of a stream for its caller, bounded in bytes. It includes what the connection has taken and not yet written.

use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll, Waker};
use std::time::Duration;

use bytes::Bytes;
use tokio::sync::Notify;
use tokio::time::Instant;

use super::body::Truncated;
use super::memory::{Account, Connection, Hold};

#[cfg(test)]
mod tests;

/// Bytes that are queued for a slow caller before reading from the engine pauses: the events of most streams, so that
/// engines, which cut off responses that stay unread for some seconds, finish them.
const MAX_QUEUED_BYTES: usize = 64 << 10;

/// Largest part of a stream that is queued as a whole. A caller makes progress when a part has been written.
const MAX_PART_BYTES: usize = 4 << 10;

/// Time after the deadline of a caller's progress until it is cut off: after the process was suspended, the connection may
/// be about to write.
const STALL_GRACE: Duration = Duration::from_millis(250);

/// Why nothing more can be sent to a caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Closed {
    /// It closed the connection.
    Left,
    /// It has read nothing for too long.
    Stalled,
}

#[derive(Debug)]
struct State {
    /// Parts that the connection has not taken yet.
    parts: VecDeque<Bytes>,
    /// Bytes of these and of those that the connection has taken and not written.
    unwritten: usize,
    /// When a part was written, or queued while there was no other.
    progress_at: Instant,
    /// How the stream ends after the queued parts.
    end: Option<Result<(), Truncated>>,
    has_receiver: bool,
    waker: Option<Waker>,
}

#[derive(Debug)]
struct Shared {
    state: Mutex<State>,
    /// Signals progress and the end of the receiver.
    changed: Notify,
}

impl Shared {
    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A part of a stream, until it is written.
struct Part {
    bytes: Bytes,
    shared: Arc<Shared>,
    _hold: Hold,
}

impl AsRef<[u8]> for Part {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl Drop for Part {
    fn drop(&mut self) {
        let mut state = self.shared.state();
        state.unwritten -= self.bytes.len();
        state.progress_at = Instant::now();
        drop(state);
        self.shared.changed.notify_waiters();
    }
}

/// The side that queues parts.
pub(crate) struct Sender {
    shared: Arc<Shared>,
    account: Arc<Account>,
    connection: Arc<Connection>,
    max_stall: Duration,
}

/// The side that the connection reads.
#[derive(Debug)]
pub(crate) struct Receiver(Arc<Shared>);

/// Returns the two sides of a queue for a caller of `connection`, which is cut off if it reads nothing for `max_stall`.
pub(crate) fn new(
    account: &Arc<Account>,
    connection: &Arc<Connection>,
    max_stall: Duration,
) -> (Sender, Receiver) {
    let state = State {
        parts: VecDeque::new(),
        unwritten: 0,
        progress_at: Instant::now(),
        end: None,
        has_receiver: true,
        waker: None,
    };
    let shared = Arc::new(Shared { state: Mutex::new(state), changed: Notify::new() });
    let sender = Sender {
        shared: Arc::clone(&shared),
        account: Arc::clone(account),
        connection: Arc::clone(connection),
        max_stall,
    };
    (sender, Receiver(shared))
}

impl Sender {
    /// Queues `bytes`, and waits while there is no room for them.
    pub(crate) async fn send(&self, bytes: &[u8]) -> Result<(), Closed> {
        for part in bytes.chunks(MAX_PART_BYTES) {
            self.wait_for_room(part.len()).await?;
            self.queue(part);
        }
        Ok(())
    }

    /// Waits until the caller leaves or has read nothing for too long.
    pub(crate) async fn closed(&self) -> Closed {
        let mut overdue = false;
        loop {
            // A signal after this line is not missed.
            let changed = self.shared.changed.notified();
            let (has_receiver, stalls_at) = {
                let state = self.shared.state();
                let stalls_at = (state.unwritten > 0).then(|| state.progress_at + self.max_stall);
                (state.has_receiver, stalls_at)
            };
            if !has_receiver {
                return Closed::Left;
            }
            let is_late = stalls_at.is_some_and(|stalls_at| Instant::now() >= stalls_at);
            if is_late && overdue {
                return Closed::Stalled;
            }
            overdue = is_late;
            let check_at = if is_late { Some(Instant::now() + STALL_GRACE) } else { stalls_at };
            tokio::select! {
                () = changed => {}
                () = sleep_until(check_at) => {}
            }
        }
    }

    /// Ends the stream after the queued parts: `Err` shows the caller that it is incomplete.
    pub(crate) fn finish(&self, end: Result<(), Truncated>) {
        let mut state = self.shared.state();
        state.end.get_or_insert(end);
        wake(state);
    }

    /// Drops the queued parts and closes the connection of a caller that does not read.
    pub(crate) fn cut(&self) {
        let mut state = self.shared.state();
        // Dropping a part locks the state.
        let parts = std::mem::take(&mut state.parts);
        state.end = Some(Err(Truncated));
        wake(state);
        drop(parts);
        self.connection.cut();
    }

    async fn wait_for_room(&self, bytes: usize) -> Result<(), Closed> {
        loop {
            let changed = self.shared.changed.notified();
            let (has_receiver, unwritten) = {
                let state = self.shared.state();
                (state.has_receiver, state.unwritten)
            };
            if !has_receiver {
                return Err(Closed::Left);
            }
            let may_queue = unwritten + bytes <= MAX_QUEUED_BYTES
                && self.account.may_queue(&self.connection, bytes);
            // One part is always queued, so that every caller that reads gets its stream.
            if unwritten == 0 || may_queue {
                return Ok(());
            }
            tokio::select! {
                () = changed => {}
                closed = self.closed() => return Err(closed),
            }
        }
    }

    fn queue(&self, bytes: &[u8]) {
        let mut hold = self.account.hold(Some(&self.connection));
        hold.grow(bytes.len());
        let length = bytes.len();
        let shared = Arc::clone(&self.shared);
        // A copy, because a part of a larger buffer would keep the whole buffer.
        let part = Part { bytes: Bytes::copy_from_slice(bytes), shared, _hold: hold };
        let mut state = self.shared.state();
        state.unwritten += length;
        if !state.has_receiver {
            drop(state);
            return drop(part);
        }
        if state.unwritten == length {
            state.progress_at = Instant::now();
        }
        state.parts.push_back(Bytes::from_owner(part));
        wake(state);
    }
}

impl Drop for Sender {
    /// A stream that was not finished is incomplete.
    fn drop(&mut self) {
        self.finish(Err(Truncated));
    }
}

impl Receiver {
    /// Takes the next part; `None` at the end of a complete stream.
    pub(crate) fn poll_next(
        &self,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, Truncated>>> {
        let mut state = self.0.state();
        if let Some(part) = state.parts.pop_front() {
            return Poll::Ready(Some(Ok(part)));
        }
        match state.end {
            Some(Ok(())) => Poll::Ready(None),
            Some(Err(truncated)) => Poll::Ready(Some(Err(truncated))),
            None => {
                state.waker = Some(context.waker().clone());
                Poll::Pending
            }
        }
    }
}

impl Drop for Receiver {
    fn drop(&mut self) {
        let mut state = self.0.state();
        state.has_receiver = false;
        let parts = std::mem::take(&mut state.parts);
        drop(state);
        drop(parts);
        self.0.changed.notify_waiters();
    }
}

/// Wakes the receiver after a change of `state`.
fn wake(mut state: MutexGuard<'_, State>) {
    let waker = state.waker.take();
    drop(state);
    if let Some(waker) = waker {
        waker.wake();
    }
}

async fn sleep_until(at: Option<Instant>) {
    match at {
        Some(at) => tokio::time::sleep_until(at).await,
        None => std::future::pending().await,
    }
}
