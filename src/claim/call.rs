//! A non-idempotent call, the window in which its holder may dispatch it, and the hosts that own its partition.

use super::key::Key;
use crate::clock::{Clock, Reading};
use crate::fingerprint::Fingerprint;
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

/// The window in which the holder of a claim may dispatch its call, once: [`DISPATCH_WINDOW_MS`], which start before
/// the claim is appended.
#[derive(Clone, Debug)]
pub struct DispatchWindow<C> {
    pub(super) clock: C,
    pub(super) start: Reading,
}

impl<C: Clock> DispatchWindow<C> {
    /// Whether the call may still be dispatched. Check immediately before sending.
    pub fn is_open(&self) -> bool {
        self.clock.read().since(self.start) < u64::from(DISPATCH_WINDOW_MS)
    }
}
