//! Errors that end the command.

use std::io;
use std::net::SocketAddr;

use crate::exit_codes::ExitCode;
use crate::{check, config, member, peer, platform, report, settings};

/// Why the command failed.
#[derive(Debug, thiserror::Error, miette::Diagnostic)]
pub enum Error {
    /// The options are invalid.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::options))]
    Settings(#[from] settings::Error),
    /// The platform's settings file is rejected.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::platform::settings))]
    Platform(#[from] platform::settings::Error),
    /// A listener could not be opened.
    #[error("cannot listen on {address}")]
    #[diagnostic(code(nutmeghead::listen), help("is another process using the address?"))]
    Listen {
        /// The address.
        address: SocketAddr,
        /// The I/O error.
        source: io::Error,
    },
    /// The runtime or its signal handlers could not be set up.
    #[error("cannot start the runtime")]
    Runtime(#[source] io::Error),
    /// A task that the process needs has ended because of an unexpected error.
    #[error("a task of the process ended unexpectedly")]
    #[diagnostic(code(nutmeghead::task_ended), help("see the log for the panic"))]
    TaskEnded,
    /// A metric could not be registered.
    #[error("cannot register metrics")]
    Metrics(#[from] prometheus::Error),
    /// The QUIC endpoint for other entry hosts could not be started.
    #[error("cannot start the QUIC endpoint for other entry hosts")]
    Peer(#[from] peer::Error),
    /// Membership could not be started.
    #[error("cannot start membership")]
    Member(#[from] member::Error),
    /// A document could not be checked.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::check))]
    Check(#[from] check::command::Error),
    /// The checked document has errors.
    #[error("the document has errors")]
    #[diagnostic(code(nutmeghead::check))]
    Checked,
    /// A subcommand of `config` failed.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Config(#[from] config::command::Error),
    /// The `report` command failed.
    #[error(transparent)]
    #[diagnostic(code(nutmeghead::report))]
    Report(#[from] report::Error),
}

impl From<&Error> for ExitCode {
    fn from(error: &Error) -> Self {
        match error {
            Error::Settings(_) | Error::Platform(_) => Self::Usage,
            Error::Checked => Self::Document,
            Error::Config(error) if error.is_document() => Self::Document,
            Error::Config(error) if error.is_conflict() => Self::Conflict,
            _ => Self::Failure,
        }
    }
}
