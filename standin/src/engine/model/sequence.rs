//! One request inside an engine.

use std::ops::Range;

use super::Request;
use super::prefix::Cache;

/// A request with its progress.
#[derive(Debug)]
pub(super) struct Sequence {
    request: Request,
    output_tokens: u32,
    arrival: u64,
    produced: u32,
    /// Tokens to process before the next token can be produced.
    prefill_left: u64,
    /// Tokens that the prefix cache holds for this sequence.
    shared: u32,
    preempted: bool,
}

impl Sequence {
    pub(super) fn new(request: Request, output_tokens: u32, arrival: u64) -> Self {
        Self {
            request,
            output_tokens,
            arrival,
            produced: 0,
            prefill_left: 0,
            shared: 0,
            preempted: false,
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.request.id
    }

    pub(super) fn produced(&self) -> u32 {
        self.produced
    }

    /// Urgency: the smallest is admitted first and preempted last.
    pub(super) fn rank(&self) -> (u8, u64) {
        (self.request.priority, self.arrival)
    }

    pub(super) fn set_priority(&mut self, priority: u8) {
        self.request.priority = priority;
    }

    /// Memory that it holds while running, beside the prefix cache.
    pub(super) fn held(&self) -> u64 {
        self.total() - u64::from(self.shared)
    }

    /// Memory that it would hold if it entered the batch now.
    pub(super) fn need(&self, cache: &Cache) -> u64 {
        self.total() - u64::from(self.hit(cache))
    }

    /// Enters the batch. Returns the tokens that are processed once more because of a preemption.
    pub(super) fn enter(&mut self, cache: &mut Cache) -> u64 {
        let hit = self.hit(cache);
        self.prefill_left = self.total() - u64::from(hit);
        let wanted = self.prefix_tokens();
        let usable = hit > 0 || cache.cached(self.request.prefix) == 0;
        if wanted > 0 && usable && cache.take(self.request.prefix, wanted) {
            self.shared = hit.max(wanted.min(cache.cached(self.request.prefix)));
        }
        if self.preempted { self.prefill_left } else { 0 }
    }

    /// Gives back its use of the prefix cache.
    pub(super) fn leave(&self, cache: &mut Cache) {
        if self.shared > 0 {
            cache.give_back(self.request.prefix);
        }
    }

    pub(super) fn preempt(&mut self) {
        self.shared = 0;
        self.prefill_left = 0;
        self.preempted = true;
    }

    /// Processes up to `limit` prompt tokens and returns how many.
    pub(super) fn prefill(&mut self, limit: u64) -> u64 {
        let done = self.prefill_left.min(limit);
        self.prefill_left -= done;
        done
    }

    pub(super) fn decodes(&self) -> bool {
        self.prefill_left == 0
    }

    /// Produces up to `count` tokens and returns their indices.
    pub(super) fn produce(&mut self, count: u32) -> Range<u32> {
        let first = self.produced;
        self.produced = first.saturating_add(count).min(self.output_tokens);
        first..self.produced
    }

    pub(super) fn is_finished(&self) -> bool {
        self.produced >= self.output_tokens
    }

    fn total(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced)
    }

    fn prefix_tokens(&self) -> u32 {
        self.request.prefix_tokens.min(self.request.prompt_tokens)
    }

    fn hit(&self, cache: &Cache) -> u32 {
        cache.cached(self.request.prefix).min(self.prefix_tokens())
    }
}
