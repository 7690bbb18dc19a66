//! Messages between an entry host and the owner of an engine.

use serde::{Deserialize, Serialize};

use super::message;
use super::message::Hint;
use crate::name;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Request {
    attempt: u128,
    organisation: name::Organisation,
    share: f32,
    workload: name::Workload,
    priority: u8,
    prompt_tokens: u32,
    max_tokens: Option<u32>,
    prefix: u64,
    hold: bool,
}

/// A call from an entry host to the owner of an engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Requests a permit. The response is a [`Reply`], which is delayed while the request is held.
    Request(Request),
    /// The first token was produced; attempt and generation id.
    Started(u128, u128),
    /// The generation finished; attempt and number of tokens produced.
    Finished(u128, u32),
    /// The request or generation of this attempt was cancelled.
    Cancelled(u128),
    /// Renews the permits of these attempts, whose generations are still running.
    Renewed(Vec<u128>),
}

/// A message about one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The engine.
    pub engine: name::Engine,
    /// The call.
    pub call: Call,
}

/// The reply to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may start, with this priority at the engine.
    Granted(u8, Hint),
    /// The request may not start; retry after this time in milliseconds.
    Refused(u32, Hint),
    /// The request is held; send it again with the same attempt to get the decision.
    Held(Hint),
}

impl Reply {
    /// The load of the engine.
    pub fn hint(&self) -> Hint {
        match self {
            Self::Granted(_, hint) | Self::Refused(_, hint) | Self::Held(hint) => *hint,
        }
    }
}

/// Why a request from another entry host is not valid.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq)]
pub enum Error {
    /// The priority is not 0 to 9.
    #[error("priority {0} is above 9")]
    Priority(u8),
    /// The share is not a positive number.
    #[error("share {0} is not above 0")]
    Share(f32),
}

impl From<message::Request> for Request {
    fn from(request: message::Request) -> Self {
        Self {
            attempt: request.attempt,
            organisation: request.organisation,
            share: request.share as f32,
            workload: request.workload,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix: request.prefix,
            hold: request.hold,
        }
    }
}

impl TryFrom<Request> for message::Request {
    type Error = Error;

    fn try_from(request: Request) -> Result<Self, Error> {
        if request.priority > 9 {
            return Err(Error::Priority(request.priority));
        }
        if !request.share.is_finite() || request.share <= 0.0 {
            return Err(Error::Share(request.share));
        }
        Ok(Self {
            attempt: request.attempt,
            organisation: request.organisation,
            share: f64::from(request.share),
            workload: request.workload,
            priority: request.priority,
            prompt_tokens: request.prompt_tokens,
            max_tokens: request.max_tokens,
            prefix: request.prefix,
            hold: request.hold,
        })
    }
}

impl From<message::Reply> for Reply {
    fn from(reply: message::Reply) -> Self {
        match reply {
            message::Reply::Granted { engine_priority, hint } => {
                Self::Granted(engine_priority, hint)
            }
            message::Reply::Refused { retry_after_ms, hint } => Self::Refused(retry_after_ms, hint),
            message::Reply::Held { hint } => Self::Held(hint),
        }
    }
}

impl From<Reply> for message::Reply {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Granted(engine_priority, hint) => Self::Granted { engine_priority, hint },
            Reply::Refused(retry_after_ms, hint) => Self::Refused { retry_after_ms, hint },
            Reply::Held(hint) => Self::Held { hint },
        }
    }
}
