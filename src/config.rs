//! Submission, promotion and distribution of documents.
//!
//! Each environment has a stream in the log. A [`Reader`] replays its records to determine the document in force; all
//! readers of a stream agree. A [`Follower`] selects the document that an entry host uses, and a [`Watch`] feeds it
//! from the log and from peers. An [`Operator`] submits, promotes and restores documents.

pub mod command;
mod follower;
pub mod message;
mod operator;
mod reader;
mod record;
#[cfg(test)]
mod tests;
mod watch;

pub use follower::{Follower, Renewal};
pub use operator::{Error, Operator, Receipt};
pub use reader::{Accepted, Conflict, Outcome, Reader};
pub use record::{
    Change, Error as RecordError, FORMAT, MAX_RECORD_BYTES, Record, Snapshot, Source,
};
pub use watch::Watch;

use crate::name;

/// The name of the log stream of an environment's documents.
///
/// ```
/// let trial = nutmeghead::name::Environment::new("trial")?;
/// assert_eq!(nutmeghead::config::stream(&trial), "config.trial");
/// # Ok::<(), nutmeghead::name::Error>(())
/// ```
pub fn stream(environment: &name::Environment) -> String {
    format!("config.{environment}")
}
