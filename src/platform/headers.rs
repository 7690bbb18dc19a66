//! HTTP headers of requests and responses on the users' platform.

use std::sync::Arc;
use std::time::Duration;

use http::header::{self, HeaderName};
use http::request::Parts;
use http::{HeaderMap, HeaderValue, StatusCode, response};
use uuid::Uuid;

use crate::entry::request::{Checks, Continuation, Head, Outgoing, Prompt, Resumption};
use crate::load::Stated;
use crate::name;
use crate::rate::Limit;

const REQUEST_ID: HeaderName = HeaderName::from_static("nutmeghead-request-id");
/// Remaining time that the caller waits, in milliseconds; a duration despite its name, not a point in time.
const CALLER_TIMEOUT: HeaderName = HeaderName::from_static("nutmeghead-deadline-ms");
/// The parts of the prompt, `ID:TOKENS` each, separated by commas. The last one is not shared.
const PARTS: HeaderName = HeaderName::from_static("nutmeghead-prefix-hash");
/// Prompt length and output limit, in tokens, separated by a comma.
const TOKENS: HeaderName = HeaderName::from_static("nutmeghead-tokens");
const ORGANISATION: HeaderName = HeaderName::from_static("nutmeghead-tenant");
const EXPECTED_SERVER: HeaderName = HeaderName::from_static("nutmeghead-expect-instance");
const EXPECTED_VERSION: HeaderName = HeaderName::from_static("nutmeghead-expect-version");
const URGENCY: HeaderName = HeaderName::from_static("nutmeghead-urgency");
const HOLD: HeaderName = HeaderName::from_static("nutmeghead-hold");
const PIN_DURATION: HeaderName = HeaderName::from_static("nutmeghead-pin-ms");
const KV_BACKUP: HeaderName = HeaderName::from_static("nutmeghead-kv-backup");
const KV_SOURCE: HeaderName = HeaderName::from_static("kv-from");
const KV_FETCH: HeaderName = HeaderName::from_static("kv-fetch");
const LAST_EVENT_ID: HeaderName = HeaderName::from_static("last-event-id");
const RESUMES: HeaderName = HeaderName::from_static("resumes");
const STAMP: HeaderName = HeaderName::from_static("nutmeghead-stamp");
const LEAVING: HeaderName = HeaderName::from_static("server-leaving");
const LIMIT: HeaderName = HeaderName::from_static("server-limit");
/// Requests that the server bears to turn away in a second; it crashes if they are more.
const BRITTLE: HeaderName = HeaderName::from_static("server-brittle");
/// Running and waiting requests, slots, and on some services the time that work takes, in percent of the usual time.
const LOAD: HeaderName = HeaderName::from_static("nutmeghead-load");
/// How long the server stays cold, in milliseconds.
const COLD: HeaderName = HeaderName::from_static("nutmeghead-cold-ms");
const NOT_RUN: HeaderName = HeaderName::from_static("nutmeghead-not-run");
/// On responses to other entry hosts: why this host did not run the request, which another one may serve.
const DECLINED: HeaderName = HeaderName::from_static("nutmeghead-declined");
const KEEP_ALIVE: HeaderName = HeaderName::from_static("keep-alive");

/// Hop-by-hop headers, and headers that hyper derives from the body.
const HOP_BY_HOP_HEADERS: [HeaderName; 11] = [
    header::CONNECTION,
    header::CONTENT_LENGTH,
    header::EXPECT,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
    KEEP_ALIVE,
    HeaderName::from_static("proxy-connection"),
];

/// Headers of callers that are not forwarded: entry hosts consume them or set them themselves.
const RESERVED_HEADERS: [HeaderName; 11] = [
    header::AUTHORIZATION,
    CALLER_TIMEOUT,
    ORGANISATION,
    EXPECTED_SERVER,
    EXPECTED_VERSION,
    URGENCY,
    HOLD,
    PIN_DURATION,
    KV_BACKUP,
    KV_SOURCE,
    KV_FETCH,
];

/// Longest time for which a server gets no requests after one response. Servers run for less.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3_600);

/// Parts of a prompt that are read.
const MAX_PARTS: usize = 32;

/// Why the head of a request is invalid.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub(crate) enum Error {
    /// The request id is missing or is not text.
    #[error("the request id is missing or invalid")]
    Id,
    /// The host is missing or is not text.
    #[error("the host is missing or invalid")]
    Host,
    /// The value of a header cannot be parsed.
    #[error("invalid value of header {0}")]
    Value(&'static str),
}

impl TryFrom<&Parts> for Head {
    type Error = Error;

    fn try_from(parts: &Parts) -> Result<Self, Error> {
        let id = parts.headers.get(REQUEST_ID).ok_or(Error::Id)?;
        let id_text = id.to_str().map_err(|_| Error::Id)?.into();
        let host = match parts.uri.host() {
            Some(host) => host,
            None => host_header(&parts.headers)?,
        };
        Ok(Self {
            id: id.clone(),
            id_text,
            caller_timeout: parse_number(&parts.headers, CALLER_TIMEOUT, "deadline")?
                .map(Duration::from_millis),
            key: bearer(&parts.headers),
            host: host.to_ascii_lowercase(),
            resumption: resumption(&parts.headers),
            prompt: prompt(&parts.headers)?,
            shared_parts: shared_parts(&parts.headers),
            own_part: own_part(&parts.headers),
        })
    }
}

