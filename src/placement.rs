//! Choice of engines for a request, decided by each entry host on its own.
//!
//! A [`State`] knows engines by the hints that their owners send with each answer. It prefers an engine that is likely to
//! have the request's prefix in its cache, unless that engine is busier than others, and takes the less busy of two engines
//! picked at random otherwise. It knows no sockets and no clock.

mod random;

pub(crate) use random::Random;
mod state;
#[cfg(test)]
mod tests;

pub use state::{Candidate, Request, State};
