//! The resolved settings of an entry host on the users' platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::name;

/// The settings of an entry host, checked.
#[derive(Clone, Debug, PartialEq)]
pub struct Settings {
    /// Name of this entry host.
    pub host: name::Host,
    /// Its failure domain.
    pub domain: name::Domain,
    /// Its region.
    pub region: name::Region,
    /// Where callers connect.
    pub caller_address: SocketAddr,
    /// Where the balancer asks for readiness.
    pub readiness_address: SocketAddr,
    /// Where metrics are served.
    pub metrics_address: SocketAddr,
    /// UDP address for other entry hosts.
    pub peer_address: SocketAddr,
    /// The platform's store.
    pub store_address: SocketAddr,
    /// File descriptors that the process may use.
    pub max_descriptors: u64,
    /// Times and rates that the operators guarantee to callers.
    pub bounds: Bounds,
}

/// Times and rates that the operators guarantee to callers.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bounds {
    /// Time within which a leaving backend server gets no new work.
    pub leaving: Duration,
    /// Time between SIGTERM and SIGKILL.
    pub shutdown: Duration,
    /// Time within which an accepted document is in force.
    pub configuration: Duration,
    /// Time after which no request with a removed key may run.
    pub revocation: Duration,
    /// Further attempts allowed for each request, over all hosts.
    pub retry_share: f64,
    /// Window in which further attempts are counted.
    pub retry_window: Duration,
    /// Further attempts in a window that are allowed beside the share, over all hosts.
    pub retry_allowance: f64,
}
