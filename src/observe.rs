//! Sockets that tell an observer what is read and written.

use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Is told what happens on a socket.
pub(crate) trait Observer: Unpin {
    /// Bytes arrived; at least one.
    ///
    /// # Errors
    ///
    /// An error ends the connection.
    fn read(&mut self, bytes: &[u8]) -> io::Result<()>;

    /// Bytes were written; at least one.
    fn written(&mut self) {}
}

/// A socket with an observer.
#[derive(Debug)]
pub(crate) struct Socket<O> {
    stream: TcpStream,
    observer: O,
}

impl<O> Socket<O> {
    pub(crate) fn new(stream: TcpStream, observer: O) -> Self {
        Self { stream, observer }
    }
}

impl<O: Observer> Socket<O> {
    fn observe_write(&mut self, written: &Poll<io::Result<usize>>) {
        if matches!(written, Poll::Ready(Ok(1..))) {
            self.observer.written();
        }
    }
}

impl<O: Observer> AsyncRead for Socket<O> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        let arrived = &buffer.filled()[before..];
        match (&read, arrived) {
            (Poll::Ready(Ok(())), [_, ..]) => Poll::Ready(self.observer.read(arrived)),
            _ => read,
        }
    }
}

impl<O: Observer> AsyncWrite for Socket<O> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write(context, bytes);
        self.observe_write(&written);
        written
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut self.stream).poll_write_vectored(context, bytes);
        self.observe_write(&written);
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
