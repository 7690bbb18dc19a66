//! Bodies of requests and responses.

use std::convert::Infallible;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use http_body_util::{BodyExt as _, LengthLimitError, Limited};
use hyper::body::{Frame, Incoming, SizeHint};
use tokio::sync::mpsc;

use super::problem::{Kind, Problem};

/// Body of a response to a caller.
#[derive(Debug)]
pub enum Body {
    /// A whole body, or `None` once it was sent.
    Whole(Option<Bytes>),
    /// Pieces that come as they are made.
    Pieces(mpsc::Receiver<Bytes>),
}

impl From<Bytes> for Body {
    fn from(bytes: Bytes) -> Self {
        Self::Whole(Some(bytes))
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
            Self::Whole(bytes) => Poll::Ready(bytes.take().map(|bytes| Ok(Frame::data(bytes)))),
            Self::Pieces(pieces) => {
                pieces.poll_recv(context).map(|piece| piece.map(|bytes| Ok(Frame::data(bytes))))
            }
        }
    }

    fn is_end_stream(&self) -> bool {
        matches!(self, Self::Whole(None))
    }

    fn size_hint(&self) -> SizeHint {
        match self {
            Self::Whole(bytes) => SizeHint::with_exact(bytes.as_ref().map_or(0, Bytes::len) as u64),
            Self::Pieces(_) => SizeHint::default(),
        }
    }
}

/// Reads the whole body of a request.
///
/// # Errors
///
/// Returns a [`Problem`] if the body exceeds `max_bytes`, is cut off or takes longer than `timeout`.
pub(super) async fn read(
    body: Incoming,
    max_bytes: usize,
    timeout: Duration,
) -> Result<Bytes, Problem> {
    let read = tokio::time::timeout(timeout, Limited::new(body, max_bytes).collect()).await;
    match read {
        Err(_) => Err(Problem::new(Kind::Timeout)),
        Ok(Ok(body)) => Ok(body.to_bytes()),
        Ok(Err(error)) if error.is::<LengthLimitError>() => Err(Problem::new(Kind::TooLarge)),
        Ok(Err(_)) => Err(Problem::new(Kind::Malformed)),
    }
}
