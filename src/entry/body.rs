//! Bodies of answers to callers.

use std::pin::Pin;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Frame, SizeHint};
use tokio::sync::mpsc;

/// The answer ended before it was whole. The caller's connection is closed, so that it does not look complete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the answer is cut off")]
pub struct Broken;

/// Body of an answer to a caller.
#[derive(Debug)]
pub enum Body {
    /// A whole body, or `None` once it was sent.
    Whole(Option<Bytes>),
    /// Events that come as they are made.
    Events(mpsc::Receiver<Result<Bytes, Broken>>),
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Whole((!bytes.is_empty()).then_some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Broken;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Broken>>> {
        match self.get_mut() {
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Events(events) => {
                events.poll_recv(context).map(|event| event.map(|event| event.map(Frame::data)))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Events(_) => SizeHint::default(),
        }
    }
}
