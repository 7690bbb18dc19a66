//! Bodies of responses to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

use super::queue::Receiver;

/// The response ended before it was complete. The caller's connection is closed, so that the caller can detect this.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the response ended before it was complete")]
pub struct Truncated;

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// A complete body; `None` once it was sent.
    Complete(Option<Bytes>),
    /// Events as they arrive.
    Events(mpsc::Receiver<Result<Bytes, Truncated>>),
    /// Parts of a stream from a queue that is bounded in bytes.
    Stream(Stream),
}

/// The parts of a stream that are queued for its caller.
#[derive(Debug)]
pub struct Stream(pub(crate) Receiver);

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Complete((!bytes.is_empty()).then_some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Truncated;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Truncated>>> {
        match self.get_mut() {
            Self::Complete(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
            Self::Stream(Stream(receiver)) => {
                receiver.poll_next(context).map(|part| part.map(|part| part.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Complete(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Complete(bytes) => {
                SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64)
            }
            Self::Events(_) | Self::Stream(_) => SizeHint::default(),
        }
    }
}
