//! Requests as an entry host receives and forwards them, and the checks of a server's response head.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, HeaderValue, Method};

use crate::fingerprint::Fingerprint;
use crate::homes;
use crate::load::Stated;
use crate::name;
use crate::rate::Limit;

/// Token counts of a request for a model engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Prompt {
    /// Length of the prompt.
    pub(crate) input: u64,
    /// Output limit that the caller requests.
    pub(crate) max_output: u64,
}

/// Output tokens for which capacity is reserved when a generation starts: about two seconds of output. Capacity for
/// later tokens becomes free as other generations end.
const FIRST_OUTPUT_TOKENS: u64 = 200;

/// Longest output of a short generation, in tokens. Such a generation ends within about a second.
const SHORT_OUTPUT_TOKENS: u64 = 100;

/// Parts of a request's content, for logs.
pub(crate) fn join(parts: &[name::Part]) -> String {
    let parts: Vec<_> = parts.iter().map(name::Part::as_str).collect();
    parts.join(",")
}

impl Head {
    /// The shared parts of the prompt, for logs.
    pub(crate) fn parts_text(&self) -> String {
        join(&self.shared_parts)
    }

    /// The parts of the content of the request with this head: the shared parts of its prompt, then the request as a whole,
    /// by which it is recognised if it is sent again.
    pub(crate) fn content(
        &self,
        organisation: Option<&name::Customer>,
        method: &Method,
        target: &str,
        body: &[u8],
    ) -> Arc<[name::Part]> {
        let caller = organisation.map_or("", name::Customer::as_str);
        let request = Fingerprint::new(method.as_str(), target, body).with(&self.host).with(caller);
        let prompt = self.own_part.as_ref().map(|part| request.with(part.as_str()));
        let whole = [Some(request), prompt].into_iter().flatten();
        let whole = whole.filter_map(|fingerprint| name::Part::try_from(fingerprint).ok());
        self.shared_parts.iter().cloned().chain(whole).collect()
    }
}

impl Outgoing {
    /// The parts of the content, for logs.
    pub(crate) fn content_text(&self) -> String {
        join(&self.content)
    }
}

impl Prompt {
    /// Tokens to reserve when the generation starts.
    pub(crate) fn reserved_tokens(&self) -> u64 {
        self.input + self.max_output.min(FIRST_OUTPUT_TOKENS)
    }

    /// Whether the generation ends within about a second.
    pub(crate) fn is_short(&self) -> bool {
        self.max_output <= SHORT_OUTPUT_TOKENS
    }
}

/// A caller's resumption of a stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Resumption {
    /// Id of the request that brought the first event of the stream, if the caller says.
    pub(crate) request: Option<Arc<str>>,
}

/// The fields of a request's head that an entry host uses.
#[derive(Clone, Debug)]
pub(crate) struct Head {
    /// Request id, which the caller sets and servers echo.
    pub(crate) id: HeaderValue,
    /// The id as text, for logs.
    pub(crate) id_text: Arc<str>,
    /// How long the caller waits, from the arrival of the request.
    pub(crate) caller_timeout: Option<Duration>,
    /// The caller's API key.
    pub(crate) key: Option<String>,
    /// Host name without the port, in lower case.
    pub(crate) host: String,
    /// Set if the request resumes a stream.
    pub(crate) resumption: Option<Resumption>,
    /// Set if the request is for a model engine.
    pub(crate) prompt: Option<Prompt>,
    /// The parts of the prompt that other requests may share, in order.
    pub(crate) shared_parts: Arc<[name::Part]>,
    /// The last part of the prompt, which belongs to this request or its session.
    pub(crate) own_part: Option<name::Part>,
}

/// The part of an admitted request that is sent to servers.
#[derive(Clone, Debug)]
pub(crate) struct Outgoing {
    pub(crate) head: Head,
    pub(crate) method: Method,
    /// Path and query.
    pub(crate) target: http::Uri,
    /// The caller's headers, without connection headers and those that entry hosts set.
    pub(crate) headers: HeaderMap,
    pub(crate) body: Bytes,
    /// What of the request may crash servers, see [`Head::content`].
    pub(crate) content: Arc<[name::Part]>,
    /// The organisation that the key belongs to; `None` on a public route.
    pub(crate) organisation: Option<name::Customer>,
    /// 0 is the most urgent.
    pub(crate) urgency: u8,
    /// Whether the request shows if a quarantined part of its prompt still crashes engines. It is sent once.
    pub(crate) is_trial: bool,
    /// Regions in which the request could be served when it was admitted.
    pub(crate) homes: homes::Set,
}

/// The point from which an engine continues a generation that another engine began.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Continuation {
    /// The KV cache to continue with; `None` to repeat the prefill.
    pub(crate) kv_cache: Option<KvCache>,
    /// Id of the last event that this host received.
    pub(crate) last_event: Option<Bytes>,
}

/// A reference to the KV cache of a stopped generation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct KvCache {
    /// The engine that ran the generation.
    pub(crate) source: SocketAddr,
    /// The source's handle for the KV cache.
    pub(crate) handle: String,
}

/// Results of the checks of a server's response head.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Checks {
    /// The response has no request id, or that of the request that was sent.
    pub(crate) id_matches: bool,
    /// The response carries the stamp that shows that a server produced it.
    pub(crate) stamped: bool,
    /// The server did not run the request: it states so, or responds 421 (misdirected) without its stamp.
    pub(crate) not_run: bool,
    /// Another server responded.
    pub(crate) misdirected: bool,
    /// The body has no content encoding.
    pub(crate) unencoded: bool,
    /// The server states that it leaves.
    pub(crate) leaving: bool,
    /// The time for which the server wants no requests from this host.
    pub(crate) wait: Option<Duration>,
    /// The limit that the server names for the requests of all hosts together.
    pub(crate) limit: Option<Limit>,
    /// The requests that the server bears to turn away in a second, if it says.
    pub(crate) rejections_per_s: Option<u32>,
    /// The load that the server states, if it does.
    pub(crate) stated: Option<Stated>,
    /// How long the server stays cold, in milliseconds, if it says.
    pub(crate) cold_ms: Option<u64>,
}
