//! Client of the platform's append-only log service.

mod http;
mod page;
#[cfg(test)]
mod tests;

pub use self::http::Http;

use std::future::Future;

use bytes::Bytes;

/// One record of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// Its position in the stream, from 0.
    pub offset: u64,
    /// When the log appended it, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Its content.
    pub body: Bytes,
}

/// The result of a read.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Batch {
    /// Records in ascending order of their offsets.
    pub records: Vec<Record>,
    /// The offset to read from next.
    pub next: u64,
    /// The earliest offset that the log retains.
    pub first: u64,
}

/// Why a call to the log failed.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The log refused the call because it is down or over its append rate. Nothing was appended.
    #[error("the log service refused the call with status {0}")]
    Refused(u16),
    /// The log could not be reached. Nothing was appended.
    #[error("the log service cannot be reached")]
    Unreachable,
    /// The call was sent, but its response was lost or reported a server error. The record may have been appended.
    #[error("the log service did not confirm the call")]
    Lost,
    /// The response is malformed. The record may have been appended.
    #[error("the response of the log service is malformed")]
    Malformed,
}

/// Reads and appends records.
pub trait Log: Clone + Send + Sync + 'static {
    /// Appends one record and returns its offset.
    ///
    /// # Errors
    ///
    /// [`Error::Refused`] and [`Error::Unreachable`] if nothing was appended, [`Error::Lost`] and [`Error::Malformed`]
    /// if the record may have been appended.
    fn append(&self, stream: &str, body: Bytes) -> impl Future<Output = Result<u64, Error>> + Send;

    /// Reads records from offset `from`. At the end of the stream, waits up to `wait_ms` milliseconds for a new record.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn read(
        &self,
        stream: &str,
        from: u64,
        wait_ms: u64,
    ) -> impl Future<Output = Result<Batch, Error>> + Send;
}
