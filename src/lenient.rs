//! JSON values whose parts are parsed one by one: an element or a field that cannot be parsed does not affect the others.

use serde::de::DeserializeOwned;
use serde::{Deserialize, Deserializer};
use serde_json::value::RawValue;

#[cfg(test)]
mod tests;

/// The elements of a list in their order; `None` for those that cannot be parsed.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct List<T>(pub(crate) Vec<Option<T>>);

impl<T> Default for List<T> {
    fn default() -> Self {
        Self(Vec::new())
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for List<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let elements = Vec::<&'de RawValue>::deserialize(deserializer)?;
        let parse = |element: &RawValue| serde_json::from_str(element.get()).ok();
        Ok(Self(elements.into_iter().map(parse).collect()))
    }
}

impl<T> List<T> {
    /// The elements that can be parsed.
    pub(crate) fn parsed(self) -> impl Iterator<Item = T> {
        self.0.into_iter().flatten()
    }
}

/// A field that may be missing or null, or cannot be parsed.
#[derive(Debug)]
pub(crate) struct Field<T>(pub(crate) serde_json::Result<Option<T>>);

impl<T> Default for Field<T> {
    fn default() -> Self {
        Self(Ok(None))
    }
}

impl<'de, T: DeserializeOwned> Deserialize<'de> for Field<T> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        let value = <&'de RawValue>::deserialize(deserializer)?;
        Ok(Self(serde_json::from_str(value.get())))
    }
}

/// Parses a message that contains a [`List`] or a [`Field`]. Bytes that are not text are replaced, as they may be part of one element.
///
/// # Errors
///
/// Returns an error if the message cannot be parsed apart from the elements of its lists.
pub(crate) fn parse<T: DeserializeOwned>(bytes: &[u8]) -> serde_json::Result<T> {
    serde_json::from_str(&String::from_utf8_lossy(bytes))
}
