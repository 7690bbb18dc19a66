//! Report on how fast error budgets burn.
//!
//! Each node records the counts of its own metrics once a minute and holds those of the last six hours in memory. The
//! `report` command sums the counts of all nodes and calculates the burn rate of each objective, workload and
//! organisation.

mod command;
mod history;
mod html;
mod recorder;
mod summary;
#[cfg(test)]
mod tests;
mod wire;

pub use command::{Error, run};
pub use history::{Count, History, Series};
pub use recorder::Recorder;
pub use summary::{Row, Summary};
pub use wire::Snapshot;

/// Windows over which burn rates are calculated, in seconds, shortest first.
pub const WINDOWS_S: [u64; 3] = [300, 3_600, 21_600];
