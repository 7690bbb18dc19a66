//! Bodies that leave time for other tasks while their parts arrive faster than they are used.

use std::pin::{Pin, pin};
use std::task::{Context, Poll, ready};

use hyper::body::{Frame, SizeHint};

#[cfg(test)]
pub(crate) mod tests;

/// Parts that are returned one after the other before other tasks run.
pub(crate) const MAX_PARTS_IN_A_ROW: u32 = 32;

/// A body that returns to the scheduler after some parts that were there without waiting. A sender chooses the size of its
/// parts, so thousands may arrive in one read of a socket, after which the budget of the runtime counts no read until all are
/// used. Timers and the end of the caller's connection are polled beside the body only while it is pending.
#[derive(Debug)]
pub struct Body<B> {
    inner: B,
    /// Parts since the body was last pending.
    in_a_row: u32,
}

impl<B> Body<B> {
    /// Wraps `inner`.
    pub(crate) fn new(inner: B) -> Self {
        Self { inner, in_a_row: 0 }
    }
}

impl<B: hyper::body::Body + Unpin> hyper::body::Body for Body<B> {
    type Data = B::Data;
    type Error = B::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<B::Data>, B::Error>>> {
        let body = self.get_mut();
        if body.in_a_row == MAX_PARTS_IN_A_ROW {
            body.in_a_row = 0;
            // The first poll arranges for a wake-up after the other tasks and the I/O driver have run.
            ready!(pin!(tokio::task::yield_now()).poll(context));
        }
        let polled = Pin::new(&mut body.inner).poll_frame(context);
        body.in_a_row = if polled.is_ready() { body.in_a_row + 1 } else { 0 };
        polled
    }

    fn is_end_stream(&self) -> bool {
        self.inner.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.inner.size_hint()
    }
}
