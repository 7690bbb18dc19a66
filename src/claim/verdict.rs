//! Results of calls and status queries, as returned to callers.

use super::record::Reply;
use super::state::Resolution;

/// Why an attempt did not run its call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, thiserror::Error)]
pub enum Reason {
    /// The log accepted no claim.
    #[error("the log service is down")]
    LogDown,
    /// The claim was not confirmed in time and was withdrawn.
    #[error("the claim could not be settled in time")]
    Unconfirmed,
    /// The dispatch window ended before the call was dispatched.
    #[error("the time to dispatch the call was over")]
    DispatchTimeout,
    /// The call was sent to no backend server.
    #[error("no backend server took the call")]
    NotSent,
    /// Too many outcomes are waiting to be appended to the log.
    #[error("too many outcomes wait for the log service")]
    OutcomeBacklog,
    /// This host is shutting down.
    #[error("this host is shutting down")]
    Draining,
    /// The key is older than the retention window of keys.
    #[error("the idempotency key is older than the retained window")]
    KeyExpired,
    /// The timestamp of the key is too far in the future.
    #[error("the idempotency key lies in the future")]
    KeyAhead,
    /// The log no longer retains all records since the key's timestamp.
    #[error("the log service no longer has the history of the idempotency key")]
    HistoryGone,
}

/// The result of [`super::Service::run`].
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Verdict<R> {
    /// This attempt ran the call.
    Ran(R),
    /// An earlier attempt ran the call, with this response.
    Recorded(Reply),
    /// Another attempt with the key may be running.
    InProgress {
        /// Time until a retry, in seconds.
        retry_after_s: u64,
    },
    /// The call may have run.
    Unknown {
        /// Time until a retry, in seconds.
        retry_after_s: u64,
    },
    /// This attempt did not run and never will.
    NotRun {
        /// Why the attempt did not run.
        reason: Reason,
        /// Time until a retry, in seconds.
        retry_after_s: u64,
    },
    /// The key was used for another request.
    Conflict,
    /// The key is too old, or its timestamp is too far in the future. This attempt did not run; an earlier one may
    /// have.
    Expired {
        /// Why the key was refused.
        reason: Reason,
        /// Time until a retry with a new key, in seconds.
        retry_after_s: u64,
    },
}

impl<R> Verdict<R> {
    /// Time until a retry, in seconds; `None` if the verdict is final.
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

    /// The metric label.
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

/// A dispatched call whose response arrived.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Completed<R> {
    /// The response for the caller.
    pub response: R,
    /// The part of the response stored for retries.
    pub reply: Reply,
}

/// Why a call has no response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Failure {
    /// No byte of the call reached a backend server.
    #[error("the call was not sent")]
    NotSent,
    /// The call may have reached a backend server.
    #[error("the call was sent and not answered")]
    Unknown,
}

/// The status of a key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Status {
    /// No call with the key is known to have run.
    NotRun,
    /// A call with the key may be running.
    InProgress {
        /// Time until the next query, in seconds.
        retry_after_s: u64,
    },
    /// The call ran, with this response.
    Done(Reply),
    /// The call may have run.
    Unknown,
    /// The key is too old, or its timestamp is too far in the future.
    Expired,
    /// The log is down and the status is not cached at this host.
    Unavailable {
        /// Time until the next query, in seconds.
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
