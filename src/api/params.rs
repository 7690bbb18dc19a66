//! A completion request as the caller sends it.

use bytes::Bytes;
use serde_json::{Map, Value};
use uuid::Uuid;

use super::problem::{Kind, Problem};

#[cfg(test)]
mod tests;

/// Bytes of a prompt that count as one token when memory is estimated.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the part of a prompt that decides where its prefix is cached, in bytes.
const PREFIX_BYTES: usize = 1_024;

/// Fields that would make an engine give more than one answer or none.
const UNSUPPORTED: [&str; 3] = ["n", "best_of", "echo"];

/// A completion request.
#[derive(Clone, Debug)]
pub struct Ask {
    /// The model, as named by the caller.
    pub model: String,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest length of the answer, in tokens.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt's beginning.
    pub prefix: u64,
    fields: Map<String, Value>,
}

impl Ask {
    /// Reads a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] that says what is wrong.
    pub fn parse(body: &[u8], max_tokens_limit: u32) -> Result<Self, Problem> {
        let fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("the body is not a JSON object: {error}")))?;
        if let Some(field) = UNSUPPORTED.iter().find(|field| is_set(&fields, field)) {
            return Err(malformed(format!("the field {field} is not supported")));
        }
        let model = text(&fields, "model")?.to_owned();
        let prompt = text(&fields, "prompt")?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("the field stream must be true or false")),
        };
        let max_tokens = max_tokens(&fields, max_tokens_limit)?;
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        Ok(Self {
            model,
            stream,
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
            max_tokens,
            prefix: hash(prefix),
            fields,
        })
    }

    /// The request as an engine gets it, for attempt `request`.
    pub fn to_engine(&self, request: Uuid, priority: u8) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), true.into());
        fields.insert("priority".to_owned(), priority.into());
        fields.insert("request_id".to_owned(), request.to_string().into());
        // A map of JSON values always has a JSON form.
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }
}

fn malformed(detail: impl ToString) -> Problem {
    Problem { retry_after: None, ..Problem::new(Kind::Malformed) }.with_detail(detail)
}

fn is_set(fields: &Map<String, Value>, field: &str) -> bool {
    !matches!(fields.get(field), None | Some(Value::Null | Value::Bool(false)))
        && fields.get(field) != Some(&Value::from(1))
}

fn text<'a>(fields: &'a Map<String, Value>, field: &str) -> Result<&'a str, Problem> {
    match fields.get(field) {
        Some(Value::String(text)) => Ok(text),
        Some(_) => Err(malformed(format!("the field {field} must be a string"))),
        None => Err(malformed(format!("the field {field} is missing"))),
    }
}

fn max_tokens(fields: &Map<String, Value>, limit: u32) -> Result<Option<u32>, Problem> {
    let value = match fields.get("max_tokens") {
        None | Some(Value::Null) => return Ok(None),
        Some(value) => value.as_u64().and_then(|value| u32::try_from(value).ok()),
    };
    match value {
        Some(value) if (1..=limit).contains(&value) => Ok(Some(value)),
        _ => {
            Err(malformed(format!("the field max_tokens must be a whole number from 1 to {limit}")))
        }
    }
}

fn hash(bytes: &[u8]) -> u64 {
    let mut first = [0; 8];
    first.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(first)
}
