//! The newest record of each key, collected page by page.

use std::collections::HashSet;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use percent_encoding::{AsciiSet, NON_ALPHANUMERIC, utf8_percent_encode};
use serde::Deserialize;
use serde_json::Value;

use super::{Error, MAX_RESPONSE_BYTES, Record};
use crate::lenient;

#[cfg(test)]
mod tests;

/// Most pages of one listing. A store may return a page for each record; the largest fleets have some thousand.
const MAX_PAGES: usize = 4_096;

/// Characters that are escaped in the value of a query: all but the unreserved ones of RFC 3986.
const ESCAPED: &AsciiSet = &NON_ALPHANUMERIC.remove(b'-').remove(b'.').remove(b'_').remove(b'~');

/// Longest key, in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Takes the place of bytes of a key that are not text.
const NOT_TEXT: char = char::REPLACEMENT_CHARACTER;

/// The pages of one listing that were read so far.
#[derive(Debug, Default)]
pub(super) struct Listing {
    records: Vec<Record>,
    /// The cursor of the next page, in the encoding of queries; `None` before the first page.
    cursor: Option<String>,
    /// The cursors of all pages.
    cursors: HashSet<String>,
    /// End offset of the partition when the first page was read.
    end: Option<u64>,
    bytes: usize,
}

impl Listing {
    /// The part of the query that selects the next page.
    pub(super) fn query(&self) -> String {
        self.cursor.as_ref().map_or_else(String::new, |cursor| format!("&after={cursor}"))
    }

    /// Adds the next page. Returns whether it was the last one. Items without a key are left out: they name nothing, and
    /// the next page begins after the last item that has one.
    ///
    /// # Errors
    ///
    /// Returns [`Error::Malformed`] if the page cannot be parsed or the listing does not end: its cursor was used before,
    /// or there are too many pages or bytes.
    pub(super) fn add(&mut self, body: &[u8]) -> Result<bool, Error> {
        self.bytes += body.len();
        let page: Page = lenient::parse(body).map_err(|_| Error::Malformed)?;
        let items: Vec<_> = page.items.parsed().collect();
        // The pages are not one snapshot. Reading on from the end offset of the first page includes all records that are
        // appended while later pages are fetched.
        self.end.get_or_insert(page.end);
        let cursor = items.last().map(|item| cursor(&item.key));
        self.records.extend(items.into_iter().map(Record::from));
        if !page.has_more {
            return Ok(true);
        }
        let cursor = cursor.ok_or(Error::Malformed)?;
        let is_new = self.cursors.insert(cursor.clone());
        self.cursor = Some(cursor);
        if !is_new || self.cursors.len() >= MAX_PAGES || self.bytes > MAX_RESPONSE_BYTES {
            return Err(Error::Malformed);
        }
        Ok(false)
    }

    /// The records, and the offset from which to read on.
    pub(super) fn finish(self) -> (Vec<Record>, u64) {
        (self.records, self.end.unwrap_or(0))
    }
}

/// The cursor after `key`, in the encoding of queries. The bytes of a key that is not text are unknown, so its cursor
/// follows all keys that differ from it from there on: none of them is a name either.
fn cursor(key: &str) -> String {
    match key.split_once(NOT_TEXT) {
        None => utf8_percent_encode(key, ESCAPED).to_string(),
        Some((text, _)) => {
            let rest = MAX_KEY_BYTES.saturating_sub(text.len());
            utf8_percent_encode(text, ESCAPED).to_string() + &"%FF".repeat(rest)
        }
    }
}

/// A page of newest records.
#[derive(Deserialize)]
struct Page {
    items: lenient::List<Item>,
    #[serde(default)]
    has_more: bool,
    end: u64,
}

#[derive(Deserialize)]
struct Item {
    key: String,
    #[serde(default)]
    value: Value,
}

impl From<Item> for Record {
    /// A value that cannot be decoded is empty, as the record of the key exists.
    fn from(item: Item) -> Self {
        let value = item.value.as_str().and_then(|value| STANDARD.decode(value).ok());
        Self { key: item.key, value: Some(value.unwrap_or_default().into()) }
    }
}
