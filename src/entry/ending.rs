//! The end of a response that is forwarded in a task of its own.
//!
//! The body of a response ends with its channel. A task that panics closes the channel, too, so a response is complete
//! only if the task says so.

use bytes::Bytes;
use tokio::sync::mpsc;

use super::body::Truncated;

#[cfg(test)]
mod tests;

/// Sends the frames of a response.
pub(crate) type Sender = mpsc::Sender<Result<Bytes, Truncated>>;

/// Receives the frames of a response.
pub(crate) type Receiver = mpsc::Receiver<Result<Bytes, Truncated>>;

/// Marks the response as truncated when it is dropped, unless the response is complete or its caller has left.
pub(crate) struct Ending(Option<mpsc::OwnedPermit<Result<Bytes, Truncated>>>);

/// A channel for the frames of a response, of which `frames` may be queued.
pub(crate) fn channel(frames: usize) -> (Sender, Receiver, Ending) {
    // One more place, for the error.
    let (sender, receiver) = mpsc::channel(frames + 1);
    let permit = sender.clone().try_reserve_owned().ok();
    (sender, receiver, Ending(permit))
}

impl Ending {
    /// The response is complete.
    pub(crate) fn complete(mut self) {
        self.0 = None;
    }
}

impl Drop for Ending {
    fn drop(&mut self) {
        if let Some(permit) = self.0.take() {
            // The caller's connection is closed, which shows that the response is incomplete.
            permit.send(Err(Truncated));
        }
    }
}
