//! What the experiment saw.

use std::fmt;

use serde::Serialize;

/// The number of nodes to design for.
const DESIGN_NODES: f64 = 360.0;

/// One number of nodes. Costs are means over the nodes.
#[derive(Clone, Debug, Serialize)]
pub struct Row {
    /// Number of nodes.
    pub nodes: usize,
    /// Time from the start until all nodes saw each other and had the document, in seconds.
    pub joined_s: f64,
    /// Bytes sent to other nodes a second, headers included.
    pub sent_bytes_per_s: f64,
    /// Bytes received from other nodes a second, headers included.
    pub received_bytes_per_s: f64,
    /// Share of one core, in percent.
    pub core_percent: f64,
    /// Resident memory, in MiB.
    pub memory_mib: f64,
    /// Suspicions of live nodes at all nodes in the observed time.
    pub false_suspicions: u64,
    /// Time from the append of a document until it was in force at all nodes, in seconds.
    pub document_s: f64,
    /// Nodes held up for half a second each.
    pub pauses: usize,
    /// Suspicions that held-up nodes spoke up against.
    pub pause_suspicions: u64,
    /// Declarations of death because of held-up nodes, at all nodes.
    pub pause_deaths: u64,
    /// Time until nobody gave a killed node new work, in seconds.
    pub killed_s: f64,
    /// Time until nobody had it as a member, in seconds.
    pub killed_dropped_s: f64,
    /// Time until nobody gave a frozen node new work, in seconds.
    pub frozen_s: f64,
    /// Time until nobody had it as a member, in seconds.
    pub frozen_dropped_s: f64,
    /// Time until all had it back when it went on, in seconds.
    pub thawed_s: f64,
}

/// A straight line through a value at all sizes, by least squares.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Line {
    /// What it is of.
    pub value: &'static str,
    /// Rise of the value for each further node.
    pub slope: f64,
    /// The line's value at 360 nodes.
    pub at_360: f64,
    /// The most that it may be there.
    pub budget: f64,
}

impl Line {
    pub(super) fn new(value: &'static str, budget: f64, points: &[(f64, f64)]) -> Self {
        let count = points.len().max(1) as f64;
        let (sum_x, sum_y) = points.iter().fold((0.0, 0.0), |sum, p| (sum.0 + p.0, sum.1 + p.1));
        let (mean_x, mean_y) = (sum_x / count, sum_y / count);
        let spread: f64 = points.iter().map(|(x, _)| (x - mean_x).powi(2)).sum();
        let shared: f64 = points.iter().map(|(x, y)| (x - mean_x) * (y - mean_y)).sum();
        let slope = if spread > 0.0 { shared / spread } else { 0.0 };
        Self { value, slope, at_360: mean_y + slope * (DESIGN_NODES - mean_x), budget }
    }
}

/// All numbers of nodes, with lines through them.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    /// One row a number of nodes.
    pub rows: Vec<Row>,
    /// The lines.
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
