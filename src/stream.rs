//! What to do with each event of a generation.

use uuid::Uuid;

use crate::engine;

#[cfg(test)]
mod tests;

/// What to do with an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// It is the next token.
    Deliver,
    /// The token was delivered before.
    Late,
    /// The event belongs to another generation or attempt.
    Crossed,
    /// Tokens before it are missing and must be read again.
    Gap,
}

/// The place in a generation up to which tokens were delivered.
#[derive(Clone, Debug)]
pub struct Cursor {
    generation: Uuid,
    generation_text: String,
    request_text: String,
    next: u64,
}

impl Cursor {
    /// A cursor for attempt `request`, whose next token has index `next`.
    pub fn new(generation: Uuid, request: Uuid, next: u64) -> Self {
        Self {
            generation,
            generation_text: generation.to_string(),
            request_text: request.to_string(),
            next,
        }
    }

    /// The generation.
    pub fn generation(&self) -> Uuid {
        self.generation
    }

    /// Index of the next token to deliver.
    pub fn next(&self) -> u64 {
        self.next
    }

    /// Judges the event `chunk` with token index `index`; a token to deliver moves the cursor.
    pub fn accept(&mut self, index: u64, chunk: &engine::Chunk<'_>) -> Verdict {
        if chunk.id != self.generation_text || chunk.request_id != self.request_text {
            return Verdict::Crossed;
        }
        if index < self.next {
            return Verdict::Late;
        }
        if index > self.next {
            return Verdict::Gap;
        }
        self.next += 1;
        Verdict::Deliver
    }
}
