//! The process that runs under the name of a server, and what it says of itself.

use bytes::Bytes;
use http::Response;
use serde_json::json;

use super::{Body, Server, Service};

impl Server {
    /// Continues as a process of this build that started at `born`, which its reports and events state.
    pub fn set_process(&self, build: &'static str, born: u64) {
        self.service.lock().process = Some((build, born));
    }

    /// Closes the listener and all connections, and waits until they are closed: until then, connections are still accepted
    /// and then broken off.
    pub async fn stop_completely(&self) {
        if let Some(stop) = self.service.stop() {
            stop.closed().await;
        }
    }
}

impl Service {
    /// The build of the process as its events state it; empty if they do not.
    pub(super) fn build_text(&self) -> String {
        self.lock().process.map(|(build, _)| format!(" of {build}")).unwrap_or_default()
    }

    /// The status report.
    pub(super) fn report(&self) -> Response<Body> {
        let state = if self.lock().leaving { "draining" } else { "ready" };
        let born = self.lock().process.map(|(_, born)| born);
        let body = json!({"state": state, "leaves_ms": 5_000, "born": born}).to_string();
        Response::new(Body::from(Bytes::from(body)))
    }
}
