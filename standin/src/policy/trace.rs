//! Traces: who asked for what and when, and what failed. The format is in `standin/traces/README.md`.

use std::fmt::Write as _;
use std::str::{FromStr, SplitWhitespace};

/// First line of a trace.
const HEADER: &str = "nutmeghead-trace 1";

/// Whose fleet a trace is of.
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

    /// Its name in traces.
    pub fn name(self) -> &'static str {
        match self {
            Self::Rumbo => "rumbo",
            Self::Fortovsraad => "fortovsraad",
        }
    }

    /// Names of its workloads; the first is the long, streamed work.
    pub fn workloads(self) -> [&'static str; 3] {
        match self {
            Self::Rumbo => ["rebuild", "check", "summary"],
            Self::Fortovsraad => ["decision", "sorting", "summary"],
        }
    }
}

/// An engine of the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Engine {
    /// Memory for generations, in tokens.
    pub memory_tokens: u64,
    /// Its failure domain.
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
    /// Largest output that the caller allows, in tokens; 0 if it says nothing.
    pub max_tokens: u32,
    /// Number of the prompt's shared prefix.
    pub prefix: u32,
    /// Length of the shared prefix, in tokens.
    pub prefix_tokens: u32,
}

/// What happens in a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Kind {
    /// A request arrives.
    Arrive(Arrival),
    /// All engines of a failure domain are lost at once.
    Lose {
        /// The failure domain.
        domain: u8,
    },
    /// An engine says that it leaves, and is gone a short time later.
    Reclaim {
        /// Index of the engine.
        engine: u8,
        /// Time until it is gone, in milliseconds.
        notice_ms: u64,
    },
}

/// An event of a trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// When, in milliseconds from the trace's start.
    pub at_ms: u64,
    /// What.
    pub kind: Kind,
}

/// A recorded or generated trace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Trace {
    /// Whose fleet it is of.
    pub deployment: Deployment,
    /// Its name.
    pub name: String,
    /// The fleet.
    pub engines: Vec<Engine>,
    /// Events by time.
    pub events: Vec<Event>,
}

/// Why a text is not a trace.
#[derive(Clone, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The first line is not the format's.
    #[error("a trace begins with {HEADER:?}")]
    Header,
    /// A line cannot be read.
    #[error("line {0} of the trace cannot be read")]
    Line(usize),
    /// No deployment or no engine is named.
    #[error("a trace names its deployment and at least one engine")]
    Incomplete,
}

impl Trace {
    /// The time of the last event, in milliseconds.
    pub fn end_ms(&self) -> u64 {
        self.events.last().map_or(0, |event| event.at_ms)
    }

    /// Writes the trace as text.
    pub fn to_text(&self) -> String {
        let mut text =
            format!("{HEADER}\ndeployment {}\ntrace {}\n", self.deployment.name(), self.name);
        for engine in &self.engines {
            let _ = writeln!(text, "engine {} {}", engine.memory_tokens, engine.domain);
        }
        let mut last_ms = 0;
        for event in &self.events {
            let wait_ms = event.at_ms - last_ms;
            last_ms = event.at_ms;
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
                Kind::Lose { domain } => writeln!(text, "d {wait_ms} {domain}"),
                Kind::Reclaim { engine, notice_ms } => {
                    writeln!(text, "r {wait_ms} {engine} {notice_ms}")
                }
            };
        }
        text
    }

    /// Reads a trace.
    ///
    /// # Errors
    ///
    /// Returns an [`Error`] with the line that cannot be read.
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
            let mut words = line.split_whitespace();
            match words.next().ok_or(error.clone())? {
                "deployment" => {
                    let name = words.next();
                    deployment = Deployment::ALL.into_iter().find(|one| Some(one.name()) == name);
                }
                "trace" => trace.name = words.next().ok_or(error)?.to_owned(),
                "engine" => trace.engines.push(engine(&mut words).ok_or(error)?),
                kind => {
                    now_ms += number::<u64>(&mut words).ok_or(error.clone())?;
                    let kind = event(kind, &mut words).ok_or(error)?;
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

fn engine(words: &mut SplitWhitespace<'_>) -> Option<Engine> {
    Some(Engine { memory_tokens: number(words)?, domain: number(words)? })
}

fn event(kind: &str, words: &mut SplitWhitespace<'_>) -> Option<Kind> {
    match kind {
        "a" => Some(Kind::Arrive(Arrival {
            organisation: number(words)?,
            workload: number(words).filter(|workload| *workload < 3)?,
            priority: number(words).filter(|priority| *priority < 10)?,
            prompt_tokens: number(words)?,
            output_tokens: number(words)?,
            max_tokens: number(words)?,
            prefix: number(words)?,
            prefix_tokens: number(words)?,
        })),
        "d" => Some(Kind::Lose { domain: number(words)? }),
        "r" => Some(Kind::Reclaim { engine: number(words)?, notice_ms: number(words)? }),
        _ => None,
    }
}

fn number<N: FromStr>(words: &mut SplitWhitespace<'_>) -> Option<N> {
    words.next()?.parse().ok()
}
