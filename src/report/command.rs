//! The command `report`.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Empty, Limited};
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;

use super::{Page, Summary, page};
use crate::cli;

/// Time allowed for one entry host's answer.
const NODE_TIMEOUT: Duration = Duration::from_secs(5);

/// Largest page of an entry host, in bytes.
const MAX_PAGE_BYTES: usize = 16 << 20;

/// Why there is no report.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No entry host was named.
    #[error("name at least one entry host with --node")]
    NoNode,
    /// No entry host answered.
    #[error("none of the entry hosts answered")]
    Silent,
    /// The HTML page could not be made.
    #[error(transparent)]
    Page(#[from] page::Error),
    /// The HTML page could not be written.
    #[error("cannot write {0}")]
    Write(PathBuf, #[source] std::io::Error),
    /// The report has no JSON form.
    #[error("the report cannot be written as JSON")]
    Json(#[from] serde_json::Error),
}

/// Asks the entry hosts and returns the report as text.
///
/// # Errors
///
/// Any [`enum@Error`]. Entry hosts that do not answer are named in the report, as long as one does.
pub async fn run(options: &cli::Report) -> Result<String, Error> {
    if options.nodes.is_empty() {
        return Err(Error::NoNode);
    }
    let mut asked = JoinSet::new();
    for address in options.nodes.clone() {
        asked.spawn(async move { (address, ask(address).await) });
    }
    let (mut pages, mut silent) = (Vec::new(), Vec::new());
    while let Some(answer) = asked.join_next().await {
        match answer {
            Ok((_, Some(page))) => pages.push(page),
            Ok((address, None)) => silent.push(address.to_string()),
            Err(_) => {}
        }
    }
    if pages.is_empty() {
        return Err(Error::Silent);
    }
    silent.sort();
    let summary = Summary::new(&pages, silent);
    if let Some(path) = &options.html {
        let html = page::render(&summary)?;
        std::fs::write(path, html).map_err(|error| Error::Write(path.clone(), error))?;
    }
    if options.json {
        return Ok(serde_json::to_string_pretty(&summary)?);
    }
    Ok(summary.to_table())
}

/// The page of one entry host, if it answers.
async fn ask(address: SocketAddr) -> Option<Page> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Empty<Bytes>>();
    let request = Request::get(format!("http://{address}/burn")).body(Empty::new()).ok()?;
    let answer = async {
        let response = client.request(request).await.ok()?;
        let body = Limited::new(response.into_body(), MAX_PAGE_BYTES).collect().await.ok()?;
        serde_json::from_slice(&body.to_bytes()).ok()
    };
    tokio::time::timeout(NODE_TIMEOUT, answer).await.ok().flatten()
}
