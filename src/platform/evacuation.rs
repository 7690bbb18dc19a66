//! Records with which the operator evacuates failure domains.

use crate::evacuation::Record;
use crate::name;

/// Start of the keys of these records, which the name of the domain follows.
const PREFIX: &str = "evacuate/";

/// The record with this key; `None` if it does not concern an evacuation. `is_present` is false for a removal.
///
/// # Errors
///
/// Returns a [`name::Error`] if the key does not end with the name of a domain.
pub(crate) fn parse(key: &str, is_present: bool) -> Option<Result<Record, name::Error>> {
    let domain = key.strip_prefix(PREFIX)?;
    let record = |domain| Record { domain, is_evacuated: is_present };
    Some(name::Domain::new(domain).map(record))
}
