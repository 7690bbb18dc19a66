//! Entries that engines and backend servers write into the store.

use std::net::SocketAddr;

use serde::Deserialize;

use crate::directory::{Entry, Phase};
use crate::name;

/// Why an entry names no server that can be used.
#[derive(Debug, thiserror::Error)]
pub(crate) enum Error {
    /// It is not JSON, or a field is missing or has another type.
    #[error("the entry is malformed: {0}")]
    Malformed(#[from] serde_json::Error),
    /// A field holds a name that is not valid.
    #[error("field {field} of the entry: {source}")]
    Name { field: &'static str, source: name::Error },
}

/// An entry, as written.
#[derive(Deserialize)]
struct Wire {
    service: String,
    addr: SocketAddr,
    zone: String,
    slots: u32,
    state: State,
    /// Milliseconds for which the server is still slow after its start.
    #[serde(default)]
    cold_left_ms: f64,
    /// Unix millisecond of the server's start; tells two lives under one key apart.
    #[serde(default)]
    born: u64,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum State {
    Ready,
    Draining,
}

/// Parses the entry under `key`.
pub(crate) fn parse(key: &str, bytes: &[u8]) -> Result<Entry, Error> {
    let wire: Wire = serde_json::from_slice(bytes)?;
    Ok(Entry {
        id: name::Server::new(key).map_err(|source| Error::Name { field: "key", source })?,
        service: name::Service::new(&wire.service)
            .map_err(|source| Error::Name { field: "service", source })?,
        address: wire.addr,
        domain: name::Domain::new(&wire.zone)
            .map_err(|source| Error::Name { field: "zone", source })?,
        slots: wire.slots,
        cold_ms: wire.cold_left_ms.max(0.0) as u64,
        started_ms: wire.born,
        phase: match wire.state {
            State::Ready => Phase::Ready,
            State::Draining => Phase::Leaving,
        },
    })
}
