//! The checked settings of an entry host.

use std::net::SocketAddr;
use std::time::Duration;

use crate::{cli, name};

/// Length of the fleet key, in bytes.
pub const FLEET_KEY_BYTES: usize = 32;

/// Why the options of `serve` are not valid.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The fleet key is not 64 hexadecimal digits.
    #[error("--fleet-key (NUTMEGHEAD_FLEET_KEY) must be 64 hexadecimal digits")]
    FleetKey,
    /// Two listeners share an address.
    #[error("{0} and {1} are both {2}")]
    SameAddress(&'static str, &'static str, SocketAddr),
    /// A seed has the name of this host but another address than its peer address.
    #[error("--seed {0} has this entry host's name but another address")]
    OwnSeed(name::Host),
}

/// The checked settings of an entry host.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Name of this entry host.
    pub name: name::Host,
    /// Its region.
    pub region: name::Region,
    /// Its failure domain.
    pub domain: name::Domain,
    /// The environment whose documents the host uses.
    pub environment: name::Environment,
    /// Listening address for callers.
    pub caller_address: SocketAddr,
    /// Listening address for operators.
    pub operator_address: SocketAddr,
    /// Listening address for other entry hosts, over UDP.
    pub peer_address: SocketAddr,
    /// Address of the platform's log service.
    pub log_address: SocketAddr,
    /// Address of the platform's host list, if it has one.
    pub hosts_address: Option<SocketAddr>,
    /// Address of the weight store, if there is one.
    pub weights_address: Option<SocketAddr>,
    /// Other entry hosts known at start.
    pub seeds: Vec<cli::Seed>,
    /// The key shared by all entry hosts.
    pub fleet_key: [u8; FLEET_KEY_BYTES],
    /// How long new requests are still accepted after SIGTERM.
    pub drain_delay: Duration,
}

impl TryFrom<cli::Serve> for Settings {
    type Error = Error;

    fn try_from(options: cli::Serve) -> Result<Self, Error> {
        let fleet_key = parse_key(&options.fleet_key)?;
        if options.caller_address == options.operator_address && options.caller_address.port() != 0
        {
            return Err(Error::SameAddress(
                "--caller-address",
                "--operator-address",
                options.caller_address,
            ));
        }
        if let Some(seed) = options
            .seeds
            .iter()
            .find(|s| s.name == options.name && s.address != options.peer_address)
        {
            return Err(Error::OwnSeed(seed.name.clone()));
        }
        let seeds = options.seeds.into_iter().filter(|seed| seed.name != options.name).collect();
        Ok(Self {
            name: options.name,
            region: options.region,
            domain: options.domain,
            environment: options.environment,
            caller_address: options.caller_address,
            operator_address: options.operator_address,
            peer_address: options.peer_address,
            log_address: options.log_address,
            hosts_address: options.hosts_address,
            weights_address: options.weights_address,
            seeds,
            fleet_key,
            drain_delay: Duration::from_millis(options.drain_delay_ms),
        })
    }
}

fn parse_key(text: &str) -> Result<[u8; FLEET_KEY_BYTES], Error> {
    if !text.is_ascii() || text.len() != 2 * FLEET_KEY_BYTES {
        return Err(Error::FleetKey);
    }
    let mut key = [0; FLEET_KEY_BYTES];
    for (byte, digits) in key.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        let digits = std::str::from_utf8(digits).map_err(|_| Error::FleetKey)?;
        *byte = u8::from_str_radix(digits, 16).map_err(|_| Error::FleetKey)?;
    }
    Ok(key)
}
