//! Error responses that an entry host generates itself.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};

use super::body::Body;
use super::request::Head;
use crate::platform::headers;

/// Why a request ends without a server's response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Reason {
    /// The head of the request is malformed.
    Malformed,
    /// The caller's version of HTTP cannot show that a stream was interrupted.
    Version,
    /// The body is too large.
    TooLarge,
    /// The body of the request did not arrive completely.
    Incomplete,
    /// The memory of this host for requests is used up.
    Memory,
    /// The prompt exceeds the memory of the engines.
    PromptTooLarge,
    /// This host has as many connections as it can have, and none of them is idle.
    Connections,
    /// No document is cached, or the cached one is too old.
    NoDocument,
    /// The host is shutting down and accepts no new requests.
    Stopping,
    /// No route matches.
    NoRoute,
    /// The document states the route in a way that cannot be used.
    UnusableRoute,
    /// The key is unknown or missing.
    NoKey,
    /// It is not known at which build of the servers the stream began that the request resumes.
    UnknownOrigin,
    /// Servers crashed under other requests with the same content.
    Quarantined,
    /// No server is available.
    NoServer,
    /// All servers are in evacuated failure domains.
    Evacuated,
    /// No engine has free capacity, or the servers stated that they did not run the request.
    Full,
    /// A server may have run the request, but no usable response arrived.
    Lost,
    /// The request timed out.
    Timeout,
}

impl Reason {
    pub(crate) fn as_str(self) -> &'static str {
        match self {
            Self::Malformed => "malformed",
            Self::Version => "version",
            Self::TooLarge => "too_large",
            Self::Incomplete => "incomplete",
            Self::Memory => "memory",
            Self::PromptTooLarge => "prompt_too_large",
            Self::Connections => "connections",
            Self::NoDocument => "no_document",
            Self::Stopping => "stopping",
            Self::NoRoute => "no_route",
            Self::UnusableRoute => "unusable_route",
            Self::NoKey => "no_key",
            Self::UnknownOrigin => "unknown_origin",
            Self::Quarantined => "quarantined",
            Self::NoServer => "no_server",
            Self::Evacuated => "evacuated",
            Self::Full => "full",
            Self::Lost => "lost",
            Self::Timeout => "timeout",
        }
    }

    fn status(self) -> StatusCode {
        match self {
            Self::Malformed | Self::Incomplete => StatusCode::BAD_REQUEST,
            Self::Version => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
            Self::TooLarge | Self::PromptTooLarge => StatusCode::PAYLOAD_TOO_LARGE,
            Self::NoDocument
            | Self::Stopping
            | Self::UnusableRoute
            | Self::UnknownOrigin
            | Self::Quarantined
            | Self::Memory
            | Self::Connections
            | Self::NoServer
            | Self::Evacuated
            | Self::Full => StatusCode::SERVICE_UNAVAILABLE,
            Self::NoRoute => StatusCode::NOT_FOUND,
            Self::NoKey => StatusCode::UNAUTHORIZED,
            Self::Lost => StatusCode::BAD_GATEWAY,
            Self::Timeout => StatusCode::GATEWAY_TIMEOUT,
        }
    }
}

impl Reason {
    /// Whether another host may serve the request, which did not run here.
    pub(crate) fn concerns_this_host(self) -> bool {
        matches!(
            self,
            Self::NoDocument | Self::Stopping | Self::NoServer | Self::Memory | Self::Connections
        )
    }
}

/// The response for `reason`, which is in its extensions, too. `retry_after` is set if the request was not run and a retry may succeed.
pub(crate) fn error_response(
    reason: Reason,
    head: Option<&Head>,
    retry_after: Option<Duration>,
) -> Response<Body> {
    let body = Bytes::from(format!("{{\"error\":\"{}\"}}\n", reason.as_str()));
    let mut response = Response::new(Body::from(body));
    *response.status_mut() = reason.status();
    response.extensions_mut().insert(reason);
    let json = HeaderValue::from_static("application/json");
    response.headers_mut().insert(header::CONTENT_TYPE, json);
    if let Some(delay) = retry_after {
        response.headers_mut().insert(header::RETRY_AFTER, headers::retry_after(delay));
    }
    if let Some(head) = head {
        headers::set_request_id(response.headers_mut(), &head.id);
    }
    response
}
