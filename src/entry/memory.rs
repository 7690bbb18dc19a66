//! Account of the bytes that this host holds for callers: request bodies, buffered responses and queued parts of streams.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};

use bytes::Bytes;
use tokio::sync::Notify;

#[cfg(test)]
mod tests;

/// Memory for the process itself, in bytes.
const PROCESS_BYTES: usize = 16_000_000;

/// Divisor and factor of the memory beyond [`PROCESS_BYTES`] that give the total of the account. The rest is for the buffers
/// of connections, up to 64 KiB each.
const TOTAL_SHARE: (usize, usize) = (5, 2);

/// Divisor of the memory that gives the least total, for hosts that have little more than [`PROCESS_BYTES`].
const MIN_TOTAL_DIVISOR: usize = 16;

/// Divisor of the total that gives the part which only small requests may use.
const RESERVE_DIVISOR: usize = 8;

/// Divisor of the total that gives the most that the requests of one connection may use.
const CONNECTION_DIVISOR: usize = 4;

/// Size up to which requests and responses are small, if the host's memory is limited.
const SMALL_BYTES: usize = 32 << 10;

/// Size up to which responses are small, if the host's memory is not limited.
const UNLIMITED_SMALL_RESPONSE_BYTES: usize = 256 << 10;

/// Memory for all large responses together, if the host's memory is not limited: less than a quarter of the smallest hosts'.
const UNLIMITED_LARGE_RESPONSES_BYTES: usize = 24 << 20;

/// The account has no room for a request or a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the memory for requests is used up")]
pub(crate) struct Full;

/// Bounds on what is held, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Bounds {
    total: usize,
    reserve: usize,
    connection: usize,
}

/// The bytes held for all callers.
#[derive(Debug, Default)]
pub(crate) struct Account {
    /// `None` if the host's memory is not limited.
    bounds: Option<Bounds>,
    held: AtomicUsize,
    /// Bytes of large responses among those held.
    large_responses: AtomicUsize,
    /// Whether a request was refused since there was room.
    is_full: AtomicBool,
}

/// The connection of a caller.
#[derive(Debug, Default)]
pub(crate) struct Connection {
    held: AtomicUsize,
    /// Whether it carries several requests at a time.
    is_shared: AtomicBool,
    cut: Notify,
}

impl Connection {
    /// Records that the connection carries several requests at a time.
    pub(crate) fn set_shared(&self) {
        self.is_shared.store(true, Ordering::Relaxed);
    }

    /// Closes the connection, unless other requests use it, too.
    pub(crate) fn cut(&self) {
        if !self.is_shared.load(Ordering::Relaxed) {
            self.cut.notify_one();
        }
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn wait_cut(&self) {
        self.cut.notified().await;
    }
}

impl Account {
    /// An account for a host with `memory_bytes` of memory; without a bound on requests and streams if `None`.
    pub(crate) fn new(memory_bytes: Option<usize>) -> Self {
        let bounds = memory_bytes.map(|memory| {
            let (divisor, factor) = TOTAL_SHARE;
            let total = memory.saturating_sub(PROCESS_BYTES) / divisor * factor;
            let total = total.max(memory / MIN_TOTAL_DIVISOR);
            Bounds {
                total,
                reserve: total / RESERVE_DIVISOR,
                connection: total / CONNECTION_DIVISOR,
            }
        });
        Self { bounds, ..Self::default() }
    }

    /// Whether the host's memory is limited.
    pub(crate) fn is_bounded(&self) -> bool {
        self.bounds.is_some()
    }

    /// Bytes held.
    pub(crate) fn held(&self) -> usize {
        self.held.load(Ordering::Relaxed)
    }

    /// Size up to which a response is held regardless of others, in bytes, so that large ones do not crowd out small ones.
    pub(crate) fn small_response_bytes(&self) -> usize {
        self.bounds.map_or(UNLIMITED_SMALL_RESPONSE_BYTES, |_| SMALL_BYTES)
    }

    /// Holds `bytes` of a request of `connection`.
    pub(crate) fn admit(
        self: &Arc<Self>,
        connection: &Arc<Connection>,
        bytes: usize,
    ) -> Result<Hold, Full> {
        let mut hold = self.hold(Some(connection));
        hold.grow_request(bytes)?;
        Ok(hold)
    }

