//! The membership experiment: the cost of the control plane per node at several cluster sizes, and how fast changes reach
//! all nodes.

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

/// Time limit for all nodes to discover each other and receive the document.
const START_TIMEOUT: Duration = Duration::from_secs(60);

/// Time limit for a change to reach all nodes.
const PROPAGATION_TIMEOUT: Duration = Duration::from_secs(15);

/// Time after the start in which the initial exchanges of member tables finish.
const SETTLE_TIME: Duration = Duration::from_secs(5);

/// Duration of each short pause of a node.
const PAUSE: Duration = Duration::from_millis(500);

/// Number of nodes that are paused, one after the other.
const PAUSED_NODES: usize = 8;

/// Time after the pauses in which unrefuted suspicions end in declarations of death.
const PAUSE_SETTLE_TIME: Duration = Duration::from_secs(4);

/// Settings of the experiment.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the nutmeghead binary.
    pub node_binary: PathBuf,
    /// Numbers of nodes; the experiment runs once for each.
    pub sizes: Vec<usize>,
    /// Duration of the measurement of the idle cost.
    pub window: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Errors of the experiment.
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
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The document cannot be encoded as a record.
    #[error("cannot encode the document")]
    Document(#[from] nutmeghead::config::RecordError),
    /// A condition was not met by all nodes in time.
    #[error(
        "{nodes} nodes: node {node} did not report {condition} within {timeout:?}; its last status: {status:?}"
    )]
    Timeout {
        /// Number of nodes.
        nodes: usize,
        /// Index of the first node that does not meet the condition.
        node: usize,
        /// The latest status of that node; none if it did not answer.
        status: Option<Status>,
        /// The expected condition.
        condition: &'static str,
        /// The time limit.
        timeout: Duration,
    },
    /// The counters or the resource usage of the node with this index cannot be read.
    #[error("cannot read the counters or resource usage of node {0}")]
    Counters(usize),
}

/// Runs the experiment at each size.
///
/// # Errors
///
/// Any [`Error`]; the started processes are stopped first.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let mut rows = Vec::new();
    for size in &settings.sizes {
        rows.push(measure(settings, *size).await?);
    }
    Ok(Report::new(rows))
}

/// Runs the experiment with `size` nodes.
async fn measure(settings: &Settings, size: usize) -> Result<Row, Error> {
    let mut fleet = Fleet::start(&settings.node_binary, size)?;
    let start = Instant::now();
    let first = fleet.submit(0)?;
    fleet.wait("all members", START_TIMEOUT, |node| node.alive == size as u64).await?;
    fleet.wait("the first document", START_TIMEOUT, |node| node.document_version == first).await?;
    let joined = start.elapsed();
    tokio::time::sleep(SETTLE_TIME).await;

    let before = fleet.sample_all().await?;
    tokio::time::sleep(settings.window).await;
    let after = fleet.sample_all().await?;

    let start = Instant::now();
    let second = fleet.submit(first)?;
    fleet
        .wait("the second document", PROPAGATION_TIMEOUT, |node| node.document_version == second)
        .await?;
    let document = start.elapsed();

    let pauses = measure_pauses(&fleet).await?;
    let killed = measure_kill(&mut fleet).await?;
    let (frozen, thawed) = measure_freeze(&mut fleet).await?;

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
        sent_bytes_per_s: rate(|s| s.sent_bytes),
        received_bytes_per_s: rate(|s| s.received_bytes),
        core_percent: 100.0 * rate(|s| s.cpu_s),
        memory_mib: mean(after.iter().map(|s| s.resident_kib / 1_024.0)),
        false_suspicions: sum(|s| s.refutations) as u64,
        document_s: document.as_secs_f64(),
        pauses: pauses.count,
        pause_suspicions: pauses.suspicions,
        pause_deaths: pauses.deaths,
        killed_s: killed.suspected.as_secs_f64(),
        killed_dropped_s: killed.dropped.as_secs_f64(),
        frozen_s: frozen.suspected.as_secs_f64(),
        frozen_dropped_s: frozen.dropped.as_secs_f64(),
        thawed_s: thawed.as_secs_f64(),
    })
}

fn mean(values: impl ExactSizeIterator<Item = f64>) -> f64 {
    let count = values.len() as f64;
    values.sum::<f64>() / count
}

/// Results of short pauses.
struct Pauses {
    /// Number of paused nodes.
    count: usize,
    suspicions: u64,
    deaths: u64,
}

/// Pauses several nodes briefly, one after the other, and counts the suspicions and deaths that follow.
async fn measure_pauses(fleet: &Fleet) -> Result<Pauses, Error> {
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

/// Times from the failure of a node to its detection by all other nodes.
struct Detection {
    /// Until all nodes have stopped sending it new work.
    suspected: Duration,
    /// Until all nodes have removed it from their members.
    dropped: Duration,
}

/// Kills the last node and waits until the others have detected this.
async fn measure_kill(fleet: &mut Fleet) -> Result<Detection, Error> {
    let remaining = fleet.len() as u64 - 1;
    let start = Instant::now();
    fleet.kill_last();
    fleet
        .wait("the suspicion of the killed node", PROPAGATION_TIMEOUT, |node| {
            node.alive == remaining
        })
        .await?;
    let suspected = start.elapsed();
    fleet
        .wait("the removal of the killed node", PROPAGATION_TIMEOUT, |node| {
            node.members == remaining
        })
        .await?;
    Ok(Detection { suspected, dropped: start.elapsed() })
}

/// Freezes the first node until the others have removed it, then resumes it. Also returns the time from then until all
/// nodes count it as alive again.
async fn measure_freeze(fleet: &mut Fleet) -> Result<(Detection, Duration), Error> {
    let all = fleet.len() as u64;
    let start = Instant::now();
    fleet.signal(0, "-STOP")?;
    fleet
        .wait_others("the suspicion of the frozen node", PROPAGATION_TIMEOUT, |node| {
            node.alive == all - 1
        })
        .await?;
    let suspected = start.elapsed();
    fleet
        .wait_others("the removal of the frozen node", PROPAGATION_TIMEOUT, |node| {
            node.members == all - 1
        })
        .await?;
    let detection = Detection { suspected, dropped: start.elapsed() };
    let start = Instant::now();
    fleet.signal(0, "-CONT")?;
    fleet
        .wait("the return of the resumed node", PROPAGATION_TIMEOUT, |node| node.alive == all)
        .await?;
    Ok((detection, start.elapsed()))
}
