//! Orders to engines under a lease.
//!
//! Lease records in the log give each engine one holder at a time. The holder reads what the engine has and orders the
//! difference to the document; its orders carry the offset of the lease record as the fencing number. See
//! `docs/ORDERS.md`.

pub mod counter;
mod http;
pub mod lease;
pub mod plan;
pub mod service;
pub mod target;

pub use http::Http;
pub use lease::{Lease, State};
pub use plan::{Actual, Kind, Weights, plan};
pub use service::{Desired, Service};
pub use target::{Error, Order, Target};

#[cfg(test)]
mod tests;
