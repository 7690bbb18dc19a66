//! Entry hosts whose servers answer with given bytes, and what callers get of them.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method, StatusCode};
use nutmeghead::backend::Call;
use standin::platform::Scripted;

use super::platform::{KEY, Platform, next_address, read_stream};

/// What a caller gets: the status, what arrived of the body, and whether the body is complete.
pub type Answer = (StatusCode, String, bool);

/// Stand-ins with the usual document and no entries.
pub fn start_standins() -> Platform {
    let platform = Platform::start_standins();
    platform.submit(&[KEY]);
    platform
}

/// Starts the entry host with a server in each of its services that answers with `script`, beside those that are listed.
pub async fn start_scripted(platform: &Platform, script: &[u8]) -> Scripted {
    let server = Scripted::start(next_address(), script.to_vec()).await.expect("the server starts");
    platform.list_address("x-1", server.address(), "app");
    platform.list_address("x-2", server.address(), "pool");
    platform.spawn();
    platform.wait_readiness(true).await;
    server
}

/// Sends a request; `None` without a response.
pub async fn call(platform: &Platform, id: &str, path: &str) -> Option<Answer> {
    let response = platform.send(id, path, &[]).await?;
    let status = response.status();
    let (text, complete) = read_stream(response).await;
    Some((status, text, complete))
}

/// A call of a plain service under `serve`.
pub fn plain_call() -> Call {
    Call {
        method: Method::POST,
        path: "/swaps".to_owned(),
        headers: HeaderMap::new(),
        body: Bytes::new(),
        timeout: Duration::from_secs(4),
    }
}
