//! A call to be run at most once, and the right to dispatch it.

use super::key::{Fingerprint, Key};
use crate::clock::{Clock, Reading};
use crate::name;

/// Time after a claim in which its holder may dispatch, in milliseconds.
pub const DISPATCH_WINDOW_MS: u32 = 6_000;

/// Says which hosts look after what, as this host sees it now.
pub trait Placement: Clone + Send + Sync + 'static {
    /// The hosts for `topic`, best first, by rendezvous hashing over the live members; at most `count`.
    fn owners(&self, topic: &str, count: usize) -> Vec<name::Host>;
}

/// A non-idempotent call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// The caller's key.
    pub key: Key,
    /// What the call asks for.
    pub fingerprint: Fingerprint,
    /// Time allowed for the call once dispatched, in milliseconds.
    pub timeout_ms: u32,
}

/// The right to dispatch a call once, for a limited time.
#[derive(Clone, Debug)]
pub struct Permit<C> {
    pub(super) clock: C,
    pub(super) start: Reading,
}

impl<C: Clock> Permit<C> {
    /// Whether the right still holds. Ask just before sending, and do not send when it is over.
    pub fn is_valid(&self) -> bool {
        self.clock.read().since(self.start) < u64::from(DISPATCH_WINDOW_MS)
    }
}
