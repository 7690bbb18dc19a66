//! Interface of the engines and the weight store to the orders service.

use std::future::Future;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::plan::{Actual, Kind, Weights};

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Unique id of the order.
    pub order_id: uuid::fmt::Hyphenated,
    /// Fencing number of the lease under which the order is sent.
    pub fence: u64,
    /// The operation.
    #[serde(flatten)]
    pub kind: Kind,
}

/// Why a call to an engine or the weight store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The engine already accepted an order with a larger fencing number.
    #[error("the engine has accepted an order of a later lease")]
    Fenced,
    /// The rate limit of the weight store is exceeded; retry after this time in seconds.
    #[error("the weight store grants no further loads for {0} s")]
    Limited(u64),
    /// The call failed with this HTTP status.
    #[error("the call was refused with status {0}")]
    Refused(u16),
    /// The lease ended before the order was sent.
    #[error("the lease has ended")]
    LeaseEnded,
    /// No response arrived; an order may have been accepted.
    #[error("no response arrived")]
    Lost,
    /// The response could not be read; an order may have been accepted.
    #[error("the response is malformed")]
    Malformed,
}

/// Client of the engines and the weight store.
pub trait Target: Clone + Send + Sync + 'static {
    /// Reads the actual state of the engine at `address`.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn state(&self, address: SocketAddr) -> impl Future<Output = Result<Actual, Error>> + Send;

    /// Sends an order to the engine at `address` and waits until it is executed. `may_send` is checked after the
    /// connection is established, just before the order is sent: the process may be suspended while it connects.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Fenced`] if the engine refused the fencing number, [`Error::LeaseEnded`] if `may_send` returned
    /// `false`, otherwise any [`Error`].
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
        may_send: impl FnOnce() -> bool + Send,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Requests permission from the weight store for an engine to fetch weights.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Limited`] if the rate limit of the store is exceeded, otherwise any [`Error`].
    fn request_grant(&self, weights: Weights) -> impl Future<Output = Result<(), Error>> + Send;
}
