//! What permits cost between entry hosts: control bytes for each request, beyond those of idle hosts.

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

/// Entry hosts of the experiment.
const NODES: usize = 9;

/// Engines of the experiment.
const ENGINES: usize = 18;

/// Requests a second that enter at each entry host, as at the size to design for.
const REQUESTS_PER_S: u32 = 16;

/// Time over which bytes are counted, once idle and once under load, in seconds.
const WINDOW_S: u32 = 10;

/// Tokens of each generation.
const TOKENS: u32 = 20;

/// Counter of the bytes that an entry host sent to others.
const SENT: &str = "nutmeghead_peer_sent_bytes_total";

/// Why the experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The entry hosts cannot be started.
    #[error(transparent)]
    Nodes(#[from] nodes::Error),
    /// An entry host's counters cannot be read.
    #[error("the counters of {0} cannot be read")]
    Counters(SocketAddr),
}

/// Runs the experiment and returns its figures as text.
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

    let begin = sent(&operators).await?;
    tokio::time::sleep(window).await;
    let idle = sent(&operators).await? - begin;
    let begin = sent(&operators).await?;
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
    while let Some(answer) = requests.join_next().await {
        answered += u32::from(answer.unwrap_or(false));
    }
    let loaded = sent(&operators).await? - begin;

    let asked = NODES as u32 * WINDOW_S * REQUESTS_PER_S;
    let seconds = f64::from(WINDOW_S);
    let hosts = NODES as f64;
    for node in nodes {
        node.stop().await;
    }
    Ok(format!(
        "entry hosts {NODES}, engines {ENGINES}, requests {asked}, answered {answered}\n\
         sent by an idle host    {:.0} B/s\n\
         sent by a loaded host   {:.0} B/s\n\
         sent for each request   {:.0} B",
        idle / hosts / seconds,
        loaded / hosts / seconds,
        (loaded - idle) / f64::from(asked),
    ))
}

fn client() -> Client<HttpConnector, Full<Bytes>> {
    Client::builder(TokioExecutor::new()).build_http()
}

/// Streams one generation; returns whether it was answered.
async fn call(
    client: Client<HttpConnector, Full<Bytes>>,
    address: SocketAddr,
    number: u32,
) -> bool {
    let prompt = format!("{number} len={TOKENS}");
    let body = serde_json::json!({"model": MODEL, "prompt": prompt, "stream": true}).to_string();
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .body(Full::new(body.into()));
    let Ok(request) = request else { return false };
    let Ok(response) = client.request(request).await else { return false };
    response.status().is_success() && response.into_body().collect().await.is_ok()
}

/// Bytes that all entry hosts have sent to each other.
async fn sent(operators: &[SocketAddr]) -> Result<f64, Error> {
    let client = client();
    let mut total = 0.0;
    for address in operators {
        let failed = || Error::Counters(*address);
        let request = Request::get(format!("http://{address}/metrics")).body(Full::default());
        let response = client.request(request.map_err(|_| failed())?).await;
        let body = response.map_err(|_| failed())?.into_body().collect().await;
        let page = body.map_err(|_| failed())?.to_bytes();
        let page = String::from_utf8_lossy(&page).into_owned();
        let line = page.lines().find(|line| line.starts_with(SENT)).ok_or_else(failed)?;
        total += line.rsplit(' ').next().and_then(|n| n.parse::<f64>().ok()).ok_or_else(failed)?;
    }
    Ok(total)
}
