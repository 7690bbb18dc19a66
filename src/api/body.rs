//! Request and response bodies.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use super::problem::{Kind, Problem};

/// The body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// A complete body, or `None` after it was sent.
    Full(Option<Bytes>),
    /// Chunks that are sent as they are produced.
    Stream(mpsc::Receiver<Bytes>),
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Full(Some(bytes))
    }
}

impl hyper::body::Body for Body {
    type Data = Bytes;
    type Error = Infallible;

    fn poll_frame(
        self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Infallible>>> {
        match self.get_mut() {
            Self::Full(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Stream(chunks) => {
                chunks.poll_recv(context).map(|chunk| chunk.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Full(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Full(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Stream(_) => SizeHint::default(),
        }
    }
}

/// Reads a request body to its end.
///
/// # Errors
///
/// Returns a [`Problem`] if the body exceeds `max_bytes`, ends early or is not complete within `timeout`.
pub(super) async fn read(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Problem> {
    let read = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await;
    match read {
        Err(_) => Err(Problem::new(Kind::RequestTimeout)),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::new(Kind::TooLarge)),
        Ok(Err(_)) => Err(Problem::new(Kind::Malformed)),
    }
}
