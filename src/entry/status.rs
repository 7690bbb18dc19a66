//! Readiness endpoint for the load balancer and metrics endpoint for operators.

use std::sync::Arc;

use bytes::Bytes;
use http::{HeaderValue, Request, Response, StatusCode, header};
use hyper::body::Incoming;

use super::body::Body;
use super::context::Context;
use crate::api::listener::{Connections, Responder};
use crate::clock::boot_ms;
use crate::freshness::Purpose;

/// Responds with 200 if this host accepts callers, else with 503. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Readiness {
    pub(crate) context: Arc<Context>,
    /// The connections of callers.
    pub(crate) callers: Connections,
}

impl Responder for Readiness {
    type Body = Body;

    async fn respond(&self, _: Request<Incoming>) -> Response<Body> {
        let Self { context, callers } = self;
        let fresh = context.cache.current(Purpose::Dispatch, boot_ms()).is_some();
        let ready = fresh && context.control.phase().is_ready() && !callers.is_full();
        text(if ready { StatusCode::OK } else { StatusCode::SERVICE_UNAVAILABLE }, String::new())
    }
}

/// Responds with the metrics in Prometheus' text format. Cheap to clone.
#[derive(Clone)]
pub(crate) struct Metrics(pub(crate) Arc<Context>);

impl Responder for Metrics {
    type Body = Body;

    async fn respond(&self, _: Request<Incoming>) -> Response<Body> {
        self.0.instruments.open.set(self.0.control.open() as i64);
        match self.0.instruments.render() {
            Ok(rendered) => text(StatusCode::OK, rendered),
            Err(error) => text(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        }
    }
}

fn text(status: StatusCode, text: String) -> Response<Body> {
    let mut response = Response::new(Body::from(Bytes::from(text)));
    *response.status_mut() = status;
    let kind = HeaderValue::from_static("text/plain; version=0.0.4");
    response.headers_mut().insert(header::CONTENT_TYPE, kind);
    response
}
