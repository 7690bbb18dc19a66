//! The memory for responses that are being received.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

/// Most bytes of all responses that are being received. A host has 256 MB, and responses are a few kilobytes unless a server
/// is faulty.
pub(super) const MAX_BYTES: usize = 64 << 20;

/// The bytes of all responses that are being received. Clones share them.
#[derive(Clone, Debug, Default)]
pub(super) struct Total(Arc<AtomicUsize>);

/// The bytes of one response, released on drop.
#[derive(Debug)]
pub(super) struct Held {
    total: Total,
    bytes: usize,
}

impl Total {
    /// A response of which nothing has arrived.
    pub(super) fn hold(&self) -> Held {
        Held { total: self.clone(), bytes: 0 }
    }
}

impl Held {
    /// Counts further bytes of the response. Returns whether they fit.
    pub(super) fn grow(&mut self, bytes: usize) -> bool {
        self.bytes += bytes;
        self.total.0.fetch_add(bytes, Ordering::Relaxed) + bytes <= MAX_BYTES
    }
}

impl Drop for Held {
    fn drop(&mut self) {
        self.total.0.fetch_sub(self.bytes, Ordering::Relaxed);
    }
}

#[cfg(test)]
mod tests;
