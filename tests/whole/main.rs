//! The whole path: the real binary as separate processes against stand-ins in this process.

mod claims;
mod commands;
mod configuration;
mod entry;
mod frozen;
mod leaving;
mod limits;
mod orders;
mod overload;
mod services;
mod shutdown;
mod soak;
mod streams;
mod testenv;
