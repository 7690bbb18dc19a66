//! nutmeghead serves model generations of unknown length to many callers on crowded engines.

pub mod admission;
pub mod api;
pub mod backend;
pub mod claim;
pub mod cli;
pub mod clock;
pub mod config;
pub mod document;
pub mod engine;
pub mod error;
pub mod exit_codes;
pub mod gate;
pub mod hosts;
pub mod lifecycle;
pub mod limit;
pub mod log;
pub mod logs;
pub mod member;
pub mod metrics;
pub mod name;
// node
pub mod operate;
pub mod order;
pub mod owner;
pub mod peer;
pub mod placement;
pub mod report;
pub mod resume;
pub mod retry;
pub mod seek;
pub mod settings;
pub mod sse;
pub mod stream;
pub mod wire;
