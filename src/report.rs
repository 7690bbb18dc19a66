//! The report on service-level burn.
//!
//! Each node samples its own histograms once a minute and keeps the last hours in memory. The command adds up what the
//! nodes tell and states, for each objective, workload and organisation, how fast the error budget burns.

mod command;
mod history;
mod page;
mod sample;
mod summary;
#[cfg(test)]
mod tests;
mod wire;

pub use command::{Error, run};
pub use history::{Count, Flow, History};
pub use sample::Sampler;
pub use summary::{Row, Summary};
pub use wire::Page;

/// Windows over which burn is stated, in seconds, shortest first.
pub const WINDOWS_S: [u64; 3] = [300, 3_600, 21_600];