fn resumption(headers: &HeaderMap) -> Option<Resumption> {
    let request = headers.get(RESUMES);
    if request.is_none() && !headers.contains_key(LAST_EVENT_ID) {
        return None;
    }
    Some(Resumption { request: request.and_then(|id| id.to_str().ok()).map(Into::into) })
}

fn host_header(headers: &HeaderMap) -> Result<&str, Error> {
    let host = headers.get(header::HOST).and_then(|host| host.to_str().ok()).ok_or(Error::Host)?;
    Ok(host.rsplit_once(':').map_or(host, |(host, _)| host))
}

fn bearer(headers: &HeaderMap) -> Option<String> {
    let value = headers.get(header::AUTHORIZATION)?.to_str().ok()?;
    let (scheme, key) = value.split_once(' ')?;
    scheme.eq_ignore_ascii_case("bearer").then(|| key.trim().to_owned())
}

fn parse_number(
    headers: &HeaderMap,
    name: HeaderName,
    display_name: &'static str,
) -> Result<Option<u64>, Error> {
    let Some(value) = headers.get(name) else { return Ok(None) };
    let value = value.to_str().ok().and_then(|text| text.trim().parse().ok());
    value.map(Some).ok_or(Error::Value(display_name))
}

fn prompt(headers: &HeaderMap) -> Result<Option<Prompt>, Error> {
    let Some(value) = headers.get(TOKENS) else { return Ok(None) };
    let parse = || {
        let (input, output) = value.to_str().ok()?.split_once(',')?;
        Some((input.trim().parse().ok()?, output.trim().parse().ok()?))
    };
    let (input, max_output) = parse().ok_or(Error::Value("tokens"))?;
    Ok(Some(Prompt { input, max_output }))
}

/// The parts of the prompt without the last one, at most [`MAX_PARTS`]. Entries that cannot be parsed are left out.
fn shared_parts(headers: &HeaderMap) -> Arc<[name::Part]> {
    let Some((shared, _)) = parts_value(headers).rsplit_once(',') else { return Arc::default() };
    shared.split(',').filter_map(part).take(MAX_PARTS).collect()
}

/// The last part of the prompt, if there is one that can be parsed.
fn own_part(headers: &HeaderMap) -> Option<name::Part> {
    parts_value(headers).rsplit(',').next().and_then(part)
}

fn parts_value(headers: &HeaderMap) -> &str {
    headers.get(PARTS).and_then(|value| value.to_str().ok()).unwrap_or_default()
}

/// The part of an entry `ID:TOKENS`.
fn part(entry: &str) -> Option<name::Part> {
    name::Part::new(entry.split_once(':').map_or(entry, |(id, _)| id).trim()).ok()
}

/// The caller's headers that are forwarded to servers.
pub(crate) fn forwarded(headers: &HeaderMap) -> HeaderMap {
    let mut forwarded = headers.clone();
    remove_hop_by_hop(&mut forwarded);
    for name in &RESERVED_HEADERS {
        forwarded.remove(name);
    }
    forwarded
}

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn remove_hop_by_hop(headers: &mut HeaderMap) {
    let listed: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in listed.iter().chain(&HOP_BY_HOP_HEADERS) {
        headers.remove(name);
    }
}

/// The headers of a request to `server`. `remaining` is the time until the caller's or the route's timeout.
pub(crate) fn outgoing(
    request: &Outgoing,
    server: &name::Server,
    remaining: Duration,
    continuation: Option<&Continuation>,
) -> HeaderMap {
    let mut headers = request.headers.clone();
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(CALLER_TIMEOUT, remaining_ms.into());
    // Names consist of characters that are valid in header values.
    if let Ok(server) = HeaderValue::from_str(server.as_str()) {
        headers.insert(EXPECTED_SERVER, server);
    }
    let organisation = request.organisation.as_ref();
    if let Some(Ok(name)) = organisation.map(|o| HeaderValue::from_bytes(o.as_str().as_bytes())) {
        headers.insert(ORGANISATION, name);
    }
    if request.head.prompt.is_some() {
        headers.insert(URGENCY, u16::from(request.urgency).into());
    }
    let Some(continuation) = continuation else { return headers };
    if let Some(kv_cache) = &continuation.kv_cache {
        let value = format!("{}/{}", kv_cache.source, kv_cache.handle);
        if let Ok(value) = HeaderValue::from_str(&value) {
            headers.insert(KV_SOURCE, value);
        }
    }
    let last_event = continuation.last_event.as_ref().map(|id| HeaderValue::from_bytes(id));
    if let Some(Ok(last_event)) = last_event {
        headers.insert(LAST_EVENT_ID, last_event);
    }
    headers
}

