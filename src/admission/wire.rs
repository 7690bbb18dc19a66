//! Messages about permits between an entry host and an engine's owner.

use serde::{Deserialize, Serialize};

use super::message;
use super::message::Hint;
use crate::name;

/// A request for a permit.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Ask {
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

/// What an entry host says to an engine's owner.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Call {
    /// Asks for a permit; the answer is a [`Reply`], late if the request is held.
    Ask(Ask),
    /// The first token of this generation came.
    Started(u128, u128),
    /// The generation ended after so many tokens.
    Finished(u128, u32),
    /// The request or the generation was given up.
    Cancelled(u128),
    /// The generations still run.
    Renewed(Vec<u128>),
}

/// A message about one engine.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    /// The engine.
    pub engine: name::Engine,
    /// What is said.
    pub call: Call,
}

/// The answer to a request for a permit.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Reply {
    /// The request may start with this priority at the engine.
    Granted(u8, Hint),
    /// The request may not start; come back after so many milliseconds.
    Refused(u32, Hint),
    /// The request waits; ask again with the same attempt for the decision.
    Held(Hint),
}

impl Reply {
    /// How busy the engine is.
    pub fn hint(&self) -> Hint {
        match self {
            Self::Granted(_, hint) | Self::Refused(_, hint) | Self::Held(hint) => *hint,
        }
    }
}

/// Why a message of another entry host is not valid.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq)]
pub enum Error {
    /// The priority is not 0 to 9.
    #[error("priority {0} is above 9")]
    Priority(u8),
    /// The share is not a positive number.
    #[error("share {0} is not above 0")]
    Share(f32),
}

impl From<message::Ask> for Ask {
    fn from(ask: message::Ask) -> Self {
        Self {
            attempt: ask.attempt,
            organisation: ask.organisation,
            share: ask.share as f32,
            workload: ask.workload,
            priority: ask.priority,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            prefix: ask.prefix,
            hold: ask.hold,
        }
    }
}

impl TryFrom<Ask> for message::Ask {
    type Error = Error;

    fn try_from(ask: Ask) -> Result<Self, Error> {
        if ask.priority > 9 {
            return Err(Error::Priority(ask.priority));
        }
        if !ask.share.is_finite() || ask.share <= 0.0 {
            return Err(Error::Share(ask.share));
        }
        Ok(Self {
            attempt: ask.attempt,
            organisation: ask.organisation,
            share: f64::from(ask.share),
            workload: ask.workload,
            priority: ask.priority,
            prompt_tokens: ask.prompt_tokens,
            max_tokens: ask.max_tokens,
            prefix: ask.prefix,
            hold: ask.hold,
        })
    }
}

impl From<message::Answer> for Reply {
    fn from(answer: message::Answer) -> Self {
        match answer {
            message::Answer::Granted { engine_priority, hint } => {
                Self::Granted(engine_priority, hint)
            }
            message::Answer::Refused { retry_after_ms, hint } => {
                Self::Refused(retry_after_ms, hint)
            }
            message::Answer::Held { hint } => Self::Held(hint),
        }
    }
}

impl From<Reply> for message::Answer {
    fn from(reply: Reply) -> Self {
        match reply {
            Reply::Granted(engine_priority, hint) => Self::Granted { engine_priority, hint },
            Reply::Refused(retry_after_ms, hint) => Self::Refused { retry_after_ms, hint },
            Reply::Held(hint) => Self::Held { hint },
        }
    }
}
