//! The configuration document of an environment.

mod active;
mod check;
mod error;
mod model;
#[cfg(test)]
mod tests;

pub use active::*;
pub use error::*;
pub use model::*;

/// Largest document, in bytes. A document and its version fit in one message between entry hosts.
pub const MAX_DOCUMENT_BYTES: usize = (1 << 20) - 4096;

/// Parses `text` and checks its limits, names and cross-references.
///
/// # Errors
///
/// [`Error::Large`] above [`MAX_DOCUMENT_BYTES`], [`Error::Syntax`] if the text is not TOML with the expected keys and
/// types, [`Error::Invalid`] with the violations if a check fails.
///
/// ```
/// let error = nutmeghead::document::parse("organisations = 7").unwrap_err();
/// assert!(matches!(error, nutmeghead::document::Error::Syntax { .. }));
/// ```
pub fn parse(text: &str) -> Result<Document, Error> {
    if text.len() > MAX_DOCUMENT_BYTES {
        return Err(Error::Large { size: text.len() });
    }
    let document: Document = toml::from_str(text).map_err(|e| Error::syntax(text, e))?;
    let violations = check::violations(&document);
    if violations.is_empty() {
        return Ok(document);
    }
    Err(Error::invalid(text, violations))
}
