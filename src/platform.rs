//! The users' platform: its settings file, its store, the formats of what lies there, and the names on the wire.
//!
//! Nothing here decides. Each module turns names and formats into the project's types, or makes one call.

pub(crate) mod configuration;
pub(crate) mod engine;
pub(crate) mod headers;
pub(crate) mod registry;
pub mod settings;
pub(crate) mod store;

#[cfg(test)]
mod tests;
