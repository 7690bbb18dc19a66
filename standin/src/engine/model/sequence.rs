//! A request that waits or runs in an engine.

use std::ops::Range;

use super::Request;
use super::prefix::Cache;

/// A request and its progress.
#[derive(Debug)]
pub(super) struct Sequence {
    request: Request,
    output_tokens: u32,
    arrival: u64,
    produced: u32,
    /// Tokens to prefill before the next token can be produced.
    prefill_remaining: u64,
    /// Tokens of this sequence that are stored in the prefix cache.
    shared_tokens: u32,
    preempted: bool,
}

impl Sequence {
    pub(super) fn new(request: Request, output_tokens: u32, arrival: u64) -> Self {
        Self {
            request,
            output_tokens,
            arrival,
            produced: 0,
            prefill_remaining: 0,
            shared_tokens: 0,
            preempted: false,
        }
    }

    pub(super) fn id(&self) -> u64 {
        self.request.id
    }

    pub(super) fn produced(&self) -> u32 {
        self.produced
    }

    /// Scheduling order: the smallest is admitted first and preempted last.
    pub(super) fn rank(&self) -> (u8, u64) {
        (self.request.priority, self.arrival)
    }

    pub(super) fn set_priority(&mut self, priority: u8) {
        self.request.priority = priority;
    }

    /// Memory used while running, without the prefix cache, in tokens.
    pub(super) fn memory_tokens(&self) -> u64 {
        self.context_tokens() - u64::from(self.shared_tokens)
    }

    /// Memory required to enter the batch now, without the cached prefix, in tokens.
    pub(super) fn required_tokens(&self, cache: &Cache) -> u64 {
        self.context_tokens() - u64::from(self.cached_tokens(cache))
    }

    /// Enters the batch. Returns the number of tokens to prefill again because of a preemption.
    pub(super) fn enter(&mut self, cache: &mut Cache) -> u64 {
        let cached_tokens = self.cached_tokens(cache);
        self.prefill_remaining = self.context_tokens() - u64::from(cached_tokens);
        let prefix_tokens = self.prefix_tokens();
        let usable = cached_tokens > 0 || cache.cached_tokens(self.request.prefix) == 0;
        if prefix_tokens > 0 && usable && cache.acquire(self.request.prefix, prefix_tokens) {
            self.shared_tokens =
                cached_tokens.max(prefix_tokens.min(cache.cached_tokens(self.request.prefix)));
        }
        if self.preempted { self.prefill_remaining } else { 0 }
    }

    /// Releases its prefix cache entry.
    pub(super) fn release_prefix(&self, cache: &mut Cache) {
        if self.shared_tokens > 0 {
            cache.release(self.request.prefix);
        }
    }

    pub(super) fn preempt(&mut self) {
        self.shared_tokens = 0;
        self.prefill_remaining = 0;
        self.preempted = true;
    }

    /// Prefills up to `limit` tokens and returns how many.
    pub(super) fn prefill(&mut self, limit: u64) -> u64 {
        let done = self.prefill_remaining.min(limit);
        self.prefill_remaining -= done;
        done
    }

    pub(super) fn is_decoding(&self) -> bool {
        self.prefill_remaining == 0
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

    fn context_tokens(&self) -> u64 {
        u64::from(self.request.prompt_tokens) + u64::from(self.produced)
    }

    fn prefix_tokens(&self) -> u32 {
        self.request.prefix_tokens.min(self.request.prompt_tokens)
    }

    fn cached_tokens(&self, cache: &Cache) -> u32 {
        cache.cached_tokens(self.request.prefix).min(self.prefix_tokens())
    }
}
