//! Admission to an engine, decided by the engine's owner.
//!
//! A [`Ledger`] holds a permit for each generation that runs on the engine and predicts how much memory they will need
//! together. Requests ask it for a permit; it grants the request, holds it until memory is expected to be free, or refuses
//! it with the time to come back. It knows no sockets and no clock: every call takes the time in milliseconds.

mod ledger;
mod length;
mod message;
mod permit;
mod projection;
mod queue;
#[cfg(test)]
mod tests;
pub mod wire;

pub use ledger::{LATE_START_MS, LEASE_MS, Ledger};
pub use length::Length;
pub use message::{Answer, Ask, Decision, Hint, Reorder, Report, State};
