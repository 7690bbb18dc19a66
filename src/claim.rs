//! Claims that make a non-idempotent call run at most once.
//!
//! Before a call is dispatched, a claim on its idempotency key is appended to the log. The first claim in log order
//! wins, and only its holder dispatches the call: once, and within the dispatch window. The handlers of `/services/`
//! run such calls through [`Service::run`]. See `docs/CLAIMS.md`.

pub mod call;
pub mod counter;
pub mod key;
pub mod message;
mod partition;
pub mod record;
mod replica;
pub mod service;
pub mod state;
pub mod verdict;

pub use call::{Call, DispatchWindow, Ownership};
pub use key::{Key, Slot};
pub use record::{Body, Claim, End, Entry, Holder, Outcome, Reply, stream};
pub use service::{PARTITIONS, Service};
pub use state::{Resolution, State};
pub use verdict::{Completed, Failure, Reason, Status, Verdict};

#[cfg(test)]
pub(crate) mod tests;
