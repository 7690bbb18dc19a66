//! A small HTTP client.

use std::net::SocketAddr;

use bytes::Bytes;
use http::{Method, Request, Response, StatusCode};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::{Client, Error};
use hyper_util::rt::TokioExecutor;
use serde_json::Value;

pub async fn send(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> Result<Response<Incoming>, Error> {
    let client: Client<_, Full<Bytes>> = Client::builder(TokioExecutor::new()).build_http();
    let body = if body.is_null() { Bytes::new() } else { body.to_string().into() };
    let request =
        Request::builder().method(method).uri(format!("http://{address}{path}")).body(body.into());
    client.request(request.expect("request")).await
}

pub async fn read(response: Response<Incoming>) -> (StatusCode, String) {
    let status = response.status();
    let body = response.into_body().collect().await.expect("body").to_bytes();
    (status, String::from_utf8(body.to_vec()).expect("text"))
}

pub async fn call(
    address: SocketAddr,
    method: Method,
    path: &str,
    body: &Value,
) -> (StatusCode, Value) {
    let (status, text) = read(send(address, method, path, body).await.expect("answer")).await;
    (status, serde_json::from_str(&text).unwrap_or(Value::Null))
}

pub async fn get(address: SocketAddr, path: &str) -> (StatusCode, Value) {
    call(address, Method::GET, path, &Value::Null).await
}

pub async fn post(address: SocketAddr, path: &str, body: &Value) -> (StatusCode, Value) {
    call(address, Method::POST, path, body).await
}
