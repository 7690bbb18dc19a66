//! Registry entries that engines and backend servers write to the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::directory::{Entry, Phase};
use crate::name;

/// Why a registry entry is rejected.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// The entry is not JSON, or a field is missing or has the wrong type.
    #[error("the entry is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A field contains an invalid name.
    #[error("invalid field {field} of the entry: {source}")]
    Name { field: &'static str, source: name::Error },
}

/// JSON form of an entry.
#[derive(Deserialize)]
struct Registration {
    service: String,
    addr: SocketAddr,
    zone: String,
    /// Version of the server's software.
    version: Option<String>,
    slots: u32,
    state: State,
    /// Remaining warm-up time, during which the server is slow, in milliseconds.
    #[serde(default)]
    cold_left_ms: f64,
    /// Start time of the server, in milliseconds since the Unix epoch; distinguishes restarts under the same key.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// The name of a version. A text that is not a valid name is replaced by its hash, as only equality matters.
fn build(version: &str) -> Option<name::Build> {
    let hash = || blake3::hash(version.as_bytes()).to_hex();
    name::Build::new(version).or_else(|_| name::Build::new(hash().as_str())).ok()
}

/// Parses the entry with key `key`.
pub(crate) fn parse(key: &str, bytes: &[u8]) -> Result<Entry, Error> {
    let registration: Registration = serde_json::from_slice(bytes)?;
    Ok(Entry {
        id: name::Server::new(key).map_err(|source| Error::Name { field: "key", source })?,
        service: name::Service::new(&registration.service)
            .map_err(|source| Error::Name { field: "service", source })?,
        address: registration.addr,
        domain: name::Domain::new(&registration.zone)
            .map_err(|source| Error::Name { field: "zone", source })?,
        slots: registration.slots,
        cold_ms: registration.cold_left_ms.max(0.0) as u64,
        started_ms: registration.born,
        build: registration.version.as_deref().and_then(build),
        phase: match registration.state {
            State::Ready => Phase::Ready,
            State::Draining => Phase::Leaving,
        },
    })
}
