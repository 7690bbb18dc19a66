//! A whole deployment in one process: stand-ins, three entry hosts and one caller.

use std::io::{self, Write as _};
use std::net::{SocketAddr, UdpSocket};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt as _, Full};
use hyper::body::Incoming;
use hyper_util::client::legacy::Client;
use hyper_util::rt::TokioExecutor;
use nutmeghead::cli::{Format, Seed};
use nutmeghead::node::Node;
use nutmeghead::settings::Settings;
use nutmeghead::{logs, name, sse};

use crate::fleet::{self, ENVIRONMENT, Fleet, KEY, MODEL};

/// Entry hosts of the demonstration.
const NODES: usize = 3;

/// Tokens of the generation.
const TOKENS: u32 = 60;

/// Time allowed for the entry hosts to take the document.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Pause between two looks at a node's readiness.
const READY_PAUSE: Duration = Duration::from_millis(20);

/// Why the demonstration failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in failed.
    #[error(transparent)]
    Fleet(#[from] fleet::Error),
    /// An entry host could not be started.
    #[error("an entry host cannot be started")]
    Node(#[from] nutmeghead::error::Error),
    /// A name is not valid.
    #[error(transparent)]
    Name(#[from] name::Error),
    /// A socket or the terminal failed.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// The entry hosts did not take the document in time.
    #[error("the entry hosts did not become ready")]
    NotReady,
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
    let nodes = start(&fleet).await?;
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

async fn start(fleet: &Fleet) -> Result<Vec<Node>, Error> {
    let seeds = (0..NODES).map(seed).collect::<Result<Vec<_>, _>>()?;
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let mut nodes = Vec::new();
    for seed in &seeds {
        let settings = Settings {
            name: seed.name.clone(),
            region: name::Region::new("loopback")?,
            domain: name::Domain::new("a")?,
            environment: name::Environment::new(ENVIRONMENT)?,
            caller_address: any,
            operator_address: any,
            peer_address: seed.address,
            log_address: fleet.log.address(),
            hosts_address: Some(fleet.hosts.address()),
            weights_address: None,
            seeds: seeds.iter().filter(|other| other.name != seed.name).cloned().collect(),
            fleet_key: [7; 32],
            drain_delay: Duration::ZERO,
        };
        nodes.push(Node::start(settings, logs::new(Format::Terminal)).await?);
    }
    let ready = async {
        while !nodes.iter().all(|node| node.control().phase().is_ready()) {
            tokio::time::sleep(READY_PAUSE).await;
        }
    };
    tokio::time::timeout(READY_TIMEOUT, ready).await.map_err(|_| Error::NotReady)?;
    Ok(nodes)
}

/// Finds a free port for an entry host.
fn seed(index: usize) -> Result<Seed, Error> {
    let address = UdpSocket::bind(SocketAddr::from(([127, 0, 0, 1], 0)))?.local_addr()?;
    Ok(Seed { name: name::Host::new(format!("entry-{index}"))?, address })
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
