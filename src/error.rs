//! Why the command failed.

use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use crate::exit_codes::ExitCode;
use crate::{document, log, member, peer, report, settings};

/// Why the command failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The options cannot be used together.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::options))]
    Settings(#[from] settings::Error),
    /// A listener could not be opened.
    #[error("cannot listen on {address}")]
    #[diagnostic(code(nutmeghead::listen), help("is another process using the address?"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The system's error.
        source: io::Error,
    },
    /// The runtime or its signals could not be set up.
    #[error("cannot start the runtime")]
    Runtime(#[source] io::Error),
    /// A counter could not be registered.
    #[error("cannot register counters")]
    Metrics(#[from] prometheus::Error),
    /// The link to other entry hosts could not be started.
    #[error("cannot start the link to other entry hosts")]
    Peer(#[from] peer::Error),
    /// Membership could not be started.
    #[error("cannot start membership")]
    Member(#[from] member::Error),
    /// A file could not be read.
    #[error("cannot read {path}")]
    #[diagnostic(code(nutmeghead::file))]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// The document is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] document::Error),
    /// There is no report.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::report))]
    Report(#[from] report::Error),
    /// The log service failed.
    #[error("the log service failed")]
    Log(#[from] log::Error),
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::Settings(_) => Self::Usage,
            Error::Document(_) => Self::Document,
            _ => Self::Failure,
        }
    }
}
