//! The relay benchmark: the same token load straight to engines and through a node.

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

use caller::Fleet;
use engines::Engines;
use node::Node;
pub use report::{Delay, Report, Row};
use usage::Usage;

use crate::web;

/// Streams that a node relays from one engine. The others of an engine's streams pass through other nodes.
const STREAMS_PER_ENGINE: usize = 20;

/// Deviation of a step's duration, in thousandths, by which the engines' steps drift apart as those of separate
/// machines do.
const DRIFT_PERMILLE: u64 = 200;

/// Open streams of a node at the design size.
const DESIGN_STREAMS: usize = 270;

/// Time in which open streams settle before they are observed.
const WARM_UP: Duration = Duration::from_secs(1);

/// Memory of each engine, in tokens. It is more than the streams of an engine fill, and not so much that one engine
/// seems as empty as another.
const MEMORY_TOKENS: u64 = 4_000_000;

/// How to run the benchmark.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The nutmeghead binary.
    pub node_binary: PathBuf,
    /// This binary, which runs the engines in a process of their own.
    pub standin_binary: PathBuf,
    /// Names of the loads to run; all if there are none.
    pub loads: Vec<String>,
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
    /// A process cannot be started.
    #[error("cannot start {binary}: {source}")]
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
    drift_permille: u64,
}

impl Load {
    fn new(name: &'static str, streams: usize) -> Self {
        Self { name, streams, step_us: 80_000, burst: 1, drift_permille: DRIFT_PERMILLE }
    }

    fn with_step_us(self, step_us: u64) -> Self {
        Self { step_us, ..self }
    }

    fn with_burst(self, burst: u32) -> Self {
        Self { burst, ..self }
    }

    fn with_drift_permille(self, drift_permille: u64) -> Self {
        Self { drift_permille, ..self }
    }
}

/// The loads; `streams` is the number of streams of the crowded ones.
fn loads(streams: usize) -> [Load; 5] {
    [
        Load::new("design", DESIGN_STREAMS),
        Load::new("in-phase", DESIGN_STREAMS).with_drift_permille(0),
        Load::new("crowded", streams),
        Load::new("fast", streams).with_step_us(20_000),
        Load::new("burst", streams).with_burst(16),
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
        if !settings.loads.is_empty() && !settings.loads.iter().any(|name| name == load.name) {
            continue;
        }
        rows.push(compare(settings, &load).await?);
    }
    Ok(Report { rows })
}

async fn compare(settings: &Settings, load: &Load) -> Result<Row, Error> {
    let engines = Engines::start(&settings.standin_binary, load)?;

    let fleet = Fleet::open(engines.addresses(), load.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let straight = fleet.observe(settings.window).await;

    let node = Node::start(&settings.node_binary, engines.addresses()).await?;
    let idle = Usage::read(node.pid()).ok_or(Error::Usage)?;
    let fleet = Fleet::open(&[node.address()], load.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let before = Usage::read(node.pid()).ok_or(Error::Usage)?;
    let relayed = fleet.observe(settings.window).await;
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
