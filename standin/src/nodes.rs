//! Entry hosts in this process, for demonstrations and experiments.

use std::net::{SocketAddr, UdpSocket};
use std::time::Duration;

use nutmeghead::cli::{Format, Seed};
use nutmeghead::node::Node;
use nutmeghead::settings::Settings;
use nutmeghead::{logging, name};

use crate::fleet::{ENVIRONMENT, Fleet};

/// Timeout for the entry hosts to become ready.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Interval between two checks of readiness.
const READY_INTERVAL: Duration = Duration::from_millis(20);

/// Why entry hosts could not be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An entry host could not be started.
    #[error("cannot start an entry host")]
    Node(#[from] nutmeghead::error::Error),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// No port is free.
    #[error(transparent)]
    Port(#[from] std::io::Error),
    /// The entry hosts did not become ready in time.
    #[error("the entry hosts did not become ready in time")]
    NotReady,
}

/// Starts `count` entry hosts for `fleet` and waits until they are ready.
///
/// # Errors
///
/// Any [`enum@Error`].
pub async fn start(fleet: &Fleet, count: usize) -> Result<Vec<Node>, Error> {
    let seeds = (0..count).map(seed).collect::<Result<Vec<_>, _>>()?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut nodes = Vec::new();
    for seed in &seeds {
        let settings = Settings {
            name: seed.name.clone(),
            region: name::Region::new("loopback")?,
            domain: name::Domain::new("a")?,
            environment: name::Environment::new(ENVIRONMENT)?,
            caller_address: any,
            operator_address: any,
            peer_address: seed.address,
            log_address: fleet.log.address(),
            hosts_address: Some(fleet.hosts.address()),
            weights_address: None,
            seeds: seeds.iter().filter(|other| other.name != seed.name).cloned().collect(),
            fleet_key: [7; 32],
            drain_delay: Duration::ZERO,
        };
        nodes.push(Node::start(settings, logging::new(Format::Terminal)).await?);
    }
    let ready = async {
        while !nodes.iter().all(|node| node.control().phase().is_ready()) {
            tokio::time::sleep(READY_INTERVAL).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await.map_err(|_| Error::NotReady)?;
    Ok(nodes)
}

/// Returns the name of an entry host and a free address for it.
fn seed(index: usize) -> Result<Seed, Error> {
    let address = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?.local_addr()?;
    Ok(Seed { name: name::Host::new(format!("entry-{index}"))?, address })
}
