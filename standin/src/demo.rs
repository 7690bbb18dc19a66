//! A whole deployment in one process: stand-ins, three entry hosts and one caller.

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

/// Entry hosts of the demonstration.
const NODES: usize = 3;

/// Tokens of the generation.
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
    /// The terminal failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The request could not be made.
    #[error(transparent)]
    Request(#[from] http::Error),
    /// The entry host did not answer.
    #[error(transparent)]
    Client(#[from] hyper_util::client::legacy::Error),
    /// The stream broke.
    #[error(transparent)]
    Body(#[from] hyper::Error),
    /// The stream is not one of events.
    #[error(transparent)]
    Events(#[from] sse::Error),
    /// The stream ended before the generation.
    #[error("the stream ended after {0} tokens")]
    Short(u32),
}

/// What the caller saw.
struct Seen {
    tokens: u32,
    first: Duration,
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
    let seen = stream(nodes[0].caller_address()).await?;
    println!();
    println!("tokens            {}", seen.tokens);
    println!("first token       {:.1} ms", seen.first.as_secs_f64() * 1e3);
    println!("whole generation  {:.1} ms", seen.total.as_secs_f64() * 1e3);
    for node in nodes {
        node.stop().await;
    }
    Ok(())
}

async fn stream(address: SocketAddr) -> Result<Seen, Error> {
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
    let asked = Instant::now();
    let response = client.request(request).await?;
    read(response.into_body(), asked).await
}

async fn read(mut body: Incoming, asked: Instant) -> Result<Seen, Error> {
    let mut parser = sse::Parser::new();
    let mut seen = Seen { tokens: 0, first: Duration::ZERO, total: Duration::ZERO };
    while let Some(frame) = body.frame().await {
        parser.push(frame?.data_ref().map_or(&[], |data| data));
        while let Some(event) = parser.next_event()? {
            if &event.data[..] == b"[DONE]" {
                seen.total = asked.elapsed();
                return Ok(seen);
            }
            let data: serde_json::Value = serde_json::from_slice(&event.data).unwrap_or_default();
            print!("{}", data["choices"][0]["text"].as_str().unwrap_or_default());
            io::stdout().flush()?;
            if seen.tokens == 0 {
                seen.first = asked.elapsed();
            }
            seen.tokens += 1;
        }
    }
    Err(Error::Short(seen.tokens))
}
