//! What an entry host knows of a request and adds to it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};

use crate::name;

/// A prompt for a model engine, in tokens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Length of the prompt.
    pub(crate) input: u64,
    /// Largest output that the caller accepts.
    pub(crate) max_output: u64,
}

/// Tokens of output that are set aside when a generation begins: what it makes in about two seconds. Memory for later
/// ones becomes free as other generations end.
const FIRST_OUTPUT_TOKENS: u64 = 200;

/// Outputs up to this length, in tokens, end within a second or so.
const SHORT_OUTPUT_TOKENS: u64 = 100;

impl Prompt {
    /// Tokens to set aside when the generation begins.
    pub(crate) fn reserve(&self) -> u64 {
        self.input + self.max_output.min(FIRST_OUTPUT_TOKENS)
    }

    /// Whether the generation ends within a second or so.
    pub(crate) fn is_short(&self) -> bool {
        self.max_output <= SHORT_OUTPUT_TOKENS
    }
}

/// What the head of a request says.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// Names this attempt of the caller; engines echo it.
    pub(crate) id: HeaderValue,
    /// The id as text, for logs.
    pub(crate) id_text: Arc<str>,
    /// How long the caller waits, counted from the arrival of the request.
    pub(crate) patience: Option<Duration>,
    /// The caller's secret.
    pub(crate) key: Option<String>,
    /// Host name without a port, in lower case.
    pub(crate) host: String,
    /// Set if a model engine is to generate.
    pub(crate) prompt: Option<Prompt>,
}

/// A whole request, ready to be sent to servers.
#[derive(Clone, Debug)]
pub(crate) struct Whole {
    pub(crate) head: Head,
    pub(crate) method: Method,
    /// Path with the query.
    pub(crate) target: http::Uri,
    /// The caller's headers, without those of its connection and those that entry hosts set.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// Whose key the request bears.
    pub(crate) organisation: Option<name::Organisation>,
    /// 0 is the most urgent.
    pub(crate) urgency: u8,
}

/// Where a generation goes on from.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Continuation {
    /// The memory to go on with, at the engine that held it; `None` to read the prompt again.
    pub(crate) memory: Option<Memory>,
    /// Id of the last event that was received.
    pub(crate) last_event: Option<Bytes>,
}

/// The memory of a generation that an engine keeps or has copied.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Memory {
    /// The engine that ran the generation.
    pub(crate) source: SocketAddr,
    /// The source's name for the copy.
    pub(crate) handle: String,
}

/// What the head of a server's answer says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Reply {
    /// It belongs to the request that was sent.
    pub(crate) matches: bool,
    /// It bears the proof that a server made it.
    pub(crate) stamped: bool,
    /// The server states that it did not run the request.
    pub(crate) not_run: bool,
    /// The body is not encoded, as was asked for.
    pub(crate) plain: bool,
}
