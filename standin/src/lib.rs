//! Stand-ins for the systems around nutmeghead (engines, plain services and the platform), with benchmarks and
//! experiments.

pub mod account;
mod bucket;
mod control;
pub mod demo;
pub mod engine;
pub mod entry;
pub mod fleet;
pub mod hosts;
pub mod log;
pub mod membership;
pub mod nodes;
pub mod permits;
pub mod platform;
pub mod policy;
pub mod relay;
pub mod service;
pub mod web;
pub mod weights;
