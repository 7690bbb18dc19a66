//! The relay benchmark: streams the same token load directly from the engines and through a node.

mod caller;
mod engines;
pub mod flags;
mod node;
mod report;
mod stamp;
#[cfg(test)]
mod tests;
pub(crate) mod usage;

use std::path::PathBuf;
use std::time::Duration;

use caller::Streams;
use engines::Engines;
use node::Node;
pub use report::{Delay, Report, Row};
use usage::Usage;

use crate::web;

/// Streams that one node relays per engine. The rest of an engine's streams pass through other nodes.
const STREAMS_PER_ENGINE: usize = 20;

/// Jitter of the duration of decode steps, in thousandths. Without jitter the engines stay in phase, which engines on
/// separate machines do not.
const JITTER_PERMILLE: u64 = 200;

/// Open streams of a node at the cluster size that nutmeghead is designed for.
const DESIGN_STREAMS: usize = 270;

/// Time between the opening of the streams and the measurement.
const WARM_UP: Duration = Duration::from_secs(1);

/// Memory of each engine, in tokens: more than its streams fill, but small enough that the engines' loads
/// still differ visibly.
const MEMORY_TOKENS: u64 = 4_000_000;

/// Settings of the benchmark.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the nutmeghead binary.
    pub node_binary: PathBuf,
    /// Path of this binary, which runs the engines in a separate process.
    pub standin_binary: PathBuf,
    /// Names of the loads to run; empty for all.
    pub loads: Vec<String>,
    /// Number of open streams of the crowded, fast and burst loads.
    pub streams: usize,
    /// Duration of the measurement of each load.
    pub window: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Errors of the benchmark.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// An engine or the log cannot be started.
    #[error(transparent)]
    Web(#[from] web::Error),
    /// A process cannot be started.
    #[error("cannot start {binary}: {source}")]
    Start {
        /// The binary.
        binary: PathBuf,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The node's document cannot be encoded as a record.
    #[error("cannot encode the node's document")]
    Document(#[from] nutmeghead::config::RecordError),
    /// The node did not become ready.
    #[error("the node was not ready in time")]
    NotReady,
    /// Not all streams opened in time.
    #[error("only {opened} of {requested} streams opened; last failure: {failure}")]
    Streams {
        /// Number of streams that opened.
        opened: usize,
        /// Number of streams to open.
        requested: usize,
        /// The latest failure.
        failure: String,
    },
    /// The node's resource usage cannot be read.
    #[error("cannot read the node's CPU and memory usage")]
    Usage,
}

/// A load of the benchmark.
#[derive(Clone, Debug)]
struct Load {
    name: &'static str,
    streams: usize,
    /// Mean duration of an engine's decode step, in microseconds.
    step_us: u64,
    /// Tokens that each generation receives per decode step.
    burst: u32,
    jitter_permille: u64,
}

impl Load {
    fn new(name: &'static str, streams: usize) -> Self {
        Self { name, streams, step_us: 80_000, burst: 1, jitter_permille: JITTER_PERMILLE }
    }

    fn with_step_us(self, step_us: u64) -> Self {
        Self { step_us, ..self }
    }

    fn with_burst(self, burst: u32) -> Self {
        Self { burst, ..self }
    }

    fn with_jitter_permille(self, jitter_permille: u64) -> Self {
        Self { jitter_permille, ..self }
    }
}

/// All loads; `streams` is the number of streams of the crowded, fast and burst loads.
fn loads(streams: usize) -> [Load; 5] {
    [
        Load::new("design", DESIGN_STREAMS),
        Load::new("in-phase", DESIGN_STREAMS).with_jitter_permille(0),
        Load::new("crowded", streams),
        Load::new("fast", streams).with_step_us(20_000),
        Load::new("burst", streams).with_burst(16),
    ]
}

/// Runs the selected loads, each directly and through a separate node.
///
/// # Errors
///
/// Any [`Error`]; the started processes are stopped first.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let mut rows = Vec::new();
    for load in loads(settings.streams) {
        if !settings.loads.is_empty() && !settings.loads.iter().any(|name| name == load.name) {
            continue;
        }
        rows.push(compare(settings, &load).await?);
    }
    Ok(Report { rows })
}

async fn compare(settings: &Settings, load: &Load) -> Result<Row, Error> {
    let engines = Engines::start(&settings.standin_binary, load)?;

    let streams = Streams::open(engines.addresses(), load.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let straight = streams.measure(settings.window).await;

    let node = Node::start(&settings.node_binary, engines.addresses()).await?;
    let idle = Usage::read(node.pid()).ok_or(Error::Usage)?;
    let streams = Streams::open(&[node.address()], load.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = Usage::read(node.pid()).ok_or(Error::Usage)?;
    let relayed = streams.measure(settings.window).await;
    let after = Usage::read(node.pid()).ok_or(Error::Usage)?;

    let user = (after.user_s - before.user_s) / relayed.seconds;
    let system = (after.system_s - before.system_s) / relayed.seconds;
    let cores = user + system;
    Ok(Row {
        load: load.name,
        streams: load.streams,
        straight_tokens_per_s: straight.tokens_per_s(),
        node_tokens_per_s: relayed.tokens_per_s(),
        node_user_cores: user,
        node_system_cores: system,
        node_tokens_per_s_per_core: relayed.tokens_per_s() / cores.max(f64::EPSILON),
        straight: Delay::new(&straight.delays_us),
        node: Delay::new(&relayed.delays_us),
        node_waiting_cores: after
            .waited_s
            .zip(before.waited_s)
            .map(|(after_s, before_s)| (after_s - before_s) / relayed.seconds),
        broken: straight.broken + relayed.broken,
        kib_per_stream: (after.resident_kib as f64 - idle.resident_kib as f64)
            / load.streams as f64,
    })
}
