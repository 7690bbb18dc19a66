//! Admission control for one engine, decided by the entry host that owns the engine.
//!
//! A [`Controller`] records a permit for each generation that runs on the engine and predicts how much memory they will
//! need together. It grants a request a permit, holds the request until memory is expected to be free, or refuses it
//! with the time after which to retry. It does no I/O and reads no clock: every call passes the time in milliseconds.

mod controller;
pub mod length;
mod message;
mod permit;
mod projection;
mod queue;
#[cfg(test)]
mod tests;
pub mod wire;

pub use controller::{Controller, LATE_START_MS, LEASE_MS};
pub use message::{Decision, Hint, PriorityChange, Reply, Report, Request, State};
