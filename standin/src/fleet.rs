//! The stand-ins of a small deployment, with a document that describes them.

use std::fmt::Write as _;
use std::net::SocketAddr;

use nutmeghead::config::{Change, Record, RecordError};
use nutmeghead::document::key_sha256;

use crate::{engine, hosts, log, service, web};

/// Bearer key of the first organisation.
pub const KEY: &str = "demo-key";

/// Bearer key of the second organisation.
pub const OTHER_KEY: &str = "other-key";

/// Name of the model that all engines serve.
pub const MODEL: &str = "roster";

/// Name of the plain service.
pub const SERVICE: &str = "crew";

/// The environment of the document.
pub const ENVIRONMENT: &str = "trial";

/// Why a fleet cannot be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in cannot be started.
    #[error(transparent)]
    Web(#[from] web::Error),
    /// The document does not fit in a record.
    #[error(transparent)]
    Record(#[from] RecordError),
}

/// Settings of a fleet.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Number of engines.
    pub engines: usize,
    /// Number of backend servers of the plain service.
    pub servers: usize,
    /// Settings of each engine.
    pub engine: engine::Settings,
    /// Settings of the log.
    pub log: log::Settings,
    /// Text at the start of the document.
    pub document_head: String,
}

impl Default for Settings {
    fn default() -> Self {
        let mut engine = engine::Settings::default();
        engine.model.base_step_us = 2_000;
        Self {
            engines: 3,
            servers: 3,
            engine,
            log: log::Settings::default(),
            document_head: String::new(),
        }
    }
}

/// Running stand-ins, stopped on drop.
#[derive(Debug)]
pub struct Fleet {
    /// The log.
    pub log: log::Server,
    /// The host list.
    pub hosts: hosts::Server,
    /// The engines.
    pub engines: Vec<engine::Server>,
    /// The backend servers.
    pub servers: Vec<service::Server>,
    head: String,
    memory_tokens: u64,
}

impl Fleet {
    /// Starts the stand-ins. Needs a tokio runtime.
    ///
    /// # Errors
    ///
    /// [`Error::Web`] if one of them cannot be started.
    pub fn start(settings: &Settings) -> Result<Self, Error> {
        let engine = |_| engine::Server::start(settings.engine.clone());
        let server = |index| {
            let name = format!("server-{index}");
            service::Server::start(service::Settings { name, ..service::Settings::default() })
        };
        Ok(Self {
            log: log::Server::start(settings.log.clone())?,
            hosts: hosts::Server::start(hosts::Settings::default())?,
            engines: (0..settings.engines).map(engine).collect::<Result<_, _>>()?,
            servers: (0..settings.servers).map(server).collect::<Result<_, _>>()?,
            head: settings.document_head.clone(),
            memory_tokens: settings.engine.model.memory_tokens,
        })
    }

    /// Returns a document that describes the stand-ins.
    pub fn document(&self) -> String {
        let engines: Vec<_> = self.engines.iter().map(engine::Server::address).collect();
        let servers: Vec<_> = self.servers.iter().map(service::Server::address).collect();
        document(&self.head, &engines, &servers, self.memory_tokens)
    }

    /// Appends a document to the log as the successor of version `base`.
    ///
    /// # Errors
    ///
    /// [`Error::Record`] if it does not fit in a record.
    pub fn submit(&self, base: u64, text: &str) -> Result<(), Error> {
        let change = Change::Submit { base, text: text.into() };
        let record = Record::new("fleet", change).encode()?;
        self.log.append(&format!("config.{ENVIRONMENT}"), record);
        Ok(())
    }
}

/// Returns the name of an engine in the document.
pub fn engine_name(index: usize) -> String {
    format!("engine-{index}")
}

/// Returns the name of a backend server in the document.
pub fn server_name(index: usize) -> String {
    format!("server-{index}")
}

/// Returns a document for engines and backend servers at these addresses, with `head` at its start.
pub fn document(
    head: &str,
    engines: &[SocketAddr],
    servers: &[SocketAddr],
    memory_tokens: u64,
) -> String {
    let mut text = format!(
        r#"{head}
[[organisations]]
name = "charter"
key_sha256 = ["{}"]
priorities = {{ rebuild = 0 }}

[[organisations]]
name = "other"
key_sha256 = ["{}"]

[[workloads]]
name = "rebuild"
priority = 2

[[workloads]]
name = "call"
priority = 1

[[models]]
name = "{MODEL}"
workload = "rebuild"

[[services]]
name = "{SERVICE}"
workload = "call"
"#,
        key_sha256(KEY),
        key_sha256(OTHER_KEY),
    );
    for (index, address) in servers.iter().enumerate() {
        let name = server_name(index);
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\n[[services.servers]]\nname = \"{name}\"\naddress = \"{address}\"\ndomain = \"a\"\n"
        );
    }
    for (index, address) in engines.iter().enumerate() {
        let name = engine_name(index);
        let _ = write!(
            text,
            "\n[[engines]]\nname = \"{name}\"\naddress = \"{address}\"\ndomain = \"a\"\n\
             models = [\"{MODEL}\"]\nmemory_tokens = {memory_tokens}\n"
        );
    }
    text
}
