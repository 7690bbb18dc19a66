//! Account of the requests that entry hosts did not serve, or served late, and of the reasons, from the logs of all hosts.

use std::collections::{BTreeMap, HashMap};
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use plotters::prelude::*;
use serde::Serialize;

mod line;

use line::{Event, Line};

/// Size of the plot, in pixels.
const PLOT_SIZE: (u32, u32) = (900, 360);

/// Options of the account.
#[derive(Clone, Debug)]
pub struct Options {
    json: bool,
    plot: Option<PathBuf>,
    log: PathBuf,
}

/// The command-line options.
pub fn options() -> impl Parser<Options> {
    let json = long("json").help("Write JSON").switch();
    let plot = long("plot").help("Write a plot of the causes by second to this SVG file");
    let plot = plot.argument::<PathBuf>("FILE").optional();
    let log =
        positional::<PathBuf>("LOG").help("Lines of all hosts, each JSON after an optional prefix");
    construct!(Options { json, plot, log })
}

/// Why the account failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The log cannot be read.
    #[error("cannot read the log")]
    Read(#[source] std::io::Error),
    /// The account cannot be written as JSON.
    #[error("cannot write the account as JSON")]
    Json(#[from] serde_json::Error),
    /// The plot cannot be drawn.
    #[error("cannot draw the plot: {0}")]
    Plot(String),
}

/// What became of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Cause {
    /// It was served in time.
    Served,
    /// Its first event or its response came late.
    LateStart,
    /// A pause between its events was too long.
    LongPause,
    /// Its engine left before its first copy was complete, or before it began.
    CutInFirstCopy,
    /// Its engine left after a complete copy, while the rest was copied or it waited for that.
    CutInRest,
    /// Its server broke the response off.
    BrokenOff,
    /// The server ran it and answered with an error.
    ServerError,
    /// No response arrived, and it may have run.
    Lost,
    /// It was refused, or no server had room.
    Refused,
    /// It timed out.
    TimedOut,
    /// Its caller left.
    CallerLeft,
    /// Its host ended first.
    HostEnded,
    /// Another outcome.
    Other,
}

/// A request, as far as the log tells.
#[derive(Clone, Debug, Default)]
struct Request {
    route: Option<String>,
    second: u64,
    outcome: Option<String>,
    /// Whether the first event or the response came late.
    is_late: bool,
    has_long_pause: bool,
    /// Whether its engine left while it ran.
    migrates: bool,
    has_copy: bool,
}

impl Request {
    fn apply(&mut self, line: Line) {
        match line.event {
            Event::Chosen => {
                self.second = if self.second == 0 { line.second } else { self.second };
            }
            Event::MigrationStarted => (self.migrates, self.has_copy) = (true, false),
            Event::Copied => self.has_copy = true,
            Event::Continued => (self.migrates, self.has_copy) = (false, false),
            Event::StreamEnded => {
                self.is_late |= exceeds(line.first_event_ms, line.objective_ms);
                self.has_long_pause |= exceeds(line.longest_pause_ms, line.max_pause_ms);
            }
            Event::Finished => {
                self.is_late |= !line.is_stream && exceeds(line.ms, line.objective_ms);
                (self.route, self.outcome) = (line.route, line.outcome);
            }
        }
    }

    fn cause(&self) -> Cause {
        let Some(outcome) = &self.outcome else { return Cause::HostEnded };
        match outcome.as_str() {
            "ok" if self.is_late => Cause::LateStart,
            "ok" if self.has_long_pause => Cause::LongPause,
            "ok" => Cause::Served,
            "broken" if self.migrates && self.has_copy => Cause::CutInRest,
            "broken" if self.migrates => Cause::CutInFirstCopy,
            "broken" => Cause::BrokenOff,
            "server_failure" => Cause::ServerError,
            "lost" => Cause::Lost,
            "timeout" => Cause::TimedOut,
            "caller_left" | "caller_stalled" => Cause::CallerLeft,
            "full" | "no_server" | "no_document" | "evacuated" | "quarantined" | "memory"
            | "stopping" | "unknown_origin" => Cause::Refused,
            _ => Cause::Other,
        }
    }
}

fn exceeds(value: Option<u64>, limit: Option<u64>) -> bool {
    value.zip(limit).is_some_and(|(value, limit)| value > limit)
}

/// Requests by cause.
pub type Counts = BTreeMap<Cause, u64>;

