//! What is made of a generation's tokens: events for a stream, or one whole text.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, header};
use serde::Serialize;
use uuid::Uuid;

use super::Body;
use super::problem::{Kind, Problem};
use super::relay::{Interruption, Sink};
use crate::{engine, resume};

/// Gets a sink ready for a new generation.
pub(super) trait Prepare {
    fn prepare(&mut self, key: &resume::Key, identity: &resume::Identity) -> Result<(), Problem>;
}

/// Writes tokens as events with signed resume tokens.
#[derive(Default)]
pub(super) struct Events {
    signer: Option<resume::Signer>,
    out: Vec<u8>,
}

impl Events {
    pub(super) fn new(key: &resume::Key, identity: &resume::Identity) -> Result<Self, Problem> {
        let mut events = Self::default();
        events.prepare(key, identity)?;
        Ok(events)
    }

    /// Whether nothing waits to be sent.
    pub(super) fn is_empty(&self) -> bool {
        self.out.is_empty()
    }

    /// Writes the end of a whole generation.
    pub(super) fn end(&mut self) {
        self.out.extend_from_slice(b"data: [DONE]\n\n");
    }

    /// What waits to be sent.
    pub(super) fn take(&mut self) -> Bytes {
        std::mem::take(&mut self.out).into()
    }

    pub(super) fn interrupted(&mut self, interruption: Interruption) {
        let problem = Problem::new(Kind::Interrupted)
            .with_retry_after(Duration::from_secs(1))
            .with_detail(interruption);
        self.out.extend_from_slice(b"event: error\ndata: ");
        self.out.extend_from_slice(&problem.to_json());
        self.out.extend_from_slice(b"\n\n");
    }
}

impl Prepare for Events {
    fn prepare(&mut self, key: &resume::Key, identity: &resume::Identity) -> Result<(), Problem> {
        self.out.clear();
        // Only a name beyond the wire's limit fails to encode, and names are bounded.
        self.signer = Some(key.signer(identity).map_err(|_| Problem::new(Kind::Interrupted))?);
        Ok(())
    }
}

impl Sink for Events {
    fn token(&mut self, next: u64, data: &Bytes, _: &engine::Chunk<'_>) {
        let Some(signer) = &self.signer else { return };
        self.out.extend_from_slice(b"id: ");
        signer.write(next, &mut self.out);
        self.out.extend_from_slice(b"\ndata: ");
        self.out.extend_from_slice(data);
        self.out.extend_from_slice(b"\n\n");
    }
}

/// Puts tokens together.
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
    fn token(&mut self, next: u64, _: &Bytes, chunk: &engine::Chunk<'_>) {
        let choice = &chunk.choices[0];
        // The text was parsed as JSON once, so it can only be a JSON string or a malformed token.
        let text: String = serde_json::from_str(choice.text.get()).unwrap_or_default();
        self.text.push_str(&text);
        self.tokens = next;
        self.finish_reason = choice.finish_reason.map(str::to_owned);
    }
}

#[derive(Serialize)]
struct Answer<'a> {
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

pub(super) fn whole(generation: Uuid, model: &str, sink: &Text) -> Response<Body> {
    let choice =
        Choice { index: 0, text: &sink.text, finish_reason: sink.finish_reason.as_deref() };
    let answer = Answer {
        id: generation.to_string(),
        object: "text_completion",
        model,
        choices: [choice],
        usage: Usage { completion_tokens: sink.tokens },
    };
    // A struct of strings and numbers always has a JSON form.
    let body = serde_json::to_vec(&answer).unwrap_or_default();
    let mut response = Response::new(Body::from(Bytes::from(body)));
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    response
}