    /// Holds nothing yet, for `connection` if it is given.
    pub(crate) fn hold(self: &Arc<Self>, connection: Option<&Arc<Connection>>) -> Hold {
        Hold {
            account: Arc::clone(self),
            connection: connection.cloned(),
            bytes: 0,
            large_response_bytes: 0,
        }
    }

    /// Whether `bytes` more of a stream may be queued for `connection`. The reserve is left to requests.
    pub(crate) fn may_queue(&self, connection: &Connection, bytes: usize) -> bool {
        self.fits(bytes, false) && self.fits_connection(connection, bytes)
    }

    /// Whether there is room for `bytes`, which may use the reserve if `small`.
    fn fits(&self, bytes: usize, small: bool) -> bool {
        let Some(Bounds { total, reserve, .. }) = self.bounds else { return true };
        let limit = if small { total } else { total - reserve };
        self.held().saturating_add(bytes) <= limit
    }

    fn fits_connection(&self, connection: &Connection, bytes: usize) -> bool {
        let held = connection.held.load(Ordering::Relaxed);
        // A single request may be larger than the part of a connection.
        held == 0
            || self.bounds.is_none_or(|bounds| held.saturating_add(bytes) <= bounds.connection)
    }

    /// Records that a request was refused. Returns whether it is the first one since there was room.
    pub(crate) fn mark_full(&self) -> bool {
        !self.is_full.swap(true, Ordering::Relaxed)
    }

    /// Returns whether there is room again after a refusal: half of the total.
    pub(crate) fn mark_room(&self) -> bool {
        let has_room = self.bounds.is_none_or(|bounds| self.held() <= bounds.total / 2);
        has_room && self.is_full.swap(false, Ordering::Relaxed)
    }
}

/// Bytes held until this is dropped.
#[derive(Debug)]
pub(crate) struct Hold {
    account: Arc<Account>,
    connection: Option<Arc<Connection>>,
    bytes: usize,
    large_response_bytes: usize,
}

impl Hold {
    /// Holds `bytes` more regardless of others.
    pub(crate) fn grow(&mut self, bytes: usize) {
        self.bytes += bytes;
        self.account.held.fetch_add(bytes, Ordering::Relaxed);
        if let Some(connection) = &self.connection {
            connection.held.fetch_add(bytes, Ordering::Relaxed);
        }
    }

    /// Holds `bytes` more of a request.
    pub(crate) fn grow_request(&mut self, bytes: usize) -> Result<(), Full> {
        let small = self.bytes.saturating_add(bytes) <= SMALL_BYTES;
        let connection = self.connection.as_deref();
        let fits_connection = connection.is_none_or(|c| self.account.fits_connection(c, bytes));
        if !fits_connection || !self.account.fits(bytes, small) {
            return Err(Full);
        }
        self.grow(bytes);
        Ok(())
    }

    /// Holds `bytes` more of a response.
    pub(crate) fn grow_response(&mut self, bytes: usize) -> Result<(), Full> {
        if self.bytes.saturating_add(bytes) > self.account.small_response_bytes() {
            let large = self.account.large_responses.load(Ordering::Relaxed).saturating_add(bytes);
            let is_over = !self.account.is_bounded() && large > UNLIMITED_LARGE_RESPONSES_BYTES;
            if is_over || !self.account.fits(bytes, false) {
                return Err(Full);
            }
            self.large_response_bytes += bytes;
            self.account.large_responses.fetch_add(bytes, Ordering::Relaxed);
        }
        self.grow(bytes);
        Ok(())
    }

    /// Gives back what is held beyond `bytes`.
    pub(crate) fn shrink_to(&mut self, bytes: usize) {
        self.release(self.bytes.saturating_sub(bytes));
    }

    /// `bytes`, for which this is held until the last copy is dropped.
    pub(crate) fn around(self, bytes: Bytes) -> Bytes {
        Bytes::from_owner(Held { bytes, _hold: self })
    }

    fn release(&mut self, bytes: usize) {
        self.bytes -= bytes;
        self.account.held.fetch_sub(bytes, Ordering::Relaxed);
        if let Some(connection) = &self.connection {
            connection.held.fetch_sub(bytes, Ordering::Relaxed);
        }
    }
}

impl Drop for Hold {
    fn drop(&mut self) {
        self.release(self.bytes);
        self.account.large_responses.fetch_sub(self.large_response_bytes, Ordering::Relaxed);
    }
}

/// Bytes with their hold.
struct Held {
    bytes: Bytes,
    _hold: Hold,
}

impl AsRef<[u8]> for Held {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}
