//! Decides which events of a generation to deliver, so that each token is delivered once and in order. Used by
//! `api::relay`; `entry::relay`, which forwards events unchanged, uses [`crate::sse::Splitter`] instead.

use uuid::Uuid;

use crate::engine;

#[cfg(test)]
mod tests;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// The event has the next token, which must be delivered.
    Deliver,
    /// The token was already delivered.
    Duplicate,
    /// The event belongs to another generation or attempt.
    Mismatched,
    /// Tokens before the event are missing and must be requested again.
    Gap,
}

/// The position in a generation up to which tokens were delivered.
#[derive(Clone, Debug)]
pub struct Cursor {
    generation: Uuid,
    generation_text: String,
    attempt_text: String,
    next: u64,
}

impl Cursor {
    /// A cursor for the generation of `attempt`, which expects the token with index `next`.
    pub fn new(generation: Uuid, attempt: Uuid, next: u64) -> Self {
        Self {
            generation,
            generation_text: generation.to_string(),
            attempt_text: attempt.to_string(),
            next,
        }
    }

    /// The id of the generation.
    pub fn generation(&self) -> Uuid {
        self.generation
    }

    /// Index of the next token to deliver.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Decides on the event `chunk` with token index `index`. Advances the cursor on [`Decision::Deliver`].
    pub fn accept(&mut self, index: u64, chunk: &engine::Chunk<'_>) -> Decision {
        if chunk.id != self.generation_text || chunk.request_id != self.attempt_text {
            return Decision::Mismatched;
        }
        if index < self.next {
            return Decision::Duplicate;
        }
        if index > self.next {
            return Decision::Gap;
        }
        self.next += 1;
        Decision::Deliver
    }
}
