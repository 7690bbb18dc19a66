//! Results of the membership experiment.

use std::fmt;

use serde::Serialize;

/// The cluster size that nutmeghead is designed for.
const DESIGN_NODES: f64 = 360.0;

/// Results for one number of nodes. Costs are means over the nodes.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the start until all nodes had discovered each other and received the document, in seconds.
    pub joined_s: f64,
    /// Bytes per second sent to other nodes, including headers.
    pub sent_bytes_per_s: f64,
    /// Bytes per second received from other nodes, including headers.
    pub received_bytes_per_s: f64,
    /// CPU usage, in percent of one core.
    pub core_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// Number of suspicions that live nodes refuted while idle, summed over all nodes.
    pub false_suspicions: u64,
    /// Time from the append of a document until all nodes applied it, in seconds.
    pub document_s: f64,
    /// Number of nodes that were paused for half a second each.
    pub pauses: usize,
    /// Number of suspicions that paused nodes refuted.
    pub pause_suspicions: u64,
    /// Number of declarations of death because of the pauses, summed over all nodes.
    pub pause_deaths: u64,
    /// Time until no node sent new work to a killed node, in seconds.
    pub killed_s: f64,
    /// Time until no node had the killed node as a member, in seconds.
    pub killed_dropped_s: f64,
    /// Time until no node sent new work to a frozen node, in seconds.
    pub frozen_s: f64,
    /// Time until no node had the frozen node as a member, in seconds.
    pub frozen_dropped_s: f64,
    /// Time from the resumption of the frozen node until all nodes counted it as alive again, in seconds.
    pub thawed_s: f64,
}

/// A linear least-squares fit of a value over all cluster sizes.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// Name and unit of the fitted value.
    pub value: &'static str,
    /// Increase of the value per additional node.
    pub slope: f64,
    /// Extrapolated value at 360 nodes.
    pub at_360: f64,
    /// Upper limit for the value at 360 nodes.
    pub budget: f64,
}

impl Line {
    pub(super) fn new(value: &'static str, budget: f64, points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
        let (mean_x, mean_y) = (sum_x / count, sum_y / count);
        let sum_squares: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let sum_products: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if sum_squares > 0.0 { sum_products / sum_squares } else { 0.0 };
        Self { value, slope, at_360: mean_y + slope * (DESIGN_NODES - mean_x), budget }
    }
}

/// Results for all numbers of nodes, with linear fits.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row per number of nodes.
    pub rows: Vec<Row>,
    /// One fit per value with a budget.
    pub lines: Vec<Line>,
}

impl Report {
    pub(super) fn new(rows: Vec<Row>) -> Self {
        let line = |name, budget, value: fn(&Row) -> f64| {
            let points: Vec<_> = rows.iter().map(|row| (row.nodes as f64, value(row))).collect();
            Line::new(name, budget, &points)
        };
        let lines = vec![
            line("bytes/s sent and received", 9_000.0, |row| {
                row.sent_bytes_per_s + row.received_bytes_per_s
            }),
            line("core, percent", 1.1, |row| row.core_percent),
            line("memory, MiB", 256.0, |row| row.memory_mib),
            line("document in force, s", 4.0, |row| row.document_s),
            line("killed, no new work, s", 3.0, |row| row.killed_s),
            line("frozen, no new work, s", 3.0, |row| row.frozen_s),
        ];
        Self { rows, lines }
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(
            f,
            "nodes joined_s sent_B/s recv_B/s core_% MiB   false document_s paused suspected deaths killed_s dropped_s frozen_s dropped_s thawed_s"
        )?;
        for row in &self.rows {
            writeln!(
                f,
                "{:>5} {:>8.1} {:>8.0} {:>8.0} {:>6.2} {:>5.1} {:>5} {:>10.2} {:>6} {:>9} {:>6} {:>8.2} {:>9.2} {:>8.2} {:>9.2} {:>8.2}",
                row.nodes,
                row.joined_s,
                row.sent_bytes_per_s,
                row.received_bytes_per_s,
                row.core_percent,
                row.memory_mib,
                row.false_suspicions,
                row.document_s,
                row.pauses,
                row.pause_suspicions,
                row.pause_deaths,
                row.killed_s,
                row.killed_dropped_s,
                row.frozen_s,
                row.frozen_dropped_s,
                row.thawed_s,
            )?;
        }
        writeln!(f, "\n{:<28} {:>12} {:>10} {:>10}", "line", "per node", "at 360", "budget")?;
        for line in &self.lines {
            writeln!(
                f,
                "{:<28} {:>12.4} {:>10.2} {:>10.2}",
                line.value, line.slope, line.at_360, line.budget
            )?;
        }
        Ok(())
    }
}
