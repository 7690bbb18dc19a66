//! The users' platform: its store, backend servers and engines that speak its words, and the texts that it hands out.

mod backend;
mod store;
mod text;

pub use backend::{Behaviour, Server, Settings};
pub use store::{Outage, Store};
pub use text::{Host, Size, document, entry};
