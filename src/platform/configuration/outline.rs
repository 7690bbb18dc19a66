//! A document as its operator wrote it, for the check before it is sent.

use super::{Error, Parts, read};
use crate::check::{self, Rule, Service};

/// Parses a document without dropping entries that replace each other. A part that hosts leave out is an error.
pub(crate) fn outline(bytes: &[u8]) -> Result<check::Document, Error> {
    let (parts, left_out) = read(bytes)?;
    match left_out.into_iter().next() {
        Some(error) => Err(error),
        None => Ok(parts.into()),
    }
}

impl From<Parts> for check::Document {
    fn from(parts: Parts) -> Self {
        let rules = parts.rules.into_iter().filter_map(|rule| {
            Some(Rule { host: rule.host, prefix: rule.prefix, route: rule.route? })
        });
        let services = parts.services.into_iter();
        Self {
            version: parts.version,
            rules: rules.collect(),
            services: services
                .map(|service| Service { name: service.name, pool: service.pool })
                .collect(),
            holders: parts.holders,
        }
    }
}
