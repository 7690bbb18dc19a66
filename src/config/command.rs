//! The `config` command.

use std::path::{Path, PathBuf};

use miette::Diagnostic;

use super::{Operator, Receipt, operator};
use crate::{cli, document, log};

/// Why the command failed.
#[derive(Debug, thiserror::Error, Diagnostic)]
pub enum Error {
    /// A file could not be read.
    #[error("cannot read {path}")]
    #[diagnostic(code(config::file))]
    File {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The document is not valid.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Document(#[from] document::Error),
    /// The environment could not be changed or shown.
    #[error(transparent)]
    #[diagnostic(transparent)]
    Operator(#[from] operator::Error),
}

impl Error {
    /// Whether the command failed because the document is not valid.
    pub fn is_document(&self) -> bool {
        matches!(self, Self::Document(_) | Self::Operator(operator::Error::Document(_)))
    }

    /// Whether the command failed because the document in force is not the one that it is based on.
    pub fn is_conflict(&self) -> bool {
        matches!(self, Self::Operator(operator::Error::Conflict { .. }))
    }
}

/// Runs the command and returns the text to print.
///
/// # Errors
///
/// Any [`enum@Error`]; a document that is not valid is not appended to the log.
pub async fn run(options: cli::Config) -> Result<String, Error> {
    match options {
        cli::Config::Check { file } => {
            let document = document::parse(&read(&file)?)?;
            Ok(format!(
                "valid: {} organisations, {} models, {} engines, {} services",
                document.organisations.len(),
                document.models.len(),
                document.engines.len(),
                document.services.len()
            ))
        }
        cli::Config::Submit { target, base, author, file } => {
            let text = read(&file)?;
            let operator = Operator::new(log::Http::new(target.log_address), &author);
            let receipt = operator.submit(&target.environment, base, &text).await?;
            Ok(success_message(&target.environment, receipt))
        }
        cli::Config::Restore { target, author, file } => {
            let text = read(&file)?;
            let operator = Operator::new(log::Http::new(target.log_address), &author);
            let receipt = operator.restore(&target.environment, &text).await?;
            Ok(success_message(&target.environment, receipt))
        }
        cli::Config::Promote { log_address, from, to, version, author } => {
            let operator = Operator::new(log::Http::new(log_address), &author);
            let receipt = operator.promote(&from, &to, version).await?;
            Ok(success_message(&to, receipt))
        }
        cli::Config::Show { target } => {
            let operator = Operator::new(log::Http::new(target.log_address), "show");
            let reader = operator.show(&target.environment).await?;
            Ok(match reader.accepted() {
                None => format!("# environment {} has no document", target.environment),
                Some(accepted) => {
                    let snapshot = &accepted.snapshot;
                    let (version, author) = (snapshot.version, &snapshot.author);
                    format!("# version {version} by {author}\n{}", snapshot.text)
                }
            })
        }
    }
}

fn read(path: &Path) -> Result<String, Error> {
    std::fs::read_to_string(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

fn success_message(environment: &crate::name::Environment, receipt: Receipt) -> String {
    format!("version {} is in force in {environment}", receipt.version)
}