/// The headers of a request to another entry host, which treats it like the caller's. `remaining` is the time until the
/// caller's or the route's timeout.
pub(crate) fn to_host(request: &Outgoing, remaining: Duration) -> HeaderMap {
    let mut headers = request.headers.clone();
    let remaining_ms = u64::try_from(remaining.as_millis()).unwrap_or(u64::MAX);
    headers.insert(CALLER_TIMEOUT, remaining_ms.into());
    let key = request.head.key.as_ref().map(|key| HeaderValue::from_str(&format!("Bearer {key}")));
    if let Some(Ok(mut key)) = key {
        key.set_sensitive(true);
        headers.insert(header::AUTHORIZATION, key);
    }
    headers
}

/// Marks a response to another entry host: the request did not run here, and another host may serve it.
pub(crate) fn set_declined(headers: &mut HeaderMap, reason: &'static str) {
    headers.insert(DECLINED, HeaderValue::from_static(reason));
}

/// Whether another entry host marked its response with [`set_declined`].
pub(crate) fn is_declined(headers: &HeaderMap) -> bool {
    headers.contains_key(DECLINED)
}

/// Parses the head of the response to the request with id `id`.
pub(crate) fn reply(head: &response::Parts, id: &HeaderValue) -> Checks {
    let stamped = head.headers.contains_key(STAMP);
    let misdirected = head.status == StatusCode::MISDIRECTED_REQUEST;
    Checks {
        id_matches: id_matches(&head.headers, id),
        stamped,
        misdirected,
        not_run: head.headers.contains_key(NOT_RUN) || (misdirected && !stamped),
        unencoded: !head.headers.contains_key(header::CONTENT_ENCODING),
        // A misdirected request reached another server, which speaks for itself.
        leaving: !misdirected && head.headers.get(LEAVING).is_some_and(|value| value == "1"),
        wait: wait(head),
        limit: limit(head).filter(|_| !misdirected),
        rejections_per_s: rejections_per_s(head).filter(|_| !misdirected),
        stated: stated(head).filter(|_| !misdirected),
        cold_ms: cold_ms(head).filter(|_| !misdirected),
    }
}

/// Whether a response belongs to the request with id `id`, or does not say to which one.
pub(crate) fn id_matches(headers: &HeaderMap, id: &HeaderValue) -> bool {
    headers.get(REQUEST_ID).is_none_or(|echoed| echoed == id)
}

/// An id for a request that this host makes on its own behalf.
pub(crate) fn new_request_id() -> HeaderValue {
    // A UUID is always a valid header value.
    HeaderValue::from_str(&Uuid::new_v4().to_string())
        .unwrap_or_else(|_| HeaderValue::from_static("none"))
}

/// The time that a refusal asks for. Malformed and negative values are ignored, and long ones shortened to
/// [`MAX_WAIT`].
fn wait(head: &response::Parts) -> Option<Duration> {
    let value = head.headers.get(header::RETRY_AFTER)?;
    let seconds: f64 = value.to_str().ok()?.trim().parse().ok()?;
    let refused = head.status == StatusCode::SERVICE_UNAVAILABLE && seconds > 0.0;
    refused.then(|| Duration::try_from_secs_f64(seconds).unwrap_or(MAX_WAIT).min(MAX_WAIT))
}

/// The limit that a server names, in requests a second. Malformed and negative values are ignored.
fn limit(head: &response::Parts) -> Option<Limit> {
    let value = head.headers.get(LIMIT)?.to_str().ok()?;
    Limit::new(value.trim().parse().ok()?)
}

/// The requests that a server bears to turn away in a second. Malformed values are ignored.
fn rejections_per_s(head: &response::Parts) -> Option<u32> {
    let number: f64 = head.headers.get(BRITTLE)?.to_str().ok()?.trim().parse().ok()?;
    (number >= 0.0).then_some(number as u32)
}

/// The load that a server states. Malformed and implausible values are ignored as a whole, further figures are skipped.
fn stated(head: &response::Parts) -> Option<Stated> {
    let mut figures = head.headers.get(LOAD)?.to_str().ok()?.split(',').map(str::trim);
    let mut count = || figures.next()?.parse().ok();
    let (running, waiting, slots) = (count()?, count()?, count()?);
    let percent = figures.next().map(str::parse).transpose().ok()?;
    Stated::new(running, waiting, slots, percent)
}

/// How long a server stays cold, in milliseconds. Malformed and negative values are ignored.
fn cold_ms(head: &response::Parts) -> Option<u64> {
    let number: f64 = head.headers.get(COLD)?.to_str().ok()?.trim().parse().ok()?;
    (number >= 0.0).then_some(number as u64)
}

/// The value of `Retry-After`, in seconds with two decimals.
pub(crate) fn retry_after(delay: Duration) -> HeaderValue {
    let text = format!("{:.2}", delay.as_secs_f64());
    // Digits and a dot are always valid in a header value.
    HeaderValue::from_str(&text).unwrap_or_else(|_| HeaderValue::from_static("1"))
}

/// Sets the request id on a request of this host, or on a response that it generates, as servers do on theirs.
pub(crate) fn set_request_id(headers: &mut HeaderMap, id: &HeaderValue) {
    headers.insert(REQUEST_ID, id.clone());
}
