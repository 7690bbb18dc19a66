//! The operators' HTTP interface.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use crate::api::Body;
use crate::api::listener::Responder;
use crate::lifecycle::Control;
use crate::metrics::Instruments;
use crate::report;

/// Answers operators. Cheap to clone.
#[derive(Clone)]
pub struct Operate {
    control: Arc<Control>,
    instruments: Instruments,
    sampler: report::Sampler,
}

impl Operate {
    /// Answers from the node's life and counters.
    pub fn new(control: Arc<Control>, instruments: Instruments, sampler: report::Sampler) -> Self {
        Self { control, instruments, sampler }
    }

    fn burn(&self) -> Response<Body> {
        match serde_json::to_string(&self.sampler.page()) {
            Ok(text) => plain(StatusCode::OK, text),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn metrics(&self) -> Response<Body> {
        self.instruments.open.set(self.control.open() as i64);
        match self.instruments.render() {
            Ok(text) => plain(StatusCode::OK, text),
            Err(error) => plain(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }

    fn ready(&self) -> Response<Body> {
        let phase = self.control.phase();
        let status =
            if phase.is_ready() { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE };
        plain(status, format!("{phase:?}\n").to_lowercase())
    }
}

impl Responder for Operate {
    type Body = Body;

    async fn respond(&self, request: Request<Incoming>) -> Response<Body> {
        match request.uri().path() {
            "/healthz" => plain(StatusCode::OK, "alive\n".to_owned()),
            "/readyz" => self.ready(),
            "/metrics" => self.metrics(),
            "/burn" => self.burn(),
            _ => plain(StatusCode::NOT_FOUND, "not found\n".to_owned()),
        }
    }
}

fn plain(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
