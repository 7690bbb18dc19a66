//! The `check` command.

use std::path::{Path, PathBuf};

use serde::Serialize;

use super::{Change, Document, Finding, Severity, check, compare};
use crate::cli;
use crate::platform::configuration;

/// Why a document could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file could not be read.
    #[error("cannot read {}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The operating system's error.
        source: std::io::Error,
    },
    /// The document in force is not a document.
    #[error("the document in force, {}, is not valid: {reason}", path.display())]
    InForce {
        /// The file.
        path: PathBuf,
        /// What is wrong, with the line and column.
        reason: String,
    },
    /// The output could not be encoded.
    #[error("cannot encode the result")]
    Encode(#[from] serde_json::Error),
}

/// The result of a check.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Outcome {
    /// What is wrong with the document.
    pub findings: Vec<Finding>,
    /// What differs from the document in force; empty if none was given.
    pub changes: Vec<Change>,
}

impl Outcome {
    /// Whether the document should not be sent.
    pub fn has_errors(&self) -> bool {
        self.findings.iter().any(|finding| finding.severity == Severity::Error)
    }

    /// Checks a document, and compares it with the one in force if that is given.
    pub(crate) fn new(text: &[u8], in_force: Option<&Document>) -> Self {
        let document = match configuration::outline(text) {
            Ok(document) => document,
            Err(error) => return Self::refused(error.to_string()),
        };
        let mut findings = check(&document);
        let Some(in_force) = in_force else { return Self { findings, changes: Vec::new() } };
        if document.version <= in_force.version {
            let message = format!("must be above {}, the version in force", in_force.version);
            let place = format!("version {}", document.version);
            findings.insert(0, Finding { severity: Severity::Error, place, message });
        }
        Self { findings, changes: compare(in_force, &document) }
    }

    fn refused(message: String) -> Self {
        let place = "document".to_owned();
        let finding = Finding { severity: Severity::Error, place, message };
        Self { findings: vec![finding], changes: Vec::new() }
    }

    /// The result as lines of text.
    pub(crate) fn to_text(&self) -> String {
        let mut lines: Vec<_> = self.findings.iter().map(ToString::to_string).collect();
        lines.extend(self.changes.iter().map(|change| format!("change: {change}")));
        if self.findings.is_empty() {
            lines.push("no errors, no warnings".to_owned());
        }
        lines.join("\n")
    }
}

/// Runs the command. Returns the text to print, and whether the document has errors.
///
/// # Errors
///
/// Any [`enum@Error`]; errors in the document that is checked are part of the text.
pub fn run(options: &cli::Check) -> Result<(String, bool), Error> {
    let in_force = options.in_force.as_deref().map(read_in_force).transpose()?;
    let outcome = Outcome::new(&read(&options.file)?, in_force.as_ref());
    let text = match options.json {
        true => serde_json::to_string_pretty(&outcome)?,
        false => outcome.to_text(),
    };
    Ok((text, outcome.has_errors()))
}

fn read(path: &Path) -> Result<Vec<u8>, Error> {
    std::fs::read(path).map_err(|source| Error::File { path: path.to_owned(), source })
}

fn read_in_force(path: &Path) -> Result<Document, Error> {
    let in_force = configuration::outline(&read(path)?);
    in_force.map_err(|error| Error::InForce { path: path.to_owned(), reason: error.to_string() })
}
