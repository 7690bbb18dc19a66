//! The command line: all options with their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::{name, platform};

/// What the command was asked to do.
#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::large_enum_variant, reason = "one value a process")]
#[bpaf(options, version)]
/// Serving system for generations of unknown length on crowded engines.
pub enum Command {
    /// Run an entry host.
    #[bpaf(command)]
    Serve(#[bpaf(external(serve))] Serve),
    /// Run an entry host on the users' platform.
    #[bpaf(command)]
    Entry(#[bpaf(external(entry))] Entry),
    /// Check, submit, promote or show configuration documents.
    #[bpaf(command)]
    Config(#[bpaf(external(config))] Config),
    /// Report service-level burn from the entry hosts' own histograms.
    #[bpaf(command)]
    Report(#[bpaf(external(report))] Report),
}

/// How log lines are written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object a line.
    Json,
    /// Text for a terminal.
    Terminal,
}

impl std::str::FromStr for Format {
    type Err = Unknown;

    fn from_str(text: &str) -> Result<Self, Unknown> {
        match text {
            "json" => Ok(Self::Json),
            "terminal" => Ok(Self::Terminal),
            _ => Err(Unknown),
        }
    }
}

/// A word that is none of the accepted ones.
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("expected json or terminal")]
pub struct Unknown;

/// Another entry host that is known at start.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Its name.
    pub name: name::Host,
    /// Its peer address.
    pub address: SocketAddr,
}

/// Why a text is not a [`Seed`].
#[derive(Clone, Debug, thiserror::Error)]
pub enum SeedError {
    /// There is no `=`.
    #[error("expected NAME=IP:PORT")]
    Form,
    /// The name is not valid.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// The address is not valid.
    #[error("expected an address IP:PORT after '='")]
    Address(#[from] std::net::AddrParseError),
}

impl std::str::FromStr for Seed {
    type Err = SeedError;

