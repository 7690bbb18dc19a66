//! The platform's append-only log service.

mod http;
#[cfg(test)]
mod tests;

pub use self::http::Http;

use std::future::Future;

use bytes::Bytes;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its place in the stream, from 0.
    pub offset: u64,
    /// When the log took it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its content.
    pub body: Bytes,
}

/// The answer to a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records in the order of their offsets.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: u64,
    /// The earliest offset that the log still has.
    pub first: u64,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The log refused: it is down or over its append rate. Nothing was appended.
    #[error("the log service refused the call with status {0}")]
    Refused(u16),
    /// The log could not be reached. Nothing was appended.
    #[error("the log service cannot be reached")]
    Unreachable,
    /// No answer came. The record may have been appended.
    #[error("the log service did not answer")]
    Lost,
    /// The answer could not be read. The record may have been appended.
    #[error("the log service gave a malformed answer")]
    Malformed,
}

/// Reads and appends records.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] and [`Error::Unreachable`] mean that nothing was appended; after [`Error::Lost`] and
    /// [`Error::Malformed`] the record may be in the stream.
    fn append(&self, stream: &str, body: Bytes) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads records from offset `from`, waiting up to `wait_ms` milliseconds for one at the tail.
    ///
    /// # Errors
    ///
    /// Any [`Error`]; a read changes nothing.
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;
}
