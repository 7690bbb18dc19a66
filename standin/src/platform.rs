//! The users' platform: its store, and backend servers and engines that speak its words.

mod backend;
mod store;

pub use backend::{Behaviour, Server, Settings};
pub use store::{Outage, Store};
