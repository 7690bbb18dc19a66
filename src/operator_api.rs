//! HTTP interface for operators: health, readiness, metrics and error budget burn.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::api::Body;
use crate::api::listener::{Connections, Responder};
use crate::lifecycle::Control;
use crate::metrics::Instruments;
use crate::report;

/// Handles requests of operators. Cheap to clone.
#[derive(Clone)]
pub struct Handler {
    control: Arc<Control>,
    instruments: Instruments,
    recorder: report::Recorder,
    callers: Connections,
}

impl Handler {
    /// Creates a handler that reports the lifecycle phase, the metrics and the error budget counts of a node that serves
    /// `callers`.
    pub fn new(
        control: Arc<Control>,
        instruments: Instruments,
        recorder: report::Recorder,
        callers: Connections,
    ) -> Self {
        Self { control, instruments, recorder, callers }
    }

    fn burn(&self) -> Response<Body> {
        match serde_json::to_string(&self.recorder.snapshot()) {
            Ok(text) => text_response(StatusCode::OK, text),
            Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn metrics(&self) -> Response<Body> {
        self.instruments.open.set(self.control.open() as i64);
        match self.instruments.render() {
            Ok(text) => text_response(StatusCode::OK, text),
            Err(error) => text_response(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn ready(&self) -> Response<Body> {
        let phase = self.control.phase();
        let is_ready = phase.is_ready() && !self.callers.is_full();
        let status = if is_ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        text_response(status, format!("{phase:?}\n").to_lowercase())
    }
}

impl Responder for Handler {
    type Body = Body;

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/healthz" => text_response(StatusCode::OK, "alive\n".to_owned()),
            "/readyz" => self.ready(),
            "/metrics" => self.metrics(),
            "/burn" => self.burn(),
            _ => text_response(StatusCode::NOT_FOUND, "not found\n".to_owned()),
        }
    }
}

fn text_response(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(Bytes::from(text)));
    *response.status_mut() = status;
    let content_type = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, content_type);
    response
}
