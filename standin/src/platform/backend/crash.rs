//! Crashes of a server under certain requests.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::{Response, StatusCode};
use nutmeghead::entry::body::{Body, Truncated};
use tokio::sync::mpsc;

use super::{QUEUED_EVENTS, Received, Server, Service};
use crate::web::Hangup;

/// Time until buffered bytes of a response are on their way. An error drops those that are not.
const FLUSH_TIME: Duration = Duration::from_millis(5);

/// When a server crashes that runs a request which crashes it.
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

/// Which requests crash a server.
#[derive(Clone, Copy, Debug)]
pub(super) enum Cause {
    /// Those whose prompt has the part with this id.
    Part(&'static str),
    /// Those of this organisation with this path and body.
    Request { organisation: &'static str, path: &'static str, body: &'static str },
}

impl Cause {
    fn matches(self, request: &Received) -> bool {
        match self {
            Self::Part(id) => {
                let parts = request.text("nutmeghead-prefix-hash");
                parts.split(',').any(|part| part.split(':').next() == Some(id))
            }
            Self::Request { organisation, path, body } => {
                request.text("nutmeghead-tenant") == organisation
                    && request.path == path
                    && request.body == body.as_bytes()
            }
        }
    }
}

/// Requests that crash a server.
#[derive(Clone, Copy, Debug)]
pub(super) struct Fatal {
    pub(super) cause: Cause,
    pub(super) point: CrashPoint,
    /// Time until the server is back.
    pub(super) restart_delay: Duration,
}

impl Server {
    /// Makes requests whose prompt has the part `id` crash the engine, which is back after `restart_delay`.
    pub fn crash_on_part(&self, id: &'static str, point: CrashPoint, restart_delay: Duration) {
        self.service.lock().fatal = Some(Fatal { cause: Cause::Part(id), point, restart_delay });
    }

    /// Makes requests of `organisation` with this path and body crash the server, which is back after `restart_delay`.
    pub fn crash_on_request(
        &self,
        organisation: &'static str,
        path: &'static str,
        body: &'static str,
        point: CrashPoint,
        restart_delay: Duration,
    ) {
        let cause = Cause::Request { organisation, path, body };
        let fatal = Fatal { cause, point, restart_delay };
        self.service.lock().fatal = Some(fatal);
    }

    /// Ends the process with all its connections, and starts it again after `restart_delay`.
    pub fn crash(&self, restart_delay: Duration) {
        let service = Arc::clone(&self.service);
        tokio::spawn(service.restart(restart_delay, self.address));
    }

    /// Makes the requests that crashed the server run like others.
    pub fn repair(&self) {
        self.service.lock().fatal = None;
    }

    /// When it crashed, earliest first.
    pub fn crashes(&self) -> Vec<Instant> {
        self.service.lock().crashes.clone()
    }
}

impl Service {
    /// The crash that a request causes.
    pub(super) fn crash(&self, request: &Received) -> Option<Fatal> {
        self.lock().fatal.filter(|fatal| fatal.cause.matches(request))
    }

    /// Ends the process with all its connections, and starts it again after a while.
    pub(super) async fn restart(self: Arc<Self>, after: Duration, address: SocketAddr) {
        {
            let mut inner = self.lock();
            inner.crashes.push(Instant::now());
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

    /// Begins the response to a request that crashes this server.
    pub(super) async fn crash_under(
        self: Arc<Self>,
        id: &str,
        crash: Fatal,
    ) -> Result<Response<Body>, Hangup> {
        let work_time = self.lock().work_time;
        tokio::time::sleep(self.settings.interval.max(work_time)).await;
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
