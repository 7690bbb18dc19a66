//! Output formats of a generation: an event stream, or one JSON document with the complete text.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use serde::Serialize;
use uuid::Uuid;

use super::Body;
use super::problem::{Kind, Problem};
use super::relay::{Interruption, Sink};
use crate::{engine, resume};

/// Resets a sink for a new generation.
pub(super) trait Prepare {
    fn prepare(&mut self, key: &resume::Key, identity: &resume::Identity) -> Result<(), Problem>;
}

/// Encodes tokens as server-sent events with signed resume tokens as ids.
#[derive(Default)]
pub(super) struct Events {
    signer: Option<resume::Signer>,
    buffer: Vec<u8>,
}

impl Events {
    pub(super) fn new(key: &resume::Key, identity: &resume::Identity) -> Result<Self, Problem> {
        let mut events = Self::default();
        events.prepare(key, identity)?;
        Ok(events)
    }

    /// Whether no bytes are waiting to be sent.
    pub(super) fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }

    /// Writes the event that ends a complete generation.
    pub(super) fn write_done(&mut self) {
        self.buffer.extend_from_slice(b"data: [DONE]\n\n");
    }

    /// Removes and returns the bytes that are waiting to be sent.
    pub(super) fn take_buffered(&mut self) -> Bytes {
        std::mem::take(&mut self.buffer).into()
    }

    pub(super) fn write_interruption(&mut self, interruption: Interruption) {
        let problem = Problem::new(Kind::Interrupted)
            .with_retry_after(Duration::from_secs(1))
            .with_detail(interruption);
        self.buffer.extend_from_slice(b"event: error\ndata: ");
        self.buffer.extend_from_slice(&problem.to_json());
        self.buffer.extend_from_slice(b"\n\n");
    }
}

impl Prepare for Events {
    fn prepare(&mut self, key: &resume::Key, identity: &resume::Identity) -> Result<(), Problem> {
        self.buffer.clear();
        // Encoding fails only if a name exceeds the message size limit, and the length of names is limited.
        self.signer = Some(key.signer(identity).map_err(|_| Problem::new(Kind::Interrupted))?);
        Ok(())
    }
}

impl Sink for Events {
    fn write_token(&mut self, next: u64, data: &Bytes, _: &engine::Chunk<'_>) {
        let Some(signer) = &self.signer else { return };
        self.buffer.extend_from_slice(b"id: ");
        signer.write(next, &mut self.buffer);
        self.buffer.extend_from_slice(b"\ndata: ");
        self.buffer.extend_from_slice(data);
        self.buffer.extend_from_slice(b"\n\n");
    }
}

/// Concatenates the text of tokens.
#[derive(Default)]
pub(super) struct Text {
    text: String,
    tokens: u64,
    finish_reason: Option<String>,
}

impl Prepare for Text {
    fn prepare(&mut self, _: &resume::Key, _: &resume::Identity) -> Result<(), Problem> {
        *self = Self::default();
        Ok(())
    }
}

impl Sink for Text {
    fn write_token(&mut self, next: u64, _: &Bytes, chunk: &engine::Chunk<'_>) {
        let choice = &chunk.choices[0];
        // The text was already parsed as JSON, so this fails only if the engine sent another type than a string.
        let text: String = serde_json::from_str(choice.text.get()).unwrap_or_default();
        self.text.push_str(&text);
        self.tokens = next;
        self.finish_reason = choice.finish_reason.map(str::to_owned);
    }
}

#[derive(Serialize)]
struct Completion<'a> {
    id: String,
    object: &'static str,
    model: &'a str,
    choices: [Choice<'a>; 1],
    usage: Usage,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    text: &'a str,
    finish_reason: Option<&'a str>,
}

#[derive(Serialize)]
struct Usage {
    completion_tokens: u64,
}

pub(super) fn text_response(generation: Uuid, model: &str, sink: &Text) -> Response<Body> {
    let choice =
        Choice { index: 0, text: &sink.text, finish_reason: sink.finish_reason.as_deref() };
    let completion = Completion {
        id: generation.to_string(),
        object: "text_completion",
        model,
        choices: [choice],
        usage: Usage { completion_tokens: sink.tokens },
    };
    // A struct of strings and numbers can always be encoded as JSON.
    let body = serde_json::to_vec(&completion).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