    fn from_str(text: &str) -> Result<Self, SeedError> {
        let (name, address) = text.split_once('=').ok_or(SeedError::Form)?;
        Ok(Self { name: name::Host::new(name)?, address: address.parse()? })
    }
}

/// Options of `serve`.
#[derive(Clone, Debug, Bpaf)]
pub struct Serve {
    /// Name of this entry host
    #[bpaf(env("NUTMEGHEAD_NAME"), argument("HOST"))]
    pub name: name::Host,
    /// Region of this entry host
    #[bpaf(env("NUTMEGHEAD_REGION"), argument("REGION"))]
    pub region: name::Region,
    /// Failure domain of this entry host
    #[bpaf(env("NUTMEGHEAD_DOMAIN"), argument("DOMAIN"))]
    pub domain: name::Domain,
    /// Environment whose configuration documents are obeyed
    #[bpaf(env("NUTMEGHEAD_ENVIRONMENT"), argument("ENVIRONMENT"))]
    pub environment: name::Environment,
    /// Address for callers
    #[bpaf(env("NUTMEGHEAD_CALLER_ADDRESS"), argument("IP:PORT"))]
    pub caller_address: SocketAddr,
    /// Address for operators: /healthz, /readyz, /metrics
    #[bpaf(env("NUTMEGHEAD_OPERATOR_ADDRESS"), argument("IP:PORT"))]
    pub operator_address: SocketAddr,
    /// UDP address for other entry hosts
    #[bpaf(env("NUTMEGHEAD_PEER_ADDRESS"), argument("IP:PORT"))]
    pub peer_address: SocketAddr,
    /// Address of the platform's log service
    #[bpaf(env("NUTMEGHEAD_LOG_ADDRESS"), argument("IP:PORT"))]
    pub log_address: SocketAddr,
    /// Address of the platform's host list
    #[bpaf(env("NUTMEGHEAD_HOSTS_ADDRESS"), argument("IP:PORT"))]
    pub hosts_address: Option<SocketAddr>,
    /// Address of the weight store
    #[bpaf(env("NUTMEGHEAD_WEIGHTS_ADDRESS"), argument("IP:PORT"))]
    pub weights_address: Option<SocketAddr>,
    /// Another entry host, as NAME=IP:PORT of its peer address; may be given several times
    #[bpaf(long("seed"), argument("NAME=IP:PORT"))]
    pub seeds: Vec<Seed>,
    /// Key shared by all entry hosts, 64 hexadecimal digits; better given in the environment
    #[bpaf(env("NUTMEGHEAD_FLEET_KEY"), argument("HEX"))]
    pub fleet_key: String,
    /// Time after SIGTERM in which new work is still taken, in milliseconds
    #[bpaf(env("NUTMEGHEAD_DRAIN_DELAY_MS"), argument("MS"), fallback(2_000), display_fallback)]
    pub drain_delay_ms: u64,
    /// Number of worker threads, 0 for one a core
    #[bpaf(env("NUTMEGHEAD_WORKERS"), argument("N"), fallback(2), display_fallback)]
    pub workers: usize,
    /// Log lines as json or terminal
    #[bpaf(env("NUTMEGHEAD_LOG_FORMAT"), argument("FORMAT"), fallback(Format::Json))]
    pub log_format: Format,
}

/// Options of `entry`.
#[derive(Clone, Debug, Bpaf)]
pub struct Entry {
    /// Settings file of the platform
    #[bpaf(env(platform::settings::PATH_VARIABLE), argument("FILE"))]
    pub settings: PathBuf,
    /// Port for metrics, at the host's own address
    #[bpaf(env("NUTMEGHEAD_METRICS_PORT"), argument("PORT"), fallback(9_464), display_fallback)]
    pub metrics_port: u16,
    /// Log lines as json or terminal
    #[bpaf(env("NUTMEGHEAD_LOG_FORMAT"), argument("FORMAT"), fallback(Format::Json))]
    pub log_format: Format,
}

/// Options of `config`.
#[derive(Clone, Debug, Bpaf)]
pub enum Config {
    /// Check a document without submitting it
    #[bpaf(command)]
    Check {
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submit a document to an environment
    #[bpaf(command)]
    Submit {
        /// Which environment, on which log.
        #[bpaf(external(place))]
        place: Place,
        /// Version that the document replaces; the one in force if not given
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// Who submits
        #[bpaf(env("NUTMEGHEAD_AUTHOR"), argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Submit the document in force in one environment to another, unchanged
    #[bpaf(command)]
    Promote {
        /// Address of the platform's log service
        #[bpaf(env("NUTMEGHEAD_LOG_ADDRESS"), argument("IP:PORT"))]
        log_address: SocketAddr,
        /// Environment to take the document from
        #[bpaf(argument("ENVIRONMENT"))]
        from: name::Environment,
        /// Environment to submit it to
        #[bpaf(argument("ENVIRONMENT"))]
        to: name::Environment,
        /// Version in the first environment; the one in force if not given
        #[bpaf(argument("VERSION"))]
        version: Option<u64>,
        /// Who promotes
        #[bpaf(env("NUTMEGHEAD_AUTHOR"), argument("NAME"), fallback("operator".to_owned()))]
        author: String,
    },
    /// Put a document in force when the log has lost all records that tell what is
    #[bpaf(command)]
    Restore {
        /// Which environment, on which log.
        #[bpaf(external(place))]
        place: Place,
        /// Who restores
        #[bpaf(env("NUTMEGHEAD_AUTHOR"), argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the document in force
    #[bpaf(command)]
    Show {
        /// Which environment, on which log.
        #[bpaf(external(place))]
        place: Place,
    },
}

/// Which environment, on which log.
#[derive(Clone, Debug, Bpaf)]
pub struct Place {
    /// Address of the platform's log service
    #[bpaf(env("NUTMEGHEAD_LOG_ADDRESS"), argument("IP:PORT"))]
    pub log_address: SocketAddr,
    /// The environment
    #[bpaf(env("NUTMEGHEAD_ENVIRONMENT"), argument("ENVIRONMENT"))]
    pub environment: name::Environment,
}

/// Options of `report`.
#[derive(Clone, Debug, Bpaf)]
pub struct Report {
    /// Operators' address of an entry host; may be given several times
    #[bpaf(long("node"), argument("IP:PORT"))]
    pub nodes: Vec<SocketAddr>,
    /// Print JSON
    pub json: bool,
    /// Write a self-contained HTML page with plots
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
}
