//! Errors as callers see them: problem documents of RFC 9457.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderValue, Response, StatusCode, header};
use serde::Serialize;

use super::Body;

/// What became of a request that has no whole answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Outcome {
    /// It did not run and may be sent again.
    NotRun,
    /// Whether it ran is not known.
    Unknown,
    /// It ran in part.
    Interrupted,
}

impl Outcome {
    /// The word in problem documents and metrics.
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
        /// The kinds of problems.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Kind {
            $($(#[$doc])* $kind,)*
        }

        impl Kind {
            fn parts(self) -> (StatusCode, Outcome, &'static str, &'static str) {
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
    /// The node takes no new work.
    Draining => SERVICE_UNAVAILABLE, NotRun, "draining", "This entry host is shutting down";
    /// There is no bearer key or a wrong one.
    Unauthorized => UNAUTHORIZED, NotRun, "unauthorized", "The bearer key is missing or not known";
    /// No such path.
    NotFound => NOT_FOUND, NotRun, "not-found", "There is nothing at this path";
    /// The path does not take the method.
    Method => METHOD_NOT_ALLOWED, NotRun, "method", "The path does not take this method";
    /// The body is not a valid request.
    Malformed => BAD_REQUEST, NotRun, "malformed", "The request is malformed";
    /// The body is too large.
    TooLarge => PAYLOAD_TOO_LARGE, NotRun, "too-large", "The request is too large";
    /// The body did not arrive in time.
    Timeout => REQUEST_TIMEOUT, NotRun, "timeout", "The request did not arrive in time";
    /// The model is not in the document.
    UnknownModel => NOT_FOUND, NotRun, "unknown-model", "The model is not known";
    /// The service is not in the document.
    UnknownService => NOT_FOUND, NotRun, "unknown-service", "The service is not known";
    /// The workload is not in the document.
    UnknownWorkload => BAD_REQUEST, NotRun, "unknown-workload", "The workload is not known";
    /// The organisation has too many open requests.
    TooMany => TOO_MANY_REQUESTS, NotRun, "too-many", "The organisation has too many open requests";
    /// No engine or backend server can take the request for now.
    Busy => SERVICE_UNAVAILABLE, NotRun, "busy", "No engine or backend server can take the request for now";
    /// The resume token is not valid.
    BadToken => FORBIDDEN, NotRun, "bad-resume-token", "The resume token is not valid";
    /// The generation can no longer be read.
    Gone => GONE, Interrupted, "gone", "The generation can no longer be read";
    /// The engine failed while the generation ran.
    Interrupted => BAD_GATEWAY, Interrupted, "interrupted", "The engine failed before the answer was whole";
    /// The backend server failed and the call may have run.
    Unknown => BAD_GATEWAY, Unknown, "unknown-outcome", "The call may have run";
    /// The engine or backend server refused the request itself.
    Rejected => BAD_REQUEST, NotRun, "rejected", "The engine refused the request";
    /// A call that is not idempotent has no valid idempotency key.
    KeyRequired => BAD_REQUEST, NotRun, "key-required", "The call needs an Idempotency-Key that is a UUIDv7";
    /// The idempotency key is outside the retained window.
    KeyExpired => UNPROCESSABLE_ENTITY, NotRun, "key-expired", "The Idempotency-Key is outside the retained window";
    /// The idempotency key was used for another call.
    KeyReused => UNPROCESSABLE_ENTITY, NotRun, "key-reused", "The Idempotency-Key was used for another call";
    /// The call with this key is in progress.
    InProgress => CONFLICT, Unknown, "in-progress", "The call with this Idempotency-Key is in progress";
    /// The platform's log is down, so the call was not begun.
    LogDown => SERVICE_UNAVAILABLE, NotRun, "log-down", "The platform's log cannot record the call now";
}

/// A problem that a caller is told of.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Problem {
    /// What kind it is.
    pub kind: Kind,
    /// When to come back. Problems with [`Outcome::NotRun`] that time may mend always say so.
    pub retry_after: Option<Duration>,
    /// More about this occurrence.
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
    /// A problem without details. One that time may mend says to come back after a second.
    ///
    /// ```
    /// use nutmeghead::api::problem::{Kind, Problem};
    /// assert!(Problem::new(Kind::Busy).retry_after.is_some());
    /// ```
    pub fn new(kind: Kind) -> Self {
        let (_, outcome, ..) = kind.parts();
        let retry_after = (outcome == Outcome::NotRun).then_some(Duration::from_secs(1));
        Self { kind, retry_after, detail: None }
    }

    /// Sets when to come back.
    #[must_use]
    pub fn with_retry_after(self, retry_after: Duration) -> Self {
        Self { retry_after: Some(retry_after), ..self }
    }

    /// Adds details about this occurrence.
    #[must_use]
    pub fn with_detail(self, detail: impl ToString) -> Self {
        Self { detail: Some(detail.to_string()), ..self }
    }

    /// What became of the request.
    pub fn outcome(&self) -> Outcome {
        self.kind.parts().1
    }

    /// The problem document as JSON.
    pub fn to_json(&self) -> Bytes {
        let (status, outcome, slug, title) = self.kind.parts();
        let document = Document {
            uri: format!("urn:nutmeghead:problem:{slug}"),
            title,
            status: status.as_u16(),
            outcome,
            retry_after_s: self.retry_after.map(whole_seconds),
            detail: self.detail.as_deref(),
        };
        // A struct of strings and numbers always has a JSON form.
        serde_json::to_vec(&document).unwrap_or_default().into()
    }

    /// The problem as a response.
    pub fn to_response(&self) -> Response<Body> {
        let mut response = Response::new(Body::from(self.to_json()));
        *response.status_mut() = self.kind.parts().0;
        let headers = response.headers_mut();
        headers.insert(header::CONTENT_TYPE, HeaderValue::from_static("application/problem+json"));
        if let Some(retry_after) = self.retry_after {
            headers.insert(header::RETRY_AFTER, whole_seconds(retry_after).into());
        }
        response
    }
}

/// Rounds up, since a header holds whole seconds.
fn whole_seconds(time: Duration) -> u64 {
    time.as_millis().div_ceil(1_000).max(1) as u64
}
