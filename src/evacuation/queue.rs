//! Order in which one host moves its generations away from the engines of an evacuated domain.

use std::collections::HashMap;

use crate::name;

/// Time after a move that failed in which the same generation is not moved, in milliseconds.
const RETRY_MS: u64 = 2_000;

/// A generation in a [`Queue`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Ticket(u64);

#[derive(Clone, Copy, Debug)]
struct Waiting {
    /// Tokens that the generation will still produce, at most.
    remaining: u64,
    /// When it may be moved, in milliseconds.
    from_ms: u64,
}

#[derive(Debug, Default)]
struct Engine {
    moving: Option<Ticket>,
    waiting: HashMap<Ticket, Waiting>,
}

/// Generations of this host at engines of evacuated domains.
#[derive(Debug, Default)]
pub struct Queue {
    next: u64,
    engines: HashMap<name::Server, Engine>,
}

impl Queue {
    /// An empty queue.
    ///
    /// ```
    /// use nutmeghead::{evacuation::Queue, name};
    /// let (mut queue, engine) = (Queue::new(), name::Server::new("e-1")?);
    /// let (short, long) = (queue.enter(&engine), queue.enter(&engine));
    /// queue.set_remaining(&engine, short, 90);
    /// queue.set_remaining(&engine, long, 400);
    /// assert!(!queue.try_begin(&engine, short, 0) && queue.try_begin(&engine, long, 0));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a generation at `engine`.
    pub fn enter(&mut self, engine: &name::Server) -> Ticket {
        let ticket = Ticket(self.next);
        self.next += 1;
        let waiting = Waiting { remaining: 0, from_ms: 0 };
        self.engines.entry(engine.clone()).or_default().waiting.insert(ticket, waiting);
        ticket
    }

    /// Sets how many tokens a generation will still produce, at most.
    pub fn set_remaining(&mut self, engine: &name::Server, ticket: Ticket, remaining: u64) {
        let waiting = self.engines.get_mut(engine).and_then(|e| e.waiting.get_mut(&ticket));
        if let Some(waiting) = waiting {
            waiting.remaining = remaining;
        }
    }

    /// Begins the move of a generation if none is being moved away from `engine` and no other that may be moved has more
    /// tokens to produce. Returns whether it began.
    pub fn try_begin(&mut self, engine: &name::Server, ticket: Ticket, now_ms: u64) -> bool {
        let Some(engine) = self.engines.get_mut(engine) else { return false };
        let ready = engine.waiting.iter().filter(|(_, waiting)| waiting.from_ms <= now_ms);
        let largest = ready.max_by_key(|(ticket, waiting)| (waiting.remaining, **ticket));
        if engine.moving.is_some() || largest.is_none_or(|(largest, _)| *largest != ticket) {
            return false;
        }
        engine.moving = Some(ticket);
        true
    }

    /// Ends a move that failed. The generation may be moved again a little later.
    pub fn fail(&mut self, engine: &name::Server, ticket: Ticket, now_ms: u64) {
        let Some(engine) = self.engines.get_mut(engine) else { return };
        engine.moving.take_if(|moving| *moving == ticket);
        if let Some(waiting) = engine.waiting.get_mut(&ticket) {
            waiting.from_ms = now_ms + RETRY_MS;
        }
    }

    /// Removes a generation that has ended or was moved.
    pub fn leave(&mut self, engine: &name::Server, ticket: Ticket) {
        let Some(entry) = self.engines.get_mut(engine) else { return };
        entry.moving.take_if(|moving| *moving == ticket);
        entry.waiting.remove(&ticket);
        if entry.waiting.is_empty() {
            self.engines.remove(engine);
        }
    }
}
