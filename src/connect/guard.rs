//! A socket that limits the bytes which arrive without completing the head of a response or a part of its body.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::MAX_BUFFER_BYTES;

/// Bytes that may arrive without progress: several full buffers, as parts of a body are received ahead of their reader.
/// Interim responses, the sizes of chunks and their extensions have no end otherwise, and reading them at full speed would
/// leave no time for other connections.
const MAX_IDLE_BYTES: usize = 8 * MAX_BUFFER_BYTES;

/// The bytes of a connection since the last progress. Clones count for the same connection.
#[derive(Clone, Debug, Default)]
pub(super) struct Progress(Arc<AtomicUsize>);

impl Progress {
    /// Records that a head or a part of a body is complete.
    pub(super) fn record(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        if self.0.fetch_add(bytes, Ordering::Relaxed) + bytes > MAX_IDLE_BYTES {
            return Err(io::Error::other("too many bytes without progress of the response"));
        }
        Ok(())
    }
}

/// A socket whose reads fail after too many bytes without progress.
#[derive(Debug)]
pub(super) struct Guard {
    socket: TcpStream,
    progress: Progress,
}

impl Guard {
    pub(super) fn new(socket: TcpStream, progress: Progress) -> Self {
        Self { socket, progress }
    }
}

impl AsyncRead for Guard {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.socket).poll_read(context, buffer);
        if let Poll::Ready(Ok(())) = read {
            return Poll::Ready(self.progress.add(buffer.filled().len() - before));
        }
        read
    }
}

impl AsyncWrite for Guard {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.socket).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.socket.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(context)
    }
}
