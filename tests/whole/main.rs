//! End-to-end tests: entry hosts run the real binary as separate processes, against stand-ins in this process.

mod announcements;
mod brittle;
mod builds;
mod claims;
mod commands;
mod configuration;
mod endless;
mod entry;
mod fatal_calls;
mod fatal_requests;
mod faults;
mod leaving;
mod limits;
mod links;
mod orders;
mod overload;
mod prompt_parts;
mod prompt_prefixes;
mod restore;
mod server_limits;
mod services;
mod shutdown;
mod soak;
mod streams;
mod testenv;
mod unframed;
