//! What the benchmark saw.

use std::fmt;

use serde::Serialize;

/// Time from the sending of a token to its arrival, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Delay {
    /// For half of the tokens.
    pub p50_us: u32,
    /// For 99 in 100.
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

/// One load, straight and through a node.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Its name.
    pub load: &'static str,
    /// Open streams.
    pub streams: usize,
    /// Tokens that came straight, a second.
    pub straight_tokens_per_s: f64,
    /// Tokens that came through the node, a second.
    pub node_tokens_per_s: f64,
    /// Cores that the node used in its own code.
    pub node_user_cores: f64,
    /// Cores that the node used in the kernel.
    pub node_system_cores: f64,
    /// Tokens a second for each core that the node used.
    pub node_tokens_per_s_per_core: f64,
    /// Delay straight from the engines.
    pub straight: Delay,
    /// Delay through the node.
    pub node: Delay,
    /// Cores that the node's threads waited for. Delays tell more of the machine than of the node where this is large.
    /// None if the kernel does not tell.
    pub node_waiting_cores: Option<f64>,
    /// Streams that broke.
    pub broken: usize,
    /// Memory that the node added for each open stream, in KiB.
    pub kib_per_stream: f64,
}

/// All loads.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row a load.
    pub rows: Vec<Row>,
}

/// Titles of the table's columns.
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
        write!(f, "delays: straight from the engines, and what the node adds")
    }
}
