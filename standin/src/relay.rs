//! The relay benchmark: the same token load straight to engines and through a node.

mod caller;
pub mod flags;
mod node;
mod report;
mod stamp;
#[cfg(test)]
mod tests;
pub(crate) mod usage;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::time::Duration;

use caller::Fleet;
use node::Node;
pub use report::{Delay, Report, Row};
use usage::Usage;

use crate::{engine, web};

/// Streams of one engine.
const STREAMS_PER_ENGINE: usize = 160;

/// Time in which open streams settle before they are observed.
const WARM_UP: Duration = Duration::from_secs(1);

/// Memory of each engine, in tokens; more than the streams can fill.
const MEMORY_TOKENS: u64 = 1 << 40;

/// How long an engine decodes for a caller that went away, in milliseconds.
const LINGER_MS: u64 = 100;

/// How to run the benchmark.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The nutmeghead binary.
    pub node_binary: PathBuf,
    /// Open streams of the crowded loads.
    pub streams: usize,
    /// Time for which each load is observed.
    pub window: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Why the benchmark failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An engine or the log cannot be started.
    #[error(transparent)]
    Web(#[from] web::Error),
    /// The node cannot be started.
    #[error("cannot start {binary}")]
    Start {
        /// The binary.
        binary: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The document for the node cannot be made into a record.
    #[error("cannot encode the node's document")]
    Document(#[from] nutmeghead::config::RecordError),
    /// The node did not become ready.
    #[error("the node was not ready in time")]
    NotReady,
    /// Not all streams opened.
    #[error("only {opened} of {wanted} streams opened; the last failure was: {failure}")]
    Streams {
        /// Streams that opened.
        opened: usize,
        /// Streams wanted.
        wanted: usize,
        /// The latest failure.
        failure: String,
    },
    /// The node's use of the machine cannot be read.
    #[error("cannot read the node's use of processor and memory")]
    Usage,
}

/// A load.
#[derive(Clone, Debug)]
struct Load {
    name: &'static str,
    streams: usize,
    step_us: u64,
    burst: u32,
}

fn loads(streams: usize) -> [Load; 4] {
    [
        Load { name: "design size", streams: 270, step_us: 80_000, burst: 1 },
        Load { name: "crowded", streams, step_us: 80_000, burst: 1 },
        Load { name: "fast", streams, step_us: 20_000, burst: 1 },
        Load { name: "burst", streams, step_us: 80_000, burst: 16 },
    ]
}

/// Runs all loads, each straight and through a node of its own.
///
/// # Errors
///
/// Any [`Error`]; the processes started are stopped first.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let mut rows = Vec::new();
    for load in loads(settings.streams) {
        rows.push(compare(settings, &load).await?);
    }
    Ok(Report { rows })
}

fn start_engines(load: &Load) -> Result<Vec<engine::Server>, Error> {
    let model = engine::model::Settings {
        memory_tokens: MEMORY_TOKENS,
        max_running: load.streams,
        base_step_us: load.step_us,
        per_sequence_us: 0,
        prefill_us_per_token: 0,
        tokens_per_step: load.burst,
        ..engine::model::Settings::default()
    };
    let count = load.streams.div_ceil(STREAMS_PER_ENGINE) as u64;
    let start = |seed| {
        let model = engine::model::Settings { seed, ..model.clone() };
        let defaults = engine::Settings::default();
        let max_waiting = load.streams;
        engine::Server::start(engine::Settings {
            model,
            max_waiting,
            linger_ms: LINGER_MS,
            stamps: true,
            ..defaults
        })
    };
    Ok((1..=count).map(start).collect::<Result<_, _>>()?)
}

async fn compare(settings: &Settings, load: &Load) -> Result<Row, Error> {
    let engines = start_engines(load)?;
    let addresses: Vec<SocketAddr> = engines.iter().map(engine::Server::address).collect();

    let fleet = Fleet::open(&addresses, load.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let straight = fleet.observe(settings.window).await;

    let node = Node::start(&settings.node_binary, &addresses).await?;
    let idle = Usage::read(node.pid()).ok_or(Error::Usage)?;
    let fleet = Fleet::open(&[node.address()], load.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = Usage::read(node.pid()).ok_or(Error::Usage)?;
    let relayed = fleet.observe(settings.window).await;
    let after = Usage::read(node.pid()).ok_or(Error::Usage)?;

    let cores = (after.cpu_s - before.cpu_s) / relayed.seconds;
    Ok(Row {
        load: load.name,
        streams: load.streams,
        straight_tokens_per_s: straight.tokens_per_s(),
        node_tokens_per_s: relayed.tokens_per_s(),
        node_cores: cores,
        node_tokens_per_s_per_core: relayed.tokens_per_s() / cores.max(f64::EPSILON),
        straight: Delay::new(&straight.delays_us),
        node: Delay::new(&relayed.delays_us),
        broken: straight.broken + relayed.broken,
        kib_per_stream: (after.resident_kib as f64 - idle.resident_kib as f64)
            / load.streams as f64,
    })
}
