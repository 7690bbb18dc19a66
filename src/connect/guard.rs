//! A limit on the bytes which arrive without completing the head of a response or a part of its body.

use std::io;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use super::MAX_BUFFER_BYTES;
use crate::observe::Observer;

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

impl Observer for Progress {
    /// Fails after too many bytes without progress.
    fn read(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.add(bytes.len())
    }
}
