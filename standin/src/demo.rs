//! A demonstration: stand-ins, three entry hosts and one caller in one process.

use std::io::{self, Write as _};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use nutmeghead::sse;

use crate::fleet::{self, Fleet, KEY, MODEL};
use crate::nodes;

/// Number of entry hosts.
const NODES: usize = 3;

/// Length of the generation, in tokens.
const TOKENS: u32 = 60;

/// Why the demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// The entry hosts cannot be started.
    #[error(transparent)]
    Nodes(#[from] nodes::Error),
    /// The output cannot be written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request is not valid.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The request failed.
    #[error(transparent)]
    Client(#[from] hyper_util::client::legacy::Error),
    /// The connection broke during the stream.
    #[error(transparent)]
    Body(#[from] hyper::Error),
    /// The body is not a valid event stream.
    #[error(transparent)]
    Events(#[from] sse::Error),
    /// The stream ended before the generation was complete.
    #[error("the stream ended early, after {0} tokens")]
    Incomplete(u32),
}

/// Measurements of the caller.
struct Timing {
    tokens: u32,
    time_to_first_token: Duration,
    total: Duration,
}

/// Starts everything, streams one generation and prints it.
///
/// # Errors
///
/// Returns an [`enum@Error`] if any part fails.
pub async fn run() -> Result<(), Error> {
    let fleet = Fleet::start(&fleet::Settings::default())?;
    fleet.submit(0, &fleet.document())?;
    let nodes = nodes::start(&fleet, NODES).await?;
    println!("{NODES} entry hosts serve {} engines; one generation:", fleet.engines.len());
    let timing = stream(nodes[0].caller_address()).await?;
    println!();
    println!("tokens            {}", timing.tokens);
    println!("first token       {:.1} ms", timing.time_to_first_token.as_secs_f64() * 1e3);
    println!("whole generation  {:.1} ms", timing.total.as_secs_f64() * 1e3);
    for node in nodes {
        node.stop().await;
    }
    Ok(())
}

async fn stream(address: SocketAddr) -> Result<Timing, Error> {
    let client = Client::builder(TokioExecutor::new()).build_http::<Full<Bytes>>();
    let body = serde_json::json!({
        "model": MODEL,
        "prompt": format!("Rebuild the roster. len={TOKENS}"),
        "stream": true,
    });
    let request = Request::post(format!("http://{address}/v1/completions"))
        .header("authorization", format!("Bearer {KEY}"))
        .header("content-type", "application/json")
        .body(Full::new(body.to_string().into()))?;
    let sent_at = Instant::now();
    let response = client.request(request).await?;
    read(response.into_body(), sent_at).await
}

async fn read(mut body: Incoming, sent_at: Instant) -> Result<Timing, Error> {
    let mut parser = sse::Parser::new();
    let mut timing =
        Timing { tokens: 0, time_to_first_token: Duration::ZERO, total: Duration::ZERO };
    while let Some(frame) = body.frame().await {
        parser.push(frame?.data_ref().map_or(&[], |data| data));
        while let Some(event) = parser.next_event()? {
            if &event.data[..] == b"[DONE]" {
                timing.total = sent_at.elapsed();
                return Ok(timing);
            }
            let data: serde_json::Value = serde_json::from_slice(&event.data).unwrap_or_default();
            print!("{}", data["choices"][0]["text"].as_str().unwrap_or_default());
            io::stdout().flush()?;
            if timing.tokens == 0 {
                timing.time_to_first_token = sent_at.elapsed();
            }
            timing.tokens += 1;
        }
    }
    Err(Error::Incomplete(timing.tokens))
}
