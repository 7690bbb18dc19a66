//! Interfaces of the users' platform: its settings file, its store, the formats of stored records, and HTTP headers.
//!
//! These modules only convert platform formats to internal types or make single calls; they contain no policy.

pub(crate) mod configuration;
pub(crate) mod engine;
pub(crate) mod evacuation;
pub(crate) mod headers;
pub(crate) mod registry;
pub mod settings;
pub(crate) mod store;

#[cfg(test)]
mod tests;
