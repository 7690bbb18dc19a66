//! Replay of recorded traces through the admission and placement code.
//!
//! A replay is no simulator of a cluster: it takes each failure from the trace, knows no network and no hosts, and drives
//! the engine model of the engine stand-in with the decisions of one policy.

pub mod baseline;
pub mod driver;
pub mod generate;
pub mod oracle;
pub mod project;
pub mod score;
pub mod table;
#[cfg(test)]
mod tests;
pub mod trace;

use std::path::PathBuf;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};

use bpaf::Bpaf;

use baseline::{Baseline, Rule};
use score::Row;
use table::Group;
use trace::{Deployment, Trace};

/// Threads that replay side by side.
const THREADS: usize = 3;

/// A policy that a replay can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The project's.
    Project,
    /// A baseline.
    Baseline(Rule),
    /// The limit.
    Oracle,
}

impl Choice {
    /// All policies, the project's first and the oracle last.
    pub const ALL: [Self; 6] = [
        Self::Project,
        Self::Baseline(Rule::FixedCap),
        Self::Baseline(Rule::Reserve),
        Self::Baseline(Rule::LeastLoaded),
        Self::Baseline(Rule::TwoChoices),
        Self::Oracle,
    ];

    /// Its name in tables.
    pub fn name(self) -> &'static str {
        match self {
            Self::Project => "nutmeghead",
            Self::Baseline(Rule::FixedCap) => "fixed-cap",
            Self::Baseline(Rule::Reserve) => "reserve-max",
            Self::Baseline(Rule::LeastLoaded) => "least-loaded",
            Self::Baseline(Rule::TwoChoices) => "two-choices",
            Self::Oracle => "oracle",
        }
    }
}

/// Replays traces through the policies side by side.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// First seed of the generated traces
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Number of seeds, one after the other
    #[bpaf(argument("N"), fallback(5))]
    pub seeds: u64,
    /// Engines of the generated fleet, 1 to 100
    #[bpaf(argument("N"), guard(|engines| (1..=100).contains(engines), "must be 1 to 100"), fallback(6))]
    pub engines: u8,
    /// Only this trace (quiet, overload, flood, domain-lost, reclaim, shift)
    #[bpaf(argument("NAME"))]
    pub trace: Option<String>,
    /// Only this policy
    #[bpaf(argument("NAME"))]
    pub policy: Option<String>,
    /// Replay a recorded trace in place of generated ones
    #[bpaf(argument("FILE"))]
    pub file: Option<PathBuf>,
    /// Write the generated traces of the first seed to a directory and replay nothing
    #[bpaf(argument("DIR"))]
    pub record: Option<PathBuf>,
    /// Print JSON
    pub json: bool,
}

