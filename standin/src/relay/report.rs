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
    /// Cores that the node used.
    pub node_cores: f64,
    /// Tokens a second for each core that the node used.
    pub node_tokens_per_s_per_core: f64,
    /// Delay straight from the engines.
    pub straight: Delay,
    /// Delay through the node.
    pub node: Delay,
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

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "{:<12} {:>7} {:>11} {:>11} {:>6} {:>13} {:>9} {:>9} {:>9} {:>9} {:>10} {:>6}",
            "load",
            "streams",
            "straight/s",
            "node/s",
            "cores",
            "tokens/s/core",
            "p50 us",
            "p99 us",
            "+p50 us",
            "+p99 us",
            "KiB/stream",
            "broken",
        )?;
        for row in &self.rows {
            let added = |node: u32, straight: u32| i64::from(node) - i64::from(straight);
            writeln!(
                f,
                "{:<12} {:>7} {:>11.0} {:>11.0} {:>6.2} {:>13.0} {:>9} {:>9} {:>9} {:>9} {:>10.1} {:>6}",
                row.load,
                row.streams,
                row.straight_tokens_per_s,
                row.node_tokens_per_s,
                row.node_cores,
                row.node_tokens_per_s_per_core,
                row.straight.p50_us,
                row.straight.p99_us,
                added(row.node.p50_us, row.straight.p50_us),
                added(row.node.p99_us, row.straight.p99_us),
                row.kib_per_stream,
                row.broken,
            )?;
        }
        write!(f, "p50 and p99 are straight; +p50 and +p99 are added by the node")
    }
}
