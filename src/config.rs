//! Submission, promotion and distribution of documents.
//!
//! Each environment has a stream in the log. [`Chain`] decides from its records which document is in force, the same at
//! every reader. [`Tail`] decides which document an entry host obeys, and [`Watch`] feeds it from the log and from peers.
//! [`Operator`] submits and promotes documents.

mod chain;
pub mod command;
pub mod message;
mod operator;
mod record;
mod tail;
#[cfg(test)]
mod tests;
mod watch;

pub use chain::{Accepted, Chain, Conflict, Verdict};
pub use operator::{Error, Operator, Receipt};
pub use record::{
    Change, Error as RecordError, FORMAT, MAX_RECORD_BYTES, Record, Snapshot, Source,
};
pub use tail::{Renewal, Tail};
pub use watch::Watch;

use crate::name;

/// The log stream of an environment's documents.
///
/// ```
/// let trial = nutmeghead::name::Environment::new("trial")?;
/// assert_eq!(nutmeghead::config::stream(&trial), "config.trial");
/// # Ok::<(), nutmeghead::name::Error>(())
/// ```
pub fn stream(environment: &name::Environment) -> String {
    format!("config.{environment}")
}
