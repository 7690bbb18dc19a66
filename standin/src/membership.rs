//! The membership experiment: what control costs a node at several numbers of nodes, and how fast news spread.

pub mod flags;
mod fleet;
mod report;
#[cfg(test)]
mod tests;

use std::path::PathBuf;
use std::time::Duration;

pub use fleet::Status;
use fleet::{Fleet, Sample};
pub use report::{Line, Report, Row};
use tokio::time::Instant;

use crate::web;

/// Time in which all nodes must see each other and have the document.
const START_LIMIT: Duration = Duration::from_secs(60);

/// Time in which news must reach all nodes.
const NEWS_LIMIT: Duration = Duration::from_secs(15);

/// Time after the start in which exchanges of tables end.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// How long a node is held up for the test of short pauses.
const PAUSE: Duration = Duration::from_millis(500);

/// Nodes that are held up, one after the other.
const PAUSED_NODES: usize = 8;

/// Time after the pauses in which suspicions end in deaths.
const PAUSE_SETTLE_TIME: Duration = Duration::from_secs(4);

/// How to run the experiment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The nutmeghead binary.
    pub node_binary: PathBuf,
    /// Numbers of nodes, one run each.
    pub sizes: Vec<usize>,
    /// Time over which the idle cost is taken.
    pub window: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Why the experiment failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log cannot be started.
    #[error(transparent)]
    Web(#[from] web::Error),
    /// A node cannot be started or signalled.
    #[error("cannot run {binary}")]
    Process {
        /// The binary.
        binary: PathBuf,
        /// What the system said.
        source: std::io::Error,
    },
    /// The document cannot be made into a record.
    #[error("cannot encode the document")]
    Document(#[from] nutmeghead::config::RecordError),
    /// Something did not become true at all nodes in time.
    #[error("{nodes} nodes: {what} not seen at node {node} within {limit:?}, but {seen:?}")]
    Late {
        /// Number of nodes.
        nodes: usize,
        /// The first node that lacks it.
        node: usize,
        /// What that node says; nothing if it does not answer.
        seen: Option<Status>,
        /// What was waited for.
        what: &'static str,
        /// How long.
        limit: Duration,
    },
    /// A node's counters or its use of the machine cannot be read.
    #[error("cannot read the counters of node {0}")]
    Counters(usize),
}

/// Runs the experiment at each size.
///
/// # Errors
///
/// Any [`Error`]; the processes started are stopped first.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let mut rows = Vec::new();
    for size in &settings.sizes {
        rows.push(observe(settings, *size).await?);
    }
    Ok(Report::new(rows))
}

async fn observe(settings: &Settings, size: usize) -> Result<Row, Error> {
    let mut fleet = Fleet::start(&settings.node_binary, size)?;
    let begun = Instant::now();
    let first = fleet.submit(0)?;
    fleet.wait("all members", START_LIMIT, |node| node.alive == size as u64).await?;
    fleet.wait("the first document", START_LIMIT, |node| node.document == first).await?;
    let joined = begun.elapsed();
    tokio::time::sleep(SETTLE_TIME).await;

    let before = fleet.sample_all().await?;
    tokio::time::sleep(settings.window).await;
    let after = fleet.sample_all().await?;

    let begun = Instant::now();
    let second = fleet.submit(first)?;
    fleet.wait("the second document", NEWS_LIMIT, |node| node.document == second).await?;
    let document = begun.elapsed();

    let pauses = pause(&fleet).await?;
    let killed = kill(&mut fleet).await?;
    let (frozen, thawed) = freeze(&mut fleet).await?;

    let nodes = size as f64;
    let sum = |value: fn(&Sample) -> f64| {
        let total = |samples: &[Sample]| samples.iter().map(value).sum::<f64>();
        total(&after) - total(&before)
    };
    let seconds = mean(after.iter().zip(&before).map(|(a, b)| (a.at - b.at).as_secs_f64()));
    let rate = |value| sum(value) / nodes / seconds;
    Ok(Row {
        nodes: size,
        joined_s: joined.as_secs_f64(),
        sent_bytes_per_s: rate(|s| s.sent),
        received_bytes_per_s: rate(|s| s.received),
        core_percent: 100.0 * rate(|s| s.cpu_s),
        memory_mib: mean(after.iter().map(|s| s.resident_kib / 1_024.0)),
        false_suspicions: sum(|s| s.refutations) as u64,
        document_s: document.as_secs_f64(),
        pauses: pauses.count,
        pause_suspicions: pauses.suspicions,
        pause_deaths: pauses.deaths,
        killed_s: killed.passed_over.as_secs_f64(),
        killed_dropped_s: killed.dropped.as_secs_f64(),
        frozen_s: frozen.passed_over.as_secs_f64(),
        frozen_dropped_s: frozen.dropped.as_secs_f64(),
        thawed_s: thawed.as_secs_f64(),
    })
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}

struct Pauses {
    count: usize,
    suspicions: u64,
    deaths: u64,
}

/// Holds nodes up for a short time each, and counts what the others make of it.
async fn pause(fleet: &Fleet) -> Result<Pauses, Error> {
    let count = PAUSED_NODES.min(fleet.len() - 1);
    let before = fleet.sample_all().await?;
    for index in 1..=count {
        fleet.signal(index, "-STOP")?;
        tokio::time::sleep(PAUSE).await;
        fleet.signal(index, "-CONT")?;
    }
    tokio::time::sleep(PAUSE_SETTLE_TIME).await;
    let after = fleet.sample_all().await?;
    let sum = |value: fn(&Sample) -> f64| {
        let total = |samples: &[Sample]| samples.iter().map(value).sum::<f64>();
        (total(&after) - total(&before)) as u64
    };
    Ok(Pauses { count, suspicions: sum(|s| s.refutations), deaths: sum(|s| s.deaths) })
}

/// Times until all other nodes have noticed that one does not answer.
struct Notice {
    /// Nobody gives it new work.
    passed_over: Duration,
    /// Nobody has it as a member.
    dropped: Duration,
}

/// Kills the last node.
async fn kill(fleet: &mut Fleet) -> Result<Notice, Error> {
    let left = fleet.len() as u64 - 1;
    let begun = Instant::now();
    fleet.kill_last();
    fleet.wait("a killed node as a suspect", NEWS_LIMIT, |node| node.alive == left).await?;
    let passed_over = begun.elapsed();
    fleet.wait("a killed node", NEWS_LIMIT, |node| node.members == left).await?;
    Ok(Notice { passed_over, dropped: begun.elapsed() })
}

/// Freezes the first node, then lets it go on; also returns the time until all have it back.
async fn freeze(fleet: &mut Fleet) -> Result<(Notice, Duration), Error> {
    let all = fleet.len() as u64;
    let begun = Instant::now();
    fleet.signal(0, "-STOP")?;
    fleet.wait_others("a frozen suspect", NEWS_LIMIT, |node| node.alive == all - 1).await?;
    let passed_over = begun.elapsed();
    fleet.wait_others("a frozen node", NEWS_LIMIT, |node| node.members == all - 1).await?;
    let notice = Notice { passed_over, dropped: begun.elapsed() };
    let begun = Instant::now();
    fleet.signal(0, "-CONT")?;
    fleet.wait("a node that goes on", NEWS_LIMIT, |node| node.alive == all).await?;
    Ok((notice, begun.elapsed()))
}
