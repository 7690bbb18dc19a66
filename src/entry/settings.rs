//! The resolved settings of an entry host on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{cold, homes, name};

/// The validated settings of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this entry host.
    pub host: name::Host,
    /// Failure domain of this host.
    pub domain: name::Domain,
    /// Region of this host.
    pub region: name::Region,
    /// Address for callers.
    pub caller_address: SocketAddr,
    /// Address of the readiness endpoint.
    pub readiness_address: SocketAddr,
    /// Address of the metrics endpoint.
    pub metrics_address: SocketAddr,
    /// Address on which messages of other entry hosts (UDP) and requests that they forward (TCP) arrive.
    pub peer_address: SocketAddr,
    /// Address of the platform's store.
    pub store_address: SocketAddr,
    /// File descriptors that the process may use.
    pub max_descriptors: u64,
    /// Memory that the process may use, in bytes; `None` if the settings do not limit it.
    pub memory_bytes: Option<usize>,
    /// Times and rates that the operators guarantee to callers.
    pub bounds: Bounds,
    /// Regions of failure domains.
    pub regions: homes::Regions,
}

/// Times and rates that the operators guarantee to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time after which a leaving backend server receives no new requests.
    pub leaving: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown: Duration,
    /// Time within which all hosts apply an accepted document.
    pub configuration: Duration,
    /// Time after which no request with a removed key may run.
    pub revocation: Duration,
    /// Whether that holds without exception. If not, the keys of the last document that could be read stay in use.
    pub strict_revocation: bool,
    /// Retries allowed per request, over all hosts.
    pub retry_ratio: f64,
    /// Window over which retries are counted.
    pub retry_window: Duration,
    /// Retries allowed per window in addition to `retry_ratio`, over all hosts.
    pub retry_slack: f64,
    /// Time within which all hosts apply the evacuation of a failure domain, where domains are evacuated.
    pub evacuation: Option<Duration>,
    /// Requests that a cold engine gets in any second, over all hosts.
    pub cold: cold::Bound,
}
