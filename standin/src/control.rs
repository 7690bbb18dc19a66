//! Helpers for faults that are switched at run time.

use tokio::sync::watch;

/// Replaces `value` unless `new` is none.
pub(crate) fn set_if_some<T>(value: &mut T, new: Option<T>) {
    if let Some(new) = new {
        *value = new;
    }
}

/// Consumes one of the remaining occurrences of a fault. Returns whether there was one.
pub(crate) fn consume(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

/// Wakes waiting calls so that they check their condition again.
#[derive(Debug)]
pub(crate) struct Signal(watch::Sender<u64>);

impl Signal {
    pub(crate) fn new() -> Self {
        Self(watch::Sender::new(0))
    }

    pub(crate) fn notify(&self) {
        self.0.send_modify(|version| *version += 1);
    }

    pub(crate) fn subscribe(&self) -> watch::Receiver<u64> {
        self.0.subscribe()
    }

    /// Waits while `blocked` returns true.
    pub(crate) async fn wait_while(&self, blocked: impl Fn() -> bool) {
        let mut version = self.subscribe();
        while blocked() {
            // The sender lives as long as `self`, so the wait cannot fail.
            let _ = version.changed().await;
        }
    }
}
