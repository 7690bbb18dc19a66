//! What callers are told.

use super::record::Reply;
use super::state::Resolution;

/// Why a call did not run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reason {
    /// The log took no claim.
    #[error("the log service is down")]
    LogDown,
    /// The log's answer was lost and the claim was given up.
    #[error("the claim could not be settled in time")]
    Unconfirmed,
    /// The time in which the call could be dispatched was over.
    #[error("the time to dispatch the call was over")]
    Late,
    /// No backend server took the call.
    #[error("no backend server took the call")]
    NotSent,
    /// Too many outcomes wait for the log.
    #[error("too many outcomes wait for the log service")]
    Busy,
    /// This host is shutting down.
    #[error("this host is shutting down")]
    Draining,
    /// The key is older than the retained window.
    #[error("the idempotency key is older than the retained window")]
    KeyExpired,
    /// The key's time lies too far ahead.
    #[error("the idempotency key lies in the future")]
    KeyAhead,
    /// The log no longer has all records since the key's time.
    #[error("the log service no longer has the history of the idempotency key")]
    HistoryGone,
}

/// What became of a call handed to [`super::Service::run`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<R> {
    /// It ran now.
    Ran(R),
    /// It ran before, with this response.
    Recorded(Reply),
    /// Another attempt with the key may be running.
    InProgress {
        /// When to ask again, in seconds.
        retry_after_s: u64,
    },
    /// It may have run.
    Unknown {
        /// When to ask again, in seconds.
        retry_after_s: u64,
    },
    /// This attempt did not run and never will.
    NotRun {
        /// Why.
        reason: Reason,
        /// When to come back, in seconds.
        retry_after_s: u64,
    },
    /// The key was used for another request.
    Conflict,
    /// The key is out of the window. This attempt did not run; an earlier one may have.
    Expired {
        /// Why.
        reason: Reason,
        /// When to come back with a new key, in seconds.
        retry_after_s: u64,
    },
}

impl<R> Verdict<R> {
    /// When to come back, in seconds; `None` where there is nothing to come back for.
    ///
    /// ```
    /// use nutmeghead::claim::Verdict;
    /// assert_eq!(Verdict::<()>::InProgress { retry_after_s: 2 }.retry_after_s(), Some(2));
    /// ```
    pub fn retry_after_s(&self) -> Option<u64> {
        match self {
            Self::InProgress { retry_after_s }
            | Self::Unknown { retry_after_s }
            | Self::NotRun { retry_after_s, .. }
            | Self::Expired { retry_after_s, .. } => Some(*retry_after_s),
            Self::Ran(_) | Self::Recorded(_) | Self::Conflict => None,
        }
    }

    /// A short name for counters.
    pub fn label(&self) -> &'static str {
        match self {
            Self::Ran(_) => "ran",
            Self::Recorded(_) => "recorded",
            Self::InProgress { .. } => "in_progress",
            Self::Unknown { .. } => "unknown",
            Self::NotRun { .. } => "not_run",
            Self::Conflict => "conflict",
            Self::Expired { .. } => "expired",
        }
    }
}

/// A dispatched call that was answered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed<R> {
    /// The response for the caller.
    pub response: R,
    /// What is kept of it for repeats.
    pub reply: Reply,
}

/// Why a dispatched call was not answered.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// Not a byte of it reached a backend server.
    #[error("the call was not sent")]
    NotSent,
    /// It may have reached a backend server.
    #[error("the call was sent and not answered")]
    Unknown,
}

/// What became of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// No call with the key ran so far, or none is known.
    NotRun,
    /// A call with the key may be running.
    InProgress {
        /// When to ask again, in seconds.
        retry_after_s: u64,
    },
    /// The call ran, with this response.
    Done(Reply),
    /// The call may have run.
    Unknown,
    /// The key is out of the window.
    Expired,
    /// The log is down and this host's memory cannot tell.
    Unavailable {
        /// When to ask again, in seconds.
        retry_after_s: u64,
    },
}

impl Status {
    pub(crate) fn from_resolution(resolution: Option<Resolution>, retry_after_s: u64) -> Self {
        match resolution {
            None => Self::Unavailable { retry_after_s },
            Some(Resolution::Unclaimed | Resolution::Withdrawn | Resolution::KeyAhead) => {
                Self::NotRun
            }
            Some(Resolution::InProgress(_) | Resolution::Won) => Self::InProgress { retry_after_s },
            Some(Resolution::Done(reply)) => Self::Done(reply),
            Some(Resolution::Unknown | Resolution::Conflict) => Self::Unknown,
            Some(Resolution::HistoryMissing) => Self::Expired,
        }
    }
}