/// The requests of one log by route and by the second in which a server was chosen first.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize)]
pub struct Account {
    /// By route; `-` for requests whose host ended first.
    pub routes: BTreeMap<String, Counts>,
    /// By second since the start of the first request.
    pub seconds: BTreeMap<u64, Counts>,
}

impl Account {
    /// The account of a log. Lines that are not about a request are skipped.
    ///
    /// ```
    /// use standin::account::{Account, Cause};
    /// let log = r#"{"msg":"request finished","ts":"2026-01-01T00:00:01Z","request":"r","route":"a","outcome":"full"}"#;
    /// assert_eq!(Account::new(log).routes["a"][&Cause::Refused], 1);
    /// ```
    pub fn new(log: &str) -> Self {
        let mut requests: HashMap<String, Request> = HashMap::new();
        for (request, line) in log.lines().filter_map(line::parse) {
            requests.entry(request).or_default().apply(line);
        }
        let mut account = Self::default();
        let first = requests.values().map(|request| request.second).filter(|s| *s > 0).min();
        for request in requests.values() {
            let (route, cause) = (request.route.as_deref().unwrap_or("-"), request.cause());
            let counts = account.routes.entry(route.to_owned()).or_default();
            *counts.entry(cause).or_default() += 1;
            let second = request.second.saturating_sub(first.unwrap_or_default());
            *account.seconds.entry(second).or_default().entry(cause).or_default() += 1;
        }
        account
    }

    /// The account as a table: a line for each route and cause.
    pub fn table(&self) -> String {
        let mut text = String::from("route                cause                requests   share\n");
        for (route, counts) in &self.routes {
            let total: u64 = counts.values().sum();
            for (cause, count) in counts {
                let share = *count as f64 / total.max(1) as f64;
                text += &format!("{route:20} {:20} {count:8} {share:7.3}\n", format!("{cause:?}"));
            }
        }
        text
    }

    /// The requests that were not served in time by second, as an SVG plot with a line for each cause.
    ///
    /// # Errors
    ///
    /// [`Error::Plot`] if the plot cannot be drawn.
    pub fn plot(&self) -> Result<String, Error> {
        let mut svg = String::new();
        self.draw(&mut svg).map_err(|error| Error::Plot(error.to_string()))?;
        Ok(svg)
    }

    fn draw(&self, svg: &mut String) -> Result<(), DrawingAreaErrorKind<std::io::Error>> {
        let last = self.seconds.keys().last().copied().unwrap_or_default() + 1;
        let lost = |counts: &Counts| {
            counts.iter().filter(|(cause, _)| **cause != Cause::Served).map(|(_, n)| *n).max()
        };
        let most = self.seconds.values().filter_map(lost).max().unwrap_or_default() + 1;
        let area = SVGBackend::with_string(svg, PLOT_SIZE).into_drawing_area();
        let convert = |_| DrawingAreaErrorKind::LayoutError;
        let mut chart = ChartBuilder::on(&area)
            .margin(10)
            .build_cartesian_2d(0..last, 0..most)
            .map_err(convert)?;
        let causes: std::collections::BTreeSet<_> =
            self.seconds.values().flat_map(|counts| counts.keys().copied()).collect();
        for (index, cause) in causes.into_iter().filter(|c| *c != Cause::Served).enumerate() {
            let count = |counts: &Counts| counts.get(&cause).copied().unwrap_or_default();
            let points = self.seconds.iter().map(|(second, counts)| (*second, count(counts)));
            chart.draw_series(LineSeries::new(points, &Palette99::pick(index))).map_err(convert)?;
        }
        area.present().map_err(convert)
    }
}

/// Reads the log and returns the account, as a table or JSON; also writes the plot if one is wanted.
///
/// # Errors
///
/// [`Error`] if the log cannot be read or the account cannot be written.
pub fn run(options: &Options) -> Result<String, Error> {
    let log = std::fs::read(&options.log).map_err(Error::Read)?;
    let account = Account::new(&String::from_utf8_lossy(&log));
    if let Some(path) = &options.plot {
        let svg = account.plot()?;
        std::fs::write(path, svg).map_err(|error| Error::Plot(error.to_string()))?;
    }
    if options.json {
        return Ok(serde_json::to_string_pretty(&account)?);
    }
    Ok(account.table())
}

#[cfg(test)]
mod tests;
