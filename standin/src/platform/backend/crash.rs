//! Crashes of an engine under requests with a certain prompt part.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::{Response, StatusCode};
use nutmeghead::entry::body::{Body, Truncated};
use tokio::sync::mpsc;

use super::{QUEUED_EVENTS, Service};
use crate::web::Hangup;

/// Time until buffered bytes of a response are on their way. An error drops those that are not.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// When an engine crashes that runs a request with a certain prompt part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CrashPoint {
    /// Before it sends the head of the response.
    Head,
    /// After the head, before the first event.
    FirstEvent,
    /// Inside the first event.
    InsideEvent,
    /// After the first event.
    AfterEvent,
}

/// A prompt part that crashes engines.
#[derive(Clone, Copy, Debug)]
pub(super) struct CrashingPart {
    pub(super) id: &'static str,
    pub(super) point: CrashPoint,
    /// Time until the engine is back.
    pub(super) restart_delay: Duration,
}

impl Service {
    /// The crash that a request with these prompt parts causes.
    pub(super) fn crash(&self, parts: &str) -> Option<CrashingPart> {
        let crashing = self.lock().crashing_part?;
        parts.split(',').any(|part| part.split(':').next() == Some(crashing.id)).then_some(crashing)
    }

    /// Ends the process with all its connections, and starts it again after a while.
    async fn restart(self: Arc<Self>, after: Duration, address: SocketAddr) {
        {
            let mut inner = self.lock();
            inner.crashes += 1;
            inner.is_crashing = true;
            inner.running.clear();
        }
        // Streams that run beside break off inside an event.
        tokio::time::sleep(2 * FLUSH_TIME).await;
        let Some(stop) = self.stop() else { return };
        stop.closed().await;
        self.lock().is_crashing = false;
        tokio::time::sleep(after).await;
        // Another process may have taken the address; then this one stays away.
        let _ = self.listen(address);
    }

    /// Begins the response to a request that crashes this engine.
    pub(super) async fn crash_under(
        self: Arc<Self>,
        id: &str,
        crash: CrashingPart,
    ) -> Result<Response<Body>, Hangup> {
        tokio::time::sleep(self.settings.interval).await;
        let restart = Arc::clone(&self).restart(crash.restart_delay, self.settings.address);
        if crash.point == CrashPoint::Head {
            tokio::spawn(restart);
            return std::future::pending().await;
        }
        let (sender, receiver) = mpsc::channel(QUEUED_EVENTS);
        let mut response =
            self.respond(id, StatusCode::OK, &[("nutmeghead-stamp", &self.settings.id)]);
        *response.body_mut() = Body::Events(receiver);
        if self.lock().unframed {
            *response.version_mut() = http::Version::HTTP_10;
        }
        let interval = self.settings.interval;
        tokio::spawn(async move {
            let start = match crash.point {
                CrashPoint::InsideEvent => "id: 1\nda",
                CrashPoint::AfterEvent => "id: 1\ndata: 1\n\n",
                CrashPoint::Head | CrashPoint::FirstEvent => "",
            };
            let _ = sender.send(Ok(start.into())).await;
            tokio::time::sleep(interval).await;
            restart.await;
            drop(sender);
        });
        Ok(response)
    }
}

/// Ends a stream inside event number `event`.
pub(super) async fn break_off(sender: &mpsc::Sender<Result<Bytes, Truncated>>, event: u64) {
    let _ = sender.send(Ok(format!("id: {event}\nda").into())).await;
    tokio::time::sleep(FLUSH_TIME).await;
    let _ = sender.send(Err(Truncated)).await;
}
