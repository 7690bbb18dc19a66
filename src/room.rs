//! How many requests a host sends at the same time to a server that falls over if it has to turn many away.
//!
//! Such a server says how many it bears in a second. When it turns one away, its room is in use by the requests of all
//! hosts. For some time each host then sends at the same time its share of the requests that the server runs at once.

#[cfg(test)]
mod tests;

/// Rejections within this time are about the same moment, in milliseconds.
const SAME_MOMENT_MS: u64 = 50;

/// Time after a rejection in which the end of the server is no crash under a request, in milliseconds.
const FALL_MS: u64 = 2_000;

/// Time after a rejection in which hosts send their shares only, in milliseconds.
const SHARED_MS: u64 = 5_000;

/// Longest time without requests after a rejection, in milliseconds.
const MAX_PAUSE_MS: u64 = 1_000;

/// Milliseconds in a second.
const SECOND_MS: u64 = 1_000;

/// The room for requests of this host at a server.
#[derive(Debug, Default)]
pub struct Room {
    /// Requests that the server bears to turn away in a second; `None` if it does not say.
    rejections_per_s: Option<u32>,
    /// Requests of this host at the same time after a rejection.
    share: u32,
    rejected_ms: Option<u64>,
    paused_until_ms: u64,
}

impl Room {
    /// Records what the server says in a response. Its room is not limited any more if it says nothing.
    pub fn state(&mut self, rejections_per_s: Option<u32>) {
        self.rejections_per_s = rejections_per_s;
        if rejections_per_s.is_none() {
            *self = Self::default();
        }
    }

    /// What the server says.
    pub fn rejections_per_s(&self) -> Option<u32> {
        self.rejections_per_s
    }

    /// Records that the server turned away a request. `share` is this host's part of the requests that it runs at once.
    /// Returns whether this is the first rejection of this moment.
    ///
    /// ```
    /// let mut room = nutmeghead::room::Room::default();
    /// room.state(Some(4));
    /// assert!(room.has_room(9, 0));
    /// assert!(room.reject(2, 1_000));
    /// assert!(!room.has_room(0, 1_100));
    /// assert!(room.has_room(1, 1_300) && !room.has_room(2, 1_300));
    /// ```
    pub fn reject(&mut self, share: u32, now_ms: u64) -> bool {
        let Some(rejections_per_s) = self.rejections_per_s else { return false };
        let is_known = self.rejected_ms.is_some_and(|at_ms| now_ms < at_ms + SAME_MOMENT_MS);
        if is_known {
            return false;
        }
        let pause_ms = SECOND_MS / u64::from(rejections_per_s.max(1));
        self.share = share;
        self.rejected_ms = Some(now_ms);
        self.paused_until_ms = now_ms + pause_ms.min(MAX_PAUSE_MS);
        true
    }

    /// Whether another request may be sent while `running` of this host run at the server.
    pub fn has_room(&self, running: u32, now_ms: u64) -> bool {
        let is_shared = self.rejected_ms.is_some_and(|at_ms| now_ms < at_ms + SHARED_MS);
        !is_shared || (now_ms >= self.paused_until_ms && running < self.share)
    }

    /// Whether the server turned a request away a short time ago, so that it may have fallen over.
    pub fn was_full(&self, now_ms: u64) -> bool {
        self.rejected_ms.is_some_and(|at_ms| now_ms < at_ms + FALL_MS)
    }
}
