//! Engines and the weight store over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode, header};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::timeout;

use super::lease::ARRIVAL_TIMEOUT_MS;
use super::plan::{Actual, Weights};
use super::target::{Error, Order, Target};
use crate::connect;

/// Timeout of a connection attempt.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

// An order whose connection stalls is dropped before one of the next holder may be sent.
const _: () = assert!(connect::UNACKNOWLEDGED_TIMEOUT.as_millis() < ARRIVAL_TIMEOUT_MS as u128);

/// Timeout of an order, until the engine has executed it.
const ORDER_TIMEOUT: Duration = Duration::from_secs(600);

/// Timeout of a call other than an order.
const CALL_TIMEOUT: Duration = Duration::from_secs(3);

/// Largest response body that is read, in bytes.
const MAX_RESPONSE_BYTES: usize = 256 << 10;

/// Time until a retry if the weight store sends no valid `Retry-After`, in seconds.
const DEFAULT_RETRY_AFTER_S: u64 = 1;

/// HTTP client of the engines and the weight store. Each call has a connection of its own.
#[derive(Clone, Debug)]
pub struct Http {
    client: Client<HttpConnector, Full<Bytes>>,
    store: Option<SocketAddr>,
}

impl Http {
    /// Creates a client of the weight store at `store`. If `store` is `None`, all grants succeed.
    ///
    /// ```
    /// let target = nutmeghead::order::Http::new(Some("127.0.0.1:7300".parse()?));
    /// # Ok::<(), std::net::AddrParseError>(())
    /// ```
    pub fn new(store: Option<SocketAddr>) -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        Self { client: connect::single_use_builder().build(connector), store }
    }

    async fn call(
        &self,
        method: Method,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let request = Request::builder()
            .method(method)
            .uri(format!("http://{address}{path}"))
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| Error::Malformed)?;
        self.client.request(request).await.map_err(|_| Error::Lost)
    }
}

impl Target for Http {
    async fn state(&self, address: SocketAddr) -> Result<Actual, Error> {
        let call = async {
            let response = self.call(Method::GET, address, "/v1/state", Bytes::new()).await?;
            decode(check_status(response)?).await
        };
        timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(Error::Lost))
    }

    async fn order(
        &self,
        address: SocketAddr,
        order: Order,
        may_send: impl FnOnce() -> bool + Send,
    ) -> Result<(), Error> {
        let body = encode(&order)?;
        let request = Request::post("/v1/orders")
            .header(header::HOST, address.to_string())
            .header(header::CONTENT_TYPE, "application/json")
            .body(Full::new(body))
            .map_err(|_| Error::Malformed)?;
        let call = async {
            let connection = connect::open(address).await.map_err(|_| Error::Lost)?;
            if !may_send() {
                return Err(Error::LeaseEnded);
            }
            let response = connection.send(request).await.map_err(|_| Error::Lost)?;
            if response.status() == StatusCode::CONFLICT {
                return Err(Error::Fenced);
            }
            check_status(response).map(|_| ())
        };
        timeout(ORDER_TIMEOUT, call).await.unwrap_or(Err(Error::Lost))
    }

    async fn request_grant(&self, weights: Weights) -> Result<(), Error> {
        let Some(store) = self.store else { return Ok(()) };
        let body = encode(&weights)?;
        let call = async {
            let response = self.call(Method::POST, store, "/grants", body).await?;
            if response.status() == StatusCode::TOO_MANY_REQUESTS {
                return Err(Error::Limited(retry_after_s(&response)));
            }
            check_status(response).map(|_| ())
        };
        timeout(CALL_TIMEOUT, call).await.unwrap_or(Err(Error::Lost))
    }
}

fn check_status<B>(response: Response<B>) -> Result<Response<B>, Error> {
    if response.status().is_success() {
        return Ok(response);
    }
    Err(Error::Refused(response.status().as_u16()))
}

fn retry_after_s(response: &Response<Incoming>) -> u64 {
    let text = response.headers().get(header::RETRY_AFTER).and_then(|value| value.to_str().ok());
    text.and_then(|text| text.trim().parse().ok()).unwrap_or(DEFAULT_RETRY_AFTER_S)
}

fn encode<M: Serialize>(message: &M) -> Result<Bytes, Error> {
    serde_json::to_vec(message).map(Bytes::from).map_err(|_| Error::Malformed)
}

async fn decode<M: DeserializeOwned>(response: Response<Incoming>) -> Result<M, Error> {
    let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await;
    let bytes = body.map_err(|_| Error::Malformed)?.to_bytes();
    serde_json::from_slice(&bytes).map_err(|_| Error::Malformed)
}
