//! Orders to engines under a lease.
//!
//! Lease records in the log give each engine one holder at a time. The holder reads the engine's actual state and sends
//! orders for the difference to the document. A background task of each entry host runs [`Service::reconcile`] every
//! few seconds. Each order carries the offset of the lease record as its fencing number.
//! See `docs/ORDERS.md`.

pub mod counter;
mod http;
pub mod lease;
pub mod plan;
pub mod service;
pub mod target;

pub use http::Http;
pub use lease::State;
pub use plan::{Actual, Kind, Weights, plan};
pub use service::{Desired, Service};
pub use target::{Error, Order, Target};

#[cfg(test)]
mod tests;
