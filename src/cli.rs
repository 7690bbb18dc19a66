//! Command-line options and their help texts.

use std::net::SocketAddr;
use std::path::PathBuf;

use bpaf::Bpaf;

use crate::{name, platform};

/// Serving system for model generations of unknown length on heavily loaded engines.
#[derive(Clone, Debug, Bpaf)]
#[allow(clippy::large_enum_variant, reason = "there is one value per process")]
#[bpaf(options, version)]
pub enum Command {
    /// Run an entry host.
    #[bpaf(command)]
    Serve(#[bpaf(external(serve))] Serve),
    /// Run an entry host on the users' platform.
    #[bpaf(command)]
    Entry(#[bpaf(external(entry))] Entry),
    /// Check a configuration document of the users' platform before it is sent.
    #[bpaf(command)]
    Check(#[bpaf(external(check))] Check),
    /// Check, submit, promote or show configuration documents.
    #[bpaf(command)]
    Config(#[bpaf(external(config))] Config),
    /// Report how fast error budgets burn, from the histograms of entry hosts.
    #[bpaf(command)]
    Report(#[bpaf(external(report))] Report),
}

/// Format of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Format {
    /// One JSON object per line.
    Json,
    /// Human-readable text.
    Terminal,
}

impl std::str::FromStr for Format {
    type Err = FormatError;

    fn from_str(text: &str) -> Result<Self, FormatError> {
        match text {
            "json" => Ok(Self::Json),
            "terminal" => Ok(Self::Terminal),
            _ => Err(FormatError),
        }
    }
}

/// A text is not a [`Format`].
#[derive(Clone, Copy, Debug, thiserror::Error)]
#[error("expected json or terminal")]
pub struct FormatError;

/// An entry host to contact on startup.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Seed {
    /// Name of the entry host.
    pub name: name::Host,
    /// Peer address of the entry host.
    pub address: SocketAddr,
}

/// Why a text is not a [`Seed`].
#[derive(Clone, Debug, thiserror::Error)]
pub enum SeedError {
    /// The `=` is missing.
    #[error("expected NAME=IP:PORT")]
    Syntax,
    /// The name is invalid.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// The address is invalid.
    #[error("expected an address IP:PORT after '='")]
    Address(#[from] std::net::AddrParseError),
}

impl std::str::FromStr for Seed {
    type Err = SeedError;

    fn from_str(text: &str) -> Result<Self, SeedError> {
        let (name, address) = text.split_once('=').ok_or(SeedError::Syntax)?;
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
    /// Environment whose configuration documents are applied
    #[bpaf(env("NUTMEGHEAD_ENVIRONMENT"), argument("ENVIRONMENT"))]
    pub environment: name::Environment,
    /// Address for callers
    #[bpaf(env("NUTMEGHEAD_CALLER_ADDRESS"), argument("IP:PORT"))]
    pub caller_address: SocketAddr,
    /// Address for operators: /healthz, /readyz, /metrics, /burn
    #[bpaf(env("NUTMEGHEAD_OPERATOR_ADDRESS"), argument("IP:PORT"))]
    pub operator_address: SocketAddr,
    /// UDP address for messages of other entry hosts
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
    /// Name and peer address of another entry host; may be repeated
    #[bpaf(long("seed"), argument("NAME=IP:PORT"))]
    pub seeds: Vec<Seed>,
    /// Key shared by all entry hosts, as 64 hexadecimal digits; preferably set by the variable
    #[bpaf(env("NUTMEGHEAD_FLEET_KEY"), argument("HEX"))]
    pub fleet_key: String,
    /// Time after SIGTERM for which new work is still accepted, in milliseconds
    #[bpaf(env("NUTMEGHEAD_DRAIN_DELAY_MS"), argument("MS"), fallback(2_000), display_fallback)]
    pub drain_delay_ms: u64,
    /// Number of worker threads, 0 for one per core
    #[bpaf(env("NUTMEGHEAD_WORKERS"), argument("N"), fallback(2), display_fallback)]
    pub workers: usize,
    /// Format of log lines: json or terminal
    #[bpaf(env("NUTMEGHEAD_LOG_FORMAT"), argument("FORMAT"), fallback(Format::Json))]
    pub log_format: Format,
}

/// Options of `entry`.
#[derive(Clone, Debug, Bpaf)]
pub struct Entry {
    /// Settings file that the platform writes
    #[bpaf(env(platform::settings::PATH_VARIABLE), argument("FILE"))]
    pub settings: PathBuf,
    /// Port for metrics, at the host's own IP address
    #[bpaf(env("NUTMEGHEAD_METRICS_PORT"), argument("PORT"), fallback(9_464), display_fallback)]
    pub metrics_port: u16,
    /// Format of log lines: json or terminal
    #[bpaf(env("NUTMEGHEAD_LOG_FORMAT"), argument("FORMAT"), fallback(Format::Json))]
    pub log_format: Format,
}

/// Options of `check`.
#[derive(Clone, Debug, Bpaf)]
pub struct Check {
    /// Document in force, to show what differs
    #[bpaf(argument("FILE"))]
    pub in_force: Option<PathBuf>,
    /// Print JSON
    pub json: bool,
    /// The document
    #[bpaf(positional("FILE"))]
    pub file: PathBuf,
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
        /// Environment and log service.
        #[bpaf(external(target))]
        target: Target,
        /// Version that the document replaces; by default the version in force
        #[bpaf(argument("VERSION"))]
        base: Option<u64>,
        /// Author recorded with the document
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
        /// Environment to read the document from
        #[bpaf(argument("ENVIRONMENT"))]
        from: name::Environment,
        /// Environment to submit the document to
        #[bpaf(argument("ENVIRONMENT"))]
        to: name::Environment,
        /// Version to promote; by default the version in force
        #[bpaf(argument("VERSION"))]
        version: Option<u64>,
        /// Author recorded with the document
        #[bpaf(env("NUTMEGHEAD_AUTHOR"), argument("NAME"), fallback("operator".to_owned()))]
        author: String,
    },
    /// Put a document in force after the log has lost all records of the one in force
    #[bpaf(command)]
    Restore {
        /// Environment and log service.
        #[bpaf(external(target))]
        target: Target,
        /// Author recorded with the document
        #[bpaf(env("NUTMEGHEAD_AUTHOR"), argument("NAME"), fallback("operator".to_owned()))]
        author: String,
        /// The document
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show the document in force
    #[bpaf(command)]
    Show {
        /// Environment and log service.
        #[bpaf(external(target))]
        target: Target,
    },
}

/// Environment and log service.
#[derive(Clone, Debug, Bpaf)]
pub struct Target {
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
    /// Operator address of an entry host; may be repeated
    #[bpaf(long("node"), argument("IP:PORT"))]
    pub nodes: Vec<SocketAddr>,
    /// Print JSON
    pub json: bool,
    /// Also write a self-contained HTML page with plots to this file
    #[bpaf(argument("FILE"))]
    pub html: Option<PathBuf>,
}
