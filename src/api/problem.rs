//! Error responses to callers: problem documents (RFC 9457).

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use super::Body;

/// Whether a request without a complete response ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run and can be sent again.
    NotRun,
    /// It is not known whether it ran.
    Unknown,
    /// It ran partly.
    Interrupted,
}

impl Outcome {
    /// The value in problem documents and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::NotRun => "not_run",
            Self::Unknown => "unknown",
            Self::Interrupted => "interrupted",
        }
    }
}

macro_rules! kinds {
    ($($(#[$doc:meta])* $kind:ident => $status:ident, $outcome:ident, $slug:literal, $title:literal;)*) => {
        /// The kind of a problem.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            fn attributes(self) -> (StatusCode, Outcome, &'static str, &'static str) {
                match self {
                    $(Self::$kind => (StatusCode::$status, Outcome::$outcome, $slug, $title),)*
                }
            }
        }
    };
}

kinds! {
    /// No document is in force.
    NotReady => SERVICE_UNAVAILABLE, NotRun, "not-ready", "This entry host has no configuration yet";
    /// The node accepts no new requests because it is shutting down.
    Draining => SERVICE_UNAVAILABLE, NotRun, "draining", "This entry host is shutting down";
    /// All connections of the host are in use.
    Crowded => SERVICE_UNAVAILABLE, NotRun, "crowded", "This entry host has too many connections";
    /// The bearer key is missing or not known.
    Unauthorized => UNAUTHORIZED, NotRun, "unauthorized", "The bearer key is missing or not known";
    /// The path does not exist.
    NotFound => NOT_FOUND, NotRun, "not-found", "There is nothing at this path";
    /// The path does not support the method.
    MethodNotAllowed => METHOD_NOT_ALLOWED, NotRun, "method", "The path does not take this method";
    /// The body is not a valid request.
    Malformed => BAD_REQUEST, NotRun, "malformed", "The request is malformed";
    /// The body is too large.
    TooLarge => PAYLOAD_TOO_LARGE, NotRun, "too-large", "The request is too large";
    /// The body did not arrive in time.
    RequestTimeout => REQUEST_TIMEOUT, NotRun, "timeout", "The request did not arrive in time";
    /// The model is not in the document.
    UnknownModel => NOT_FOUND, NotRun, "unknown-model", "The model is not known";
    /// The service is not in the document.
    UnknownService => NOT_FOUND, NotRun, "unknown-service", "The service is not known";
    /// The workload is not in the document.
    UnknownWorkload => BAD_REQUEST, NotRun, "unknown-workload", "The workload is not known";
    /// The organisation has too many open requests.
    TooManyRequests => TOO_MANY_REQUESTS, NotRun, "too-many", "The organisation has too many open requests";
    /// No engine or backend server can accept the request at present.
    Busy => SERVICE_UNAVAILABLE, NotRun, "busy", "No engine or backend server can take the request for now";
    /// Servers crashed under other requests with the same content.
    Quarantined => SERVICE_UNAVAILABLE, NotRun, "quarantined", "Servers crashed under requests with the same content";
    /// The resume token is not valid.
    InvalidResumeToken => FORBIDDEN, NotRun, "bad-resume-token", "The resume token is not valid";
    /// The generation can no longer be read.
    Gone => GONE, Interrupted, "gone", "The generation can no longer be read";
    /// The engine failed while the generation ran.
    Interrupted => BAD_GATEWAY, Interrupted, "interrupted", "The engine failed before the answer was whole";
    /// The backend server failed, and the call may have run.
    UnknownOutcome => BAD_GATEWAY, Unknown, "unknown-outcome", "The call may have run";
    /// The engine rejected the request as invalid.
    Rejected => BAD_REQUEST, NotRun, "rejected", "The engine refused the request";
    /// A call that is not idempotent lacks a valid idempotency key.
    KeyRequired => BAD_REQUEST, NotRun, "key-required", "The call needs an Idempotency-Key that is a UUIDv7";
    /// The idempotency key is outside the retention window.
    KeyExpired => UNPROCESSABLE_ENTITY, NotRun, "key-expired", "The Idempotency-Key is outside the retained window";
    /// The idempotency key was used for another call.
    KeyReused => UNPROCESSABLE_ENTITY, NotRun, "key-reused", "The Idempotency-Key was used for another call";
    /// A call with this idempotency key is in progress.
    InProgress => CONFLICT, Unknown, "in-progress", "The call with this Idempotency-Key is in progress";
    /// The platform's log is unavailable, so the call was not started.
    LogUnavailable => SERVICE_UNAVAILABLE, NotRun, "log-down", "The platform's log cannot record the call now";
}

/// A problem reported to a caller.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// The kind of the problem.
    pub kind: Kind,
    /// Time to wait before a retry. Always set for problems with [`Outcome::NotRun`] that a later retry may resolve.
    pub retry_after: Option<Duration>,
    /// Details of this occurrence.
    pub detail: Option<String>,
}

#[derive(Serialize)]
struct Document<'a> {
    #[serde(rename = "type")]
    uri: String,
    title: &'a str,
    status: u16,
    outcome: Outcome,
    #[serde(skip_serializing_if = "Option::is_none")]
    retry_after_s: Option<u64>,
    #[serde(skip_serializing_if = "Option::is_none")]
    detail: Option<&'a str>,
}

impl Problem {
    /// Creates a problem without details. With [`Outcome::NotRun`], `retry_after` is one second.
    ///
    /// ```
    /// use nutmeghead::api::problem::{Kind, Problem};
    /// assert!(Problem::new(Kind::Busy).retry_after.is_some());
    /// ```
    pub fn new(kind: Kind) -> Self {
        let (_, outcome, ..) = kind.attributes();
        let retry_after = (outcome == Outcome::NotRun).then_some(Duration::from_secs(1));
        Self { kind, retry_after, detail: None }
    }

    /// Sets the time to wait before a retry.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Sets the details of this occurrence.
    #[must_use]
    pub fn with_detail(self, detail: impl ToString) -> Self {
        Self { detail: Some(detail.to_string()), ..self }
    }

    /// Whether the request ran.
    pub fn outcome(&self) -> Outcome {
        self.kind.attributes().1
    }

    /// Encodes the problem document as JSON.
    pub fn to_json(&self) -> Bytes {
        let (status, outcome, slug, title) = self.kind.attributes();
        let document = Document {
            uri: format!("urn:nutmeghead:problem:{slug}"),
            title,
            status: status.as_u16(),
            outcome,
            retry_after_s: self.retry_after.map(ceil_seconds),
            detail: self.detail.as_deref(),
        };
        // A struct of strings and numbers can always be encoded as JSON.
        serde_json::to_vec(&document).unwrap_or_default().into()
    }

    /// Converts the problem to a response.
    pub fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.to_json()));
        *response.status_mut() = self.kind.attributes().0;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(retry_after) = self.retry_after {
            headers.insert(header::RETRY_AFTER, ceil_seconds(retry_after).into());
        }
        response
    }
}

/// Rounds up, because `Retry-After` is in whole seconds. At least 1.
fn ceil_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1_000).max(1) as u64
}
