//! Selection of the engines whose owners are asked for a permit, for [`crate::permits`]. Each entry host selects
//! independently.
//!
//! A [`State`] estimates the load of engines from the hints that their owners send with each reply. It prefers the
//! engine that probably has the request's prefix in its cache, unless that engine is busier than others. Otherwise it
//! selects the less busy of two random engines. It uses no sockets and no clock.

mod random;

pub(crate) use random::Random;
mod state;
#[cfg(test)]
mod tests;

pub use state::{Candidate, Request, State};
