//! Why the command failed.

use std::io;
use std::net::SocketAddr;

use crate::exit_codes::ExitCode;
use crate::{config, member, peer, platform, report, settings};

/// Why the command failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The options cannot be used together.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::options))]
    Settings(#[from] settings::Error),
    /// The platform's settings file cannot be used.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::platform::settings))]
    Platform(#[from] platform::settings::Error),
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
    /// A command on documents failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] config::command::Error),
    /// There is no report.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::report))]
    Report(#[from] report::Error),
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::Settings(_) | Error::Platform(_) => Self::Usage,
            Error::Config(error) if error.is_document() => Self::Document,
            Error::Config(error) if error.is_conflict() => Self::Conflict,
            _ => Self::Failure,
        }
    }
}
