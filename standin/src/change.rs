//! Helpers for changes of behaviour.

use tokio::sync::watch;

/// Sets a value if the change names one.
pub(crate) fn set<T>(value: &mut T, change: Option<T>) {
    if let Some(new) = change {
        *value = new;
    }
}

/// Counts a fault down and returns whether it applies.
pub(crate) fn take(count: &mut u32) -> bool {
    let applies = *count > 0;
    *count = count.saturating_sub(1);
    applies
}

/// Tells waiting calls to look again at what they wait for.
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

    /// Waits while `held` is true.
    pub(crate) async fn pass(&self, held: impl Fn() -> bool) {
        let mut version = self.subscribe();
        while held() {
            // The sender lives as long as `self`, so the wait cannot fail.
            let _ = version.changed().await;
        }
    }
}
