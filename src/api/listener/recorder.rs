//! What is read and written on a connection, and the bodies of its responses, recorded in its activity.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};

use super::connections::{Activity, InProgress};
use crate::observe::Observer;

/// Start of the preface of HTTP/2 (RFC 9113, section 3.4).
const SHARED_PREFACE: &[u8] = b"PRI ";

/// Records on a connection when bytes arrive and are written.
#[derive(Debug)]
pub(super) struct Recorder {
    activity: Arc<Activity>,
    /// Whether bytes have arrived.
    has_read: bool,
}

impl Recorder {
    pub(super) fn new(activity: Arc<Activity>) -> Self {
        Self { activity, has_read: false }
    }
}

impl Observer for Recorder {
    fn read(&mut self, bytes: &[u8]) -> io::Result<()> {
        if !std::mem::replace(&mut self.has_read, true) && bytes.starts_with(SHARED_PREFACE) {
            self.activity.set_shared();
        }
        self.activity.record_read();
        Ok(())
    }

    fn written(&mut self) {
        self.activity.record_write();
    }
}

/// The body of a response, whose request is in progress until this is dropped.
#[derive(Debug)]
pub(super) struct Tracked<B> {
    pub(super) body: B,
    pub(super) _request: InProgress,
}

impl<B: Body<Data = Bytes> + Unpin> Body for Tracked<B> {
    type Data = Bytes;
    type Error = B::Error;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, B::Error>>> {
        Pin::new(&mut self.body).poll_frame(context)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
