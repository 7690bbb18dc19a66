//! Traces of request arrivals and engine failures. The format is described in `standin/traces/README.md`.

use std::fmt::Write as _;
use std::str::{FromStr, SplitWhitespace};

/// First line of a trace.
const HEADER: &str = "nutmeghead-trace 1";

/// Deployment that a trace represents.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Deployment {
    /// Crew rostering; stalls and preemptions weigh most.
    Rumbo,
    /// Café permits; the tail of the time between tokens weighs most.
    Fortovsraad,
}

impl Deployment {
    /// Both deployments.
    pub const ALL: [Self; 2] = [Self::Rumbo, Self::Fortovsraad];

    /// Name in traces and reports.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rumbo => "rumbo",
            Self::Fortovsraad => "fortovsraad",
        }
    }

    /// Names of the workloads; the first one has the long streams.
    pub fn workloads(self) -> [&'static str; 3] {
        match self {
            Self::Rumbo => ["rebuild", "check", "summary"],
            Self::Fortovsraad => ["decision", "sorting", "summary"],
        }
    }
}

/// An engine of a trace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Number of its failure domain.
    pub domain: u8,
}

/// A request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// Index of the organisation.
    pub organisation: u8,
    /// Index into [`Deployment::workloads`].
    pub workload: u8,
    /// Priority, 0 (most urgent) to 9.
    pub priority: u8,
    /// Length of the prompt, in tokens.
    pub prompt_tokens: u32,
    /// Length of the output, in tokens; unknown to all policies but the oracle.
    pub output_tokens: u32,
    /// The caller's limit for the output, in tokens; 0 without a limit.
    pub max_tokens: u32,
    /// Identifier of the prompt's shared prefix.
    pub prefix: u32,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
}

/// Kind of a trace event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request arrives.
    Arrive(Arrival),
    /// All engines of a failure domain are lost at once.
    DomainLost {
        /// The failure domain.
        domain: u8,
    },
    /// An engine announces that it is being reclaimed and is lost at the end of the notice period.
    Reclaim {
        /// Index of the engine.
        engine: u8,
        /// Notice period, in milliseconds.
        notice_ms: u64,
    },
}

/// An event of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// Time since the start of the trace, in milliseconds.
    pub at_ms: u64,
    /// Kind of event.
    pub kind: Kind,
}

/// A recorded or generated trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// The deployment.
    pub deployment: Deployment,
    /// Name of the trace.
    pub name: String,
    /// Engines by index.
    pub engines: Vec<Engine>,
    /// Events ordered by time.
    pub events: Vec<Event>,
}

/// Errors of parsing a trace.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The first line is not the header.
    #[error("the first line of a trace must be {HEADER:?}")]
    Header,
    /// The line with this number, counted from 1, is malformed.
    #[error("line {0} of the trace is malformed")]
    Line(usize),
    /// The deployment is missing or unknown, or there is no engine.
    #[error("the trace needs a known deployment and at least one engine")]
    Incomplete,
}

impl Trace {
    /// The time of the last event, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        self.events.last().map_or(0, |event| event.at_ms)
    }

    /// Formats the trace as text.
    pub fn to_text(&self) -> String {
        let mut text =
            format!("{HEADER}\ndeployment {}\ntrace {}\n", self.deployment.name(), self.name);
        for engine in &self.engines {
            let _ = writeln!(text, "engine {} {}", engine.memory_tokens, engine.domain);
        }
        let mut previous_ms = 0;
        for event in &self.events {
            let wait_ms = event.at_ms - previous_ms;
            previous_ms = event.at_ms;
            let _ = match &event.kind {
                Kind::Arrive(a) => writeln!(
                    text,
                    "a {wait_ms} {} {} {} {} {} {} {} {}",
                    a.organisation,
                    a.workload,
                    a.priority,
                    a.prompt_tokens,
                    a.output_tokens,
                    a.max_tokens,
                    a.prefix,
                    a.prefix_tokens
                ),
                Kind::DomainLost { domain } => writeln!(text, "d {wait_ms} {domain}"),
                Kind::Reclaim { engine, notice_ms } => {
                    writeln!(text, "r {wait_ms} {engine} {notice_ms}")
                }
            };
        }
        text
    }

    /// Parses a trace.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] if the header, a line or a required item is malformed or missing.
    pub fn from_text(text: &str) -> Result<Self, Error> {
        let mut lines = text.lines().enumerate();
        if lines.next().is_none_or(|(_, line)| line != HEADER) {
            return Err(Error::Header);
        }
        let mut deployment = None;
        let mut trace = Self {
            deployment: Deployment::Rumbo,
            name: String::new(),
            engines: Vec::new(),
            events: Vec::new(),
        };
        let mut now_ms = 0;
        for (index, line) in lines {
            let error = Error::Line(index + 1);
            let mut fields = line.split_whitespace();
            match fields.next().ok_or(error.clone())? {
                "deployment" => {
                    let name = fields.next();
                    deployment =
                        Deployment::ALL.into_iter().find(|known| Some(known.name()) == name);
                }
                "trace" => trace.name = fields.next().ok_or(error)?.to_owned(),
                "engine" => trace.engines.push(parse_engine(&mut fields).ok_or(error)?),
                kind => {
                    now_ms += parse_number::<u64>(&mut fields).ok_or(error.clone())?;
                    let kind = parse_event(kind, &mut fields).ok_or(error)?;
                    trace.events.push(Event { at_ms: now_ms, kind });
                }
            }
        }
        trace.deployment = deployment.ok_or(Error::Incomplete)?;
        if trace.engines.is_empty() {
            return Err(Error::Incomplete);
        }
        Ok(trace)
    }
}

fn parse_engine(fields: &mut SplitWhitespace<'_>) -> Option<Engine> {
    Some(Engine { memory_tokens: parse_number(fields)?, domain: parse_number(fields)? })
}

fn parse_event(kind: &str, fields: &mut SplitWhitespace<'_>) -> Option<Kind> {
    match kind {
        "a" => Some(Kind::Arrive(Arrival {
            organisation: parse_number(fields)?,
            workload: parse_number(fields).filter(|workload| *workload < 3)?,
            priority: parse_number(fields).filter(|priority| *priority < 10)?,
            prompt_tokens: parse_number(fields)?,
            output_tokens: parse_number(fields)?,
            max_tokens: parse_number(fields)?,
            prefix: parse_number(fields)?,
            prefix_tokens: parse_number(fields)?,
        })),
        "d" => Some(Kind::DomainLost { domain: parse_number(fields)? }),
        "r" => {
            Some(Kind::Reclaim { engine: parse_number(fields)?, notice_ms: parse_number(fields)? })
        }
        _ => None,
    }
}

fn parse_number<N: FromStr>(fields: &mut SplitWhitespace<'_>) -> Option<N> {
    fields.next()?.parse().ok()
}
