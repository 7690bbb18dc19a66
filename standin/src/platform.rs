//! Stand-ins for the users' platform: its store, its backend servers and engines, and its settings file and document.

mod backend;
mod black_hole;
mod config;
mod endless;
mod scripted;
mod store;

pub use backend::{Behaviour, CrashPoint, Server, Settings};
pub use black_hole::BlackHole;
pub use config::{Capacity, Host, OTHER_KEY, document, entry};
pub use endless::{Endless, Place};
pub use scripted::{REQUEST_ID, Scripted};
pub use store::{Outage, Store};