/// Why a replay could not be done.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("cannot access {0}")]
    File(PathBuf, #[source] std::io::Error),
    /// A file is not a trace.
    #[error(transparent)]
    Trace(#[from] trace::Error),
    /// No trace or policy has the name.
    #[error("no trace or policy has this name")]
    Name,
    /// The result cannot be written as JSON.
    #[error("the result cannot be written as JSON")]
    Json(#[from] serde_json::Error),
}

/// Replays one trace through one policy.
///
/// ```
/// use standin::policy::{Choice, generate, replay, trace};
/// let mut trace = generate::trace(1, trace::Deployment::Rumbo, "quiet", 3);
/// trace.events.truncate(40);
/// assert!(replay(&trace, 1, Choice::Project).finished_tokens_s > 0.0);
/// ```
pub fn replay(trace: &Trace, seed: u64, choice: Choice) -> Row {
    let score = match choice {
        Choice::Project => driver::replay(trace, seed, project::Project::new(trace, seed)),
        Choice::Baseline(rule) => driver::replay(trace, seed, Baseline::new(rule, trace, seed)),
        Choice::Oracle => driver::replay(trace, seed, oracle::Oracle::new(trace)),
    };
    score.row()
}

/// Does what `options` say and returns the text to print.
///
/// # Errors
///
/// Returns an [`Error`] if a file cannot be read or written, or a name is unknown.
pub fn run(options: &Options) -> Result<String, Error> {
    if let Some(directory) = &options.record {
        return record(options, directory);
    }
    let choices = named(&Choice::ALL, options.policy.as_deref(), |choice| choice.name())?;
    let traces = traces(options)?;
    let groups = play(&traces, &choices);
    if options.json {
        return Ok(serde_json::to_string_pretty(&groups)?);
    }
    Ok(table::text(&groups))
}

fn named<T: Copy>(
    all: &[T],
    wanted: Option<&str>,
    name: impl Fn(T) -> &'static str,
) -> Result<Vec<T>, Error> {
    let matches = |one: &T| wanted.is_none_or(|wanted| name(*one) == wanted);
    let found: Vec<T> = all.iter().copied().filter(matches).collect();
    if found.is_empty() { Err(Error::Name) } else { Ok(found) }
}

/// The traces to replay, each with its seeds' variants.
fn traces(options: &Options) -> Result<Vec<Vec<(u64, Trace)>>, Error> {
    if let Some(path) = &options.file {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File(path.clone(), error))?;
        let trace = Trace::from_text(&text)?;
        let seeds = options.seed..options.seed + options.seeds;
        return Ok(vec![seeds.map(|seed| (seed, trace.clone())).collect()]);
    }
    let names = named(&generate::NAMES, options.trace.as_deref(), |name| name)?;
    let variants = |deployment, name: &'static str| {
        let seeds = options.seed..options.seed + options.seeds.max(1);
        seeds.map(move |seed| (seed, generate::trace(seed, deployment, name, options.engines)))
    };
    let all = Deployment::ALL.into_iter().flat_map(|deployment| {
        names.iter().map(move |name| (deployment, *name)).collect::<Vec<_>>()
    });
    Ok(all.map(|(deployment, name)| variants(deployment, name).collect()).collect())
}

fn record(options: &Options, directory: &std::path::Path) -> Result<String, Error> {
    let once = Options { seeds: 1, file: None, ..options.clone() };
    let mut written = String::new();
    for (_, trace) in traces(&once)?.into_iter().flatten() {
        let path = directory.join(format!("{}-{}.trace", trace.deployment.name(), trace.name));
        std::fs::write(&path, trace.to_text()).map_err(|error| Error::File(path.clone(), error))?;
        written.push_str(&format!("{}\n", path.display()));
    }
    Ok(written)
}

/// Replays all traces through all policies, a few at a time; the result does not depend on their order.
fn play(traces: &[Vec<(u64, Trace)>], choices: &[Choice]) -> Vec<Group> {
    let runs: Vec<(usize, Choice, u64, &Trace)> = traces
        .iter()
        .enumerate()
        .flat_map(|(index, variants)| {
            choices.iter().flat_map(move |choice| {
                variants.iter().map(move |(seed, trace)| (index, *choice, *seed, trace))
            })
        })
        .collect();
    let rows = Mutex::new(vec![Row::default(); runs.len()]);
    let next = AtomicUsize::new(0);
    let work = || {
        loop {
            let index = next.fetch_add(1, Ordering::Relaxed);
            let Some((_, choice, seed, trace)) = runs.get(index) else {
                return;
            };
            let row = replay(trace, *seed, *choice);
            if let Ok(mut rows) = rows.lock() {
                rows[index] = row;
            }
        }
    };
    std::thread::scope(|scope| {
        for _ in 0..THREADS {
            scope.spawn(work);
        }
    });
    let rows = rows.into_inner().unwrap_or_default();
    let mut groups = Vec::<Group>::new();
    for ((index, choice, _, trace), row) in runs.iter().zip(rows) {
        let same = |group: &&mut Group| {
            group.policy == choice.name()
                && group.trace == traces[*index][0].1.name
                && group.deployment == trace.deployment.name()
        };
        match groups.last_mut().filter(|group| same(group)) {
            Some(group) => group.rows.push(row),
            None => groups.push(Group {
                deployment: trace.deployment.name(),
                trace: trace.name.clone(),
                policy: choice.name(),
                rows: vec![row],
            }),
        }
    }
    groups
}
