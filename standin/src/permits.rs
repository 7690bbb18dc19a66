//! The permit experiment: control traffic between entry hosts per request, beyond that of idle hosts.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use tokio::task::JoinSet;

use crate::fleet::{self, Fleet, KEY, MODEL};
use crate::nodes;

/// Number of entry hosts.
const NODES: usize = 9;

/// Number of engines.
const ENGINES: usize = 18;

/// Requests per second to each entry host, as at the cluster size that nutmeghead is designed for.
const REQUESTS_PER_S: u32 = 16;

/// Duration of the idle and of the loaded measurement, in seconds.
const WINDOW_S: u32 = 10;

/// Length of each generation, in tokens.
const LENGTH_TOKENS: u32 = 20;

/// Name of the counter of bytes that an entry host sent to other entry hosts.
const SENT_BYTES_COUNTER: &str = "nutmeghead_peer_sent_bytes_total";

/// Errors of the experiment.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The entry hosts cannot be started.
    #[error(transparent)]
    Nodes(#[from] nodes::Error),
    /// The counters of the entry host with this operator address cannot be read.
    #[error("the counters of {0} cannot be read")]
    Counters(SocketAddr),
}

/// Runs the experiment and returns its results as text.
///
/// # Errors
///
/// Any [`enum@Error`].
pub async fn run() -> Result<String, Error> {
    let settings = fleet::Settings { engines: ENGINES, ..fleet::Settings::default() };
    let fleet = Fleet::start(&settings)?;
    fleet.submit(0, &fleet.document())?;
    let nodes = nodes::start(&fleet, NODES).await?;
    let operators: Vec<_> = nodes.iter().map(|node| node.operator_address()).collect();
    let window = Duration::from_secs(WINDOW_S.into());
    tokio::time::sleep(window).await;

    let before = sent_bytes(&operators).await?;
    tokio::time::sleep(window).await;
    let idle = sent_bytes(&operators).await? - before;
    let before = sent_bytes(&operators).await?;
    let mut answered = 0;
    let mut requests = JoinSet::new();
    let client = client();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / REQUESTS_PER_S);
    for request in 0..WINDOW_S * REQUESTS_PER_S {
        ticks.tick().await;
        for node in &nodes {
            requests.spawn(call(client.clone(), node.caller_address(), request));
        }
    }
    while let Some(success) = requests.join_next().await {
        answered += u32::from(success.unwrap_or(false));
    }
    let loaded = sent_bytes(&operators).await? - before;

    let request_count = NODES as u32 * WINDOW_S * REQUESTS_PER_S;
    let seconds = f64::from(WINDOW_S);
    let hosts = NODES as f64;
    for node in nodes {
        node.stop().await;
    }
    Ok(format!(
        "entry hosts {NODES}, engines {ENGINES}, requests {request_count}, answered {answered}\n\
         sent by an idle host    {:.0} B/s\n\
         sent by a loaded host   {:.0} B/s\n\
         sent for each request   {:.0} B",
        idle / hosts / seconds,
        loaded / hosts / seconds,
        (loaded - idle) / f64::from(request_count),
    ))
}

fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Streams one generation; returns whether the response was successful and complete.
async fn call(
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    number: u32,
) -> bool {
    let prompt = format!("{number} len={LENGTH_TOKENS}");
    let body = serde_json::json!({"model": MODEL, "prompt": prompt, "stream": true}).to_string();
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(body.into()));
    let Ok(request) = request else { return false };
    let Ok(response) = client.request(request).await else { return false };
    response.status().is_success() && response.into_body().collect().await.is_ok()
}

/// Total bytes that all entry hosts have sent to each other.
async fn sent_bytes(operators: &[SocketAddr]) -> Result<f64, Error> {
    let client = client();
    let mut total = 0.0;
    for address in operators {
        let failed = || Error::Counters(*address);
        let request = Request::get(format!("http://{address}/metrics")).body(Full::default());
        let response = client.request(request.map_err(|_| failed())?).await;
        let body = response.map_err(|_| failed())?.into_body().collect().await;
        let page = body.map_err(|_| failed())?.to_bytes();
        let page = String::from_utf8_lossy(&page).into_owned();
        let line =
            page.lines().find(|line| line.starts_with(SENT_BYTES_COUNTER)).ok_or_else(failed)?;
        total += line.rsplit(' ').next().and_then(|n| n.parse::<f64>().ok()).ok_or_else(failed)?;
    }
    Ok(total)
}
