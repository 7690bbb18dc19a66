//! The HTTP interface of an engine.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::header::{CACHE_CONTROL, CONTENT_TYPE};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode};
use http_body_util::{Either, Full};
use hyper::body::Incoming;
use serde_json::json;
use uuid::Uuid;

use super::control::Change;
use super::core::{Core, Started};
use super::generation::Identity;
use super::inner::Rejection;
use super::order::Order;
use super::stream::{Events, Fault, Reader};
use super::wire::{Completion, Patch};
use crate::web::{self, Handler, Hangup};

/// Header with the id of a request, which responses repeat.
const REQUEST_ID: &str = "x-request-id";

type Body = Either<Full<Bytes>, Events>;
type Answer = Result<Response<Body>, Hangup>;

fn full(response: Response<Full<Bytes>>) -> Answer {
    Ok(response.map(Either::Left))
}

impl Handler for Core {
    type Body = Body;

    async fn handle(self: Arc<Self>, request: Request<Incoming>) -> Answer {
        let path = request.uri().path().to_owned();
        if path == "/control" {
            return full(control(&self, request).await);
        }
        self.wait_until_thawed().await;
        match (request.method().as_str(), path.as_str()) {
            ("POST", "/v1/completions") => complete(self, request).await,
            ("GET", "/v1/load") => full(web::json(StatusCode::OK, &self.load())),
            ("GET", "/v1/state") => full(web::json(StatusCode::OK, &self.loaded())),
            ("POST", "/v1/orders") => full(order(&self, request).await),
            ("GET", "/v1/cache/events") => {
                let from = web::query(&request, "from").unwrap_or(0);
                full(web::json(StatusCode::OK, &self.cache_events(from)))
            }
            _ => generation(self, &path, request).await,
        }
    }
}

async fn control(core: &Core, request: Request<Incoming>) -> Response<Full<Bytes>> {
    if *request.method() == Method::POST {
        let Some(change) = web::parse::<Change>(request).await else {
            return web::error(StatusCode::BAD_REQUEST, "change");
        };
        core.control(change);
    }
    web::json(StatusCode::OK, &core.state())
}

async fn order(core: &Arc<Core>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let Some(order) = web::parse::<Order>(request).await else {
        return web::error(StatusCode::BAD_REQUEST, "order");
    };
    let (loaded, accepted) = core.execute_order(order).await;
    let status = if accepted { StatusCode::OK } else { StatusCode::CONFLICT };
    web::json(status, &loaded)
}

/// Answers a completion. Errors have the id of the request, too.
async fn complete(core: Arc<Core>, request: Request<Incoming>) -> Answer {
    let id = request.headers().get(REQUEST_ID).cloned();
    let mut answer = begin(core, request).await?;
    if let Some(id) = id
        && !answer.status().is_success()
    {
        answer.headers_mut().insert(REQUEST_ID, id);
    }
    Ok(answer)
}

async fn begin(core: Arc<Core>, request: Request<Incoming>) -> Answer {
    let Some(completion) = web::parse::<Completion>(request).await else {
        return full(web::error(StatusCode::BAD_REQUEST, "request"));
    };
    core.die_on(&completion.prompt);
    let Started { reader, injection } = match core.submit(&completion) {
        Ok(started) => started,
        Err(rejection) => return full(web::error(status(rejection), &rejection.to_string())),
    };
    if injection.dropped {
        return Err(Hangup);
    }
    tokio::time::sleep(Duration::from_millis(injection.late_ms)).await;
    if completion.stream {
        return Ok(stream(reader, 0, injection.fault));
    }
    text(&reader, injection.fault).await
}

fn status(rejection: Rejection) -> StatusCode {
    match rejection {
        Rejection::Leaving | Rejection::Busy => StatusCode::SERVICE_UNAVAILABLE,
        Rejection::UnknownModel => StatusCode::NOT_FOUND,
        Rejection::TooLarge => StatusCode::BAD_REQUEST,
    }
}

async fn text(reader: &Reader, fault: Fault) -> Answer {
    let (produced, end) = reader.wait_for_end().await;
    let Some(reason) = end.finish_reason() else {
        return full(web::error(StatusCode::INTERNAL_SERVER_ERROR, end.error()));
    };
    let identity = fault.crossed.as_ref().unwrap_or(&reader.generation.identity);
    let text: String = (0..produced).map(|index| format!(" t{index}")).collect();
    let answer = json!({
        "id": identity.generation,
        "object": "text_completion",
        "request_id": identity.request_id,
        "model": identity.model,
        "choices": [{ "index": 0, "text": text, "finish_reason": reason }],
        "usage": { "completion_tokens": produced },
    });
    let mut response = web::json(StatusCode::OK, &answer);
    insert_ids(response.headers_mut(), identity);
    full(response)
}

fn stream(reader: Reader, from: u32, fault: Fault) -> Response<Body> {
    let identity = fault.crossed.clone().unwrap_or_else(|| reader.generation.identity.clone());
    let mut response = Response::new(Either::Right(Events::new(reader, from, fault)));
    let headers = response.headers_mut();
    headers.insert(CONTENT_TYPE, HeaderValue::from_static("text/event-stream"));
    headers.insert(CACHE_CONTROL, HeaderValue::from_static("no-store"));
    insert_ids(headers, &identity);
    response
}

fn insert_ids(headers: &mut HeaderMap, identity: &Identity) {
    let values = [
        ("x-generation-id", identity.generation.to_string()),
        (REQUEST_ID, identity.request_id.clone()),
    ];
    for (name, value) in values {
        if let Ok(value) = HeaderValue::try_from(value) {
            headers.insert(name, value);
        }
    }
}

async fn generation(core: Arc<Core>, path: &str, request: Request<Incoming>) -> Answer {
    let Some(rest) = path.strip_prefix("/v1/generations/") else {
        return full(web::error(StatusCode::NOT_FOUND, "unknown_path"));
    };
    let (id, subpath) = rest.split_once('/').unwrap_or((rest, ""));
    let unknown = || full(web::error(StatusCode::NOT_FOUND, "unknown_generation"));
    let Ok(id) = id.parse::<Uuid>() else {
        return unknown();
    };
    let exists = match (request.method().as_str(), subpath) {
        ("GET", "events") => {
            let from =
                web::query(&request, "from").and_then(|from| u32::try_from(from).ok()).unwrap_or(0);
            return core.generation(id).map_or_else(unknown, |generation| {
                Ok(stream(Reader::new(Arc::clone(&core), generation), from, Fault::default()))
            });
        }
        ("PATCH", "") => match web::parse::<Patch>(request).await {
            Some(patch) => core.set_priority(id, patch.priority),
            None => return full(web::error(StatusCode::BAD_REQUEST, "request")),
        },
        ("DELETE", "") => core.cancel(id),
        _ => return full(web::error(StatusCode::METHOD_NOT_ALLOWED, "method")),
    };
    if exists { full(web::empty(StatusCode::NO_CONTENT)) } else { unknown() }
}
