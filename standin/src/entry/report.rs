//! Results of the entry benchmark.

use std::fmt;

use serde::Serialize;

/// Costs of one entry host.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct Report {
    /// Number of open streams.
    pub streams: usize,
    /// Number of streams that ended during the measurement.
    pub broken: u64,
    /// Plain requests answered per second.
    pub requests_per_s: f64,
    /// Events forwarded per second.
    pub events_per_s: f64,
    /// CPU cores used without callers.
    pub idle_core: f64,
    /// CPU time per plain request beyond that of the idle process, in microseconds; none without requests.
    pub us_per_request: Option<f64>,
    /// CPU time per event beyond that of the idle process, in microseconds; none without events.
    pub us_per_event: Option<f64>,
    /// Resident memory without callers, in MiB.
    pub idle_mib: f64,
    /// Resident memory with the streams open, in MiB.
    pub streams_mib: f64,
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let time = |us: Option<f64>| us.map_or_else(|| "-".to_owned(), |us| format!("{us:.1}"));
        writeln!(f, "idle            {:.4} core, {:.1} MiB", self.idle_core, self.idle_mib)?;
        writeln!(
            f,
            "plain requests  {} us each at {:.0}/s",
            time(self.us_per_request),
            self.requests_per_s
        )?;
        writeln!(
            f,
            "events          {} us each at {:.0}/s",
            time(self.us_per_event),
            self.events_per_s
        )?;
        write!(
            f,
            "{} streams      {:.1} MiB, {} ended",
            self.streams, self.streams_mib, self.broken
        )
    }
}
