//! Parameters of a completion request.

use bytes::Bytes;
use serde_json::{Map, Value};
use uuid::Uuid;

use super::problem::{Kind, Problem};
use crate::name;

#[cfg(test)]
mod tests;

/// Assumed bytes of a prompt per token, for estimating the memory that the prompt needs.
const BYTES_PER_TOKEN: usize = 4;

/// Length of the hashed prompt prefix, in bytes. Engines that may have the prefix cached are found by the hash.
const PREFIX_BYTES: usize = 1_024;

/// Fields with which an engine would return several completions or none.
const UNSUPPORTED_FIELDS: [&str; 3] = ["n", "best_of", "echo"];

/// The parameters of a completion request.
#[derive(Clone, Debug)]
pub struct Params {
    /// The name of the model, as sent by the caller.
    pub model: String,
    /// Whether the response is streamed.
    pub stream: bool,
    /// Estimated length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Largest number of tokens to generate, if the caller gave one.
    pub max_tokens: Option<u32>,
    /// Hash of the prompt prefix.
    pub prefix: u64,
    /// Names of the prompt prefix, and of the prompt if it is longer, by their hashes.
    pub parts: Vec<name::Part>,
    fields: Map<String, Value>,
}

impl Params {
    /// Parses the body of a request.
    ///
    /// # Errors
    ///
    /// Returns a [`Problem`] of kind [`Kind::Malformed`] with the reason as its detail.
    pub fn parse(body: &[u8], max_tokens_limit: u32) -> Result<Self, Problem> {
        let fields: Map<String, Value> = serde_json::from_slice(body)
            .map_err(|error| malformed(format!("the body is not a JSON object: {error}")))?;
        if let Some(field) =
            UNSUPPORTED_FIELDS.iter().find(|field| differs_from_default(&fields, field))
        {
            return Err(malformed(format!("the field {field} is not supported")));
        }
        let model = required_string(&fields, "model")?.to_owned();
        let prompt = required_string(&fields, "prompt")?;
        let stream = match fields.get("stream") {
            None | Some(Value::Null) => false,
            Some(Value::Bool(stream)) => *stream,
            Some(_) => return Err(malformed("the field stream must be true or false")),
        };
        let max_tokens = max_tokens(&fields, max_tokens_limit)?;
        let prefix = &prompt.as_bytes()[..prompt.len().min(PREFIX_BYTES)];
        let parts = [prefix, prompt.as_bytes()];
        let parts = if prompt.len() > PREFIX_BYTES { &parts[..] } else { &parts[..1] };
        Ok(Self {
            model,
            stream,
            prompt_tokens: u32::try_from(prompt.len() / BYTES_PER_TOKEN + 1).unwrap_or(u32::MAX),
            max_tokens,
            prefix: hash(prefix),
            parts: parts.iter().filter_map(|part| part_name(part)).collect(),
            fields,
        })
    }

    /// Encodes the request to an engine for `attempt`.
    pub fn to_engine_request(&self, attempt: Uuid, priority: u8) -> Bytes {
        let mut fields = self.fields.clone();
        fields.insert("stream".to_owned(), true.into());
        fields.insert("priority".to_owned(), priority.into());
        fields.insert("request_id".to_owned(), attempt.to_string().into());
        // A map of JSON values can always be encoded as JSON.
        serde_json::to_vec(&fields).unwrap_or_default().into()
    }
}

fn malformed(detail: impl ToString) -> Problem {
    Problem { retry_after: None, ..Problem::new(Kind::Malformed) }.with_detail(detail)
}

/// Whether `field` has a value other than its default: null, false or 1.
fn differs_from_default(fields: &Map<String, Value>, field: &str) -> bool {
    !matches!(fields.get(field), None | Some(Value::Null | Value::Bool(false)))
        && fields.get(field) != Some(&Value::from(1))
}

fn required_string<'a>(fields: &'a Map<String, Value>, field: &str) -> Result<&'a str, Problem> {
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

fn part_name(bytes: &[u8]) -> Option<name::Part> {
    name::Part::new(format!("{:016x}", hash(bytes))).ok()
}

fn hash(bytes: &[u8]) -> u64 {
    let mut truncated = [0; 8];
    truncated.copy_from_slice(&blake3::hash(bytes).as_bytes()[..8]);
    u64::from_le_bytes(truncated)
}
