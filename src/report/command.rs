//! The `report` command.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;

use super::{Snapshot, Summary, html};
use crate::cli;

/// Timeout for the response of one entry host.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Maximum size of the response of an entry host, in bytes.
const MAX_RESPONSE_BYTES: usize = 16 << 20;

/// Why the report could not be created.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The options contain no entry host.
    #[error("specify at least one entry host with --node")]
    NoNode,
    /// No entry host responded.
    #[error("no entry host responded")]
    NoResponse,
    /// The HTML page could not be rendered.
    #[error(transparent)]
    Html(#[from] html::Error),
    /// The HTML page could not be written.
    #[error("cannot write {0}")]
    Write(PathBuf, #[source] std::io::Error),
    /// The report could not be serialised as JSON.
    #[error("cannot serialise the report as JSON")]
    Json(#[from] serde_json::Error),
}

/// Fetches the counts of the entry hosts and returns the report as text.
///
/// # Errors
///
/// Any [`enum@Error`]. If at least one entry host responds, the others are listed in the report instead.
pub async fn run(options: &cli::Report) -> Result<String, Error> {
    if options.nodes.is_empty() {
        return Err(Error::NoNode);
    }
    let mut requests = JoinSet::new();
    for address in options.nodes.clone() {
        requests.spawn(async move { (address, fetch(address).await) });
    }
    let (mut snapshots, mut unresponsive) = (Vec::new(), Vec::new());
    while let Some(response) = requests.join_next().await {
        match response {
            Ok((_, Some(snapshot))) => snapshots.push(snapshot),
            Ok((address, None)) => unresponsive.push(address.to_string()),
            Err(_) => {}
        }
    }
    if snapshots.is_empty() {
        return Err(Error::NoResponse);
    }
    unresponsive.sort();
    let summary = Summary::new(&snapshots, unresponsive);
    if let Some(path) = &options.html {
        let html = html::render(&summary)?;
        std::fs::write(path, html).map_err(|error| Error::Write(path.clone(), error))?;
    }
    if options.json {
        return Ok(serde_json::to_string_pretty(&summary)?);
    }
    Ok(summary.to_table())
}

/// Fetches the counts of one entry host. Returns `None` on any failure.
async fn fetch(address: SocketAddr) -> Option<Snapshot> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{address}/burn")).body(Empty::new()).ok()?;
    let response = async {
        let response = client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_RESPONSE_BYTES).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    tokio::time::timeout(NODE_TIMEOUT, response).await.ok().flatten()
}
