//! Engines and the weight store, as the giver of orders sees them.

use std::future::Future;
use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use super::plan::{Actual, Kind, Weights};

/// An order to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Order {
    /// Its identity.
    pub order_id: uuid::fmt::Hyphenated,
    /// The fencing number of the lease it is given under.
    pub fence: u64,
    /// What is ordered.
    #[serde(flatten)]
    pub kind: Kind,
}

/// Why a call to an engine or the weight store failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The engine took an order with a larger fencing number before.
    #[error("the engine has taken orders of a later lease")]
    Fenced,
    /// Too many weights were asked for.
    #[error("the weight store allows no more loads for {0} s")]
    Limited(u64),
    /// The call was refused with this HTTP status.
    #[error("the call was refused with status {0}")]
    Refused(u16),
    /// No answer came; an order may have been taken.
    #[error("no answer came")]
    Lost,
    /// The answer could not be read; an order may have been taken.
    #[error("the answer is malformed")]
    Malformed,
}

/// Reaches engines and the weight store.
pub trait Target: Clone + Send + Sync + 'static {
    /// What the engine at `address` has now.
    ///
    /// # Errors
    ///
    /// Any [`Error`].
    fn state(&self, address: SocketAddr) -> impl Future<Output = Result<Actual, Error>> + Send;

    /// Gives the engine at `address` an order and waits until it is carried out.
    ///
    /// # Errors
    ///
    /// [`Error::Fenced`] if the engine refused the fencing number, else any [`Error`].
    fn order(
        &self,
        address: SocketAddr,
        order: Order,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Asks the weight store for leave to make an engine fetch weights.
    ///
    /// # Errors
    ///
    /// [`Error::Limited`] if the store's rate is used up, else any [`Error`].
    fn request_grant(&self, weights: Weights) -> impl Future<Output = Result<(), Error>> + Send;
}
