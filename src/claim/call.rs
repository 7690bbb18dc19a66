//! A non-idempotent call and the permit to dispatch it.

use super::key::{Fingerprint, Key};
use crate::clock::{Clock, Reading};
use crate::name;

/// Time after a claim within which its holder may dispatch the call, in milliseconds.
pub const DISPATCH_WINDOW_MS: u32 = 6_000;

/// Assigns topics to hosts, by the membership view of this host.
pub trait Ownership: Clone + Send + Sync + 'static {
    /// Returns at most `count` live hosts for `topic`, in order of preference by rendezvous hashing.
    fn owners(&self, topic: &str, count: usize) -> Vec<name::Host>;
}

/// A non-idempotent call.
#[derive(Clone, Debug)]
pub struct Call {
    /// The caller's organisation.
    pub organisation: name::Organisation,
    /// The caller's key.
    pub key: Key,
    /// The request's fingerprint.
    pub fingerprint: Fingerprint,
    /// Timeout of the call after dispatch, in milliseconds.
    pub timeout_ms: u32,
}

/// Permission to dispatch a call once, within [`DISPATCH_WINDOW_MS`].
#[derive(Clone, Debug)]
pub struct Permit<C> {
    pub(super) clock: C,
    pub(super) start: Reading,
}

impl<C: Clock> Permit<C> {
    /// Whether the call may still be dispatched. Check immediately before sending.
    pub fn is_valid(&self) -> bool {
        self.clock.read().since(self.start) < u64::from(DISPATCH_WINDOW_MS)
    }
}
