//! Results of the relay benchmark.

use std::fmt;

use serde::Serialize;

/// Time from the sending of a token to its arrival, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Delay {
    /// Median.
    pub p50_us: u32,
    /// 99th percentile.
    pub p99_us: u32,
}

impl Delay {
    /// Quantiles of sorted samples; 0 without samples.
    pub(super) fn new(sorted_us: &[u32]) -> Self {
        let quantile = |thousandths: usize| {
            let rank = (sorted_us.len() * thousandths).div_ceil(1_000).max(1);
            sorted_us.get(rank - 1).copied().unwrap_or(0)
        };
        Self { p50_us: quantile(500), p99_us: quantile(990) }
    }
}

/// Results of one load, directly from the engines and through a node.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Name of the load.
    pub load: &'static str,
    /// Number of open streams.
    pub streams: usize,
    /// Tokens per second received directly from the engines.
    pub straight_tokens_per_s: f64,
    /// Tokens per second received through the node.
    pub node_tokens_per_s: f64,
    /// CPU cores used by the node in user mode.
    pub node_user_cores: f64,
    /// CPU cores used by the node in kernel mode.
    pub node_system_cores: f64,
    /// Tokens per second per CPU core used by the node.
    pub node_tokens_per_s_per_core: f64,
    /// Delay of tokens directly from the engines.
    pub straight: Delay,
    /// Delay of tokens through the node.
    pub node: Delay,
    /// CPU cores that the node's runnable threads waited for. If this is large, the delays reflect the machine's load
    /// rather than the node. None if the kernel does not report it.
    pub node_waiting_cores: Option<f64>,
    /// Number of streams that ended early.
    pub broken: usize,
    /// Growth of the node's resident memory per open stream, in KiB.
    pub kib_per_stream: f64,
}

/// Results of all loads.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row per load.
    pub rows: Vec<Row>,
}

/// Column titles of the table.
const TITLES: [&str; 12] = [
    "load",
    "streams",
    "straight/s",
    "node/s",
    "user",
    "system",
    "tokens/s/core",
    "p50 us",
    "p99 us",
    "KiB/stream",
    "waiting",
    "broken",
];

impl Row {
    fn cells(&self) -> [String; 12] {
        let added = |node: u32, straight: u32| i64::from(node) - i64::from(straight);
        [
            self.load.to_owned(),
            self.streams.to_string(),
            format!("{:.0}", self.straight_tokens_per_s),
            format!("{:.0}", self.node_tokens_per_s),
            format!("{:.2}", self.node_user_cores),
            format!("{:.2}", self.node_system_cores),
            format!("{:.0}", self.node_tokens_per_s_per_core),
            format!("{} {:+}", self.straight.p50_us, added(self.node.p50_us, self.straight.p50_us)),
            format!("{} {:+}", self.straight.p99_us, added(self.node.p99_us, self.straight.p99_us)),
            format!("{:.1}", self.kib_per_stream),
            self.node_waiting_cores.map_or_else(|| "-".to_owned(), |cores| format!("{cores:.2}")),
            self.broken.to_string(),
        ]
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let titles = TITLES.map(str::to_owned);
        for cells in std::iter::once(titles).chain(self.rows.iter().map(Row::cells)) {
            let line: String = cells.iter().map(|cell| format!("{cell:>14}")).collect();
            writeln!(f, "{line}")?;
        }
        write!(f, "delays: straight from the engines, then the difference through the node")
    }
}
