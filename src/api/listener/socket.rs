//! The socket of a connection and the bodies of its responses, which record what happens on it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll};

use bytes::Bytes;
use hyper::body::{Body, Frame, SizeHint};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::connections::{Activity, InProgress};

/// Start of the preface of HTTP/2 (RFC 9113, section 3.4).
const SHARED_PREFACE: &[u8] = b"PRI ";

/// A socket that records when bytes arrive and are written.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    activity: Arc<Activity>,
    /// Whether bytes have arrived.
    has_read: bool,
}

impl Socket {
    pub(super) fn new(stream: TcpStream, activity: Arc<Activity>) -> Self {
        Self { stream, activity, has_read: false }
    }

    fn record_write(&self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.activity.record_write();
        }
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let arrived = &buffer.filled()[before..];
        if !arrived.is_empty() {
            if !std::mem::replace(&mut self.has_read, true) && arrived.starts_with(SHARED_PREFACE) {
                self.activity.set_shared();
            }
            self.activity.record_read();
        }
        read
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.record_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.record_write(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
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
