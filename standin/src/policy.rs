//! Replays recorded traces through the admission and placement code.
//!
//! A replay does not simulate a cluster: failures come from the trace, networks and hosts are not modelled, and the
//! decisions of one policy drive the engine model of the engine stand-in.

pub mod baseline;
pub mod driver;
pub mod generate;
pub mod oracle;
pub mod production;
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

/// Number of replay threads.
const THREADS: usize = 3;

/// A policy that a replay can run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// The admission and placement code of nutmeghead.
    Production,
    /// A baseline for comparison.
    Baseline(Rule),
    /// A policy that knows all output lengths, as the upper reference.
    Oracle,
}

impl Choice {
    /// All policies: production first, then the baselines, the oracle last.
    pub const ALL: [Self; 6] = [
        Self::Production,
        Self::Baseline(Rule::FixedCap),
        Self::Baseline(Rule::Reserve),
        Self::Baseline(Rule::LeastLoaded),
        Self::Baseline(Rule::TwoChoices),
        Self::Oracle,
    ];

    /// Name in reports and on the command line.
    pub fn name(self) -> &'static str {
        match self {
            Self::Production => "nutmeghead",
            Self::Baseline(Rule::FixedCap) => "fixed-cap",
            Self::Baseline(Rule::Reserve) => "reserve-max",
            Self::Baseline(Rule::LeastLoaded) => "least-loaded",
            Self::Baseline(Rule::TwoChoices) => "two-choices",
            Self::Oracle => "oracle",
        }
    }
}

/// Replays traces through the policies and compares the results.
#[derive(Clone, Debug, Bpaf)]
pub struct Options {
    /// First seed; seeds determine generated traces and the random choices of policies
    #[bpaf(argument("N"), fallback(1))]
    pub seed: u64,
    /// Number of consecutive seeds
    #[bpaf(argument("N"), fallback(5))]
    pub seeds: u64,
    /// Number of engines in generated traces, 1 to 100
    #[bpaf(argument("N"), guard(|engines| (1..=100).contains(engines), "must be 1 to 100"), fallback(6))]
    pub engines: u8,
    /// Replay only this trace (quiet, overload, flood, domain-lost, reclaim, shift)
    #[bpaf(argument("NAME"))]
    pub trace: Option<String>,
    /// Replay only this policy
    #[bpaf(argument("NAME"))]
    pub policy: Option<String>,
    /// Replay a recorded trace instead of generated ones
    #[bpaf(argument("FILE"))]
    pub file: Option<PathBuf>,
    /// Write the generated traces of the first seed to a directory without replaying them
    #[bpaf(argument("DIR"))]
    pub record: Option<PathBuf>,
    /// Print JSON
    pub json: bool,
}

/// Errors of a replay.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A file cannot be read or written.
    #[error("cannot access {0}")]
    File(PathBuf, #[source] std::io::Error),
    /// A file is not a trace.
    #[error(transparent)]
    Trace(#[from] trace::Error),
    /// The name of a trace or a policy is unknown.
    #[error("no trace or policy has this name")]
    UnknownName,
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
/// assert!(replay(&trace, 1, Choice::Production).finished_tokens_s > 0.0);
/// ```
pub fn replay(trace: &Trace, seed: u64, choice: Choice) -> Row {
    let score = match choice {
        Choice::Production => driver::replay(trace, seed, production::Production::new(trace, seed)),
        Choice::Baseline(rule) => driver::replay(trace, seed, Baseline::new(rule, trace, seed)),
        Choice::Oracle => driver::replay(trace, seed, oracle::Oracle::new(trace)),
    };
    score.row()
}

/// Runs the command that `options` describe and returns the text to print.
///
/// # Errors
///
/// Returns an [`Error`] if a file cannot be read or written, or a name is unknown.
pub fn run(options: &Options) -> Result<String, Error> {
    if let Some(directory) = &options.record {
        return record(options, directory);
    }
    let choices = select(&Choice::ALL, options.policy.as_deref(), |choice| choice.name())?;
    let traces = load_traces(options)?;
    let groups = replay_all(&traces, &choices);
    if options.json {
        return Ok(serde_json::to_string_pretty(&groups)?);
    }
    Ok(table::text(&groups))
}

/// The items whose name equals `selection`, or all without a selection.
fn select<T: Copy>(
    all: &[T],
    selection: Option<&str>,
    name: impl Fn(T) -> &'static str,
) -> Result<Vec<T>, Error> {
    let matches = |one: &T| selection.is_none_or(|selection| name(*one) == selection);
    let selected: Vec<T> = all.iter().copied().filter(matches).collect();
    if selected.is_empty() { Err(Error::UnknownName) } else { Ok(selected) }
}

/// The traces to replay, each with one variant per seed.
fn load_traces(options: &Options) -> Result<Vec<Vec<(u64, Trace)>>, Error> {
    if let Some(path) = &options.file {
        let text =
            std::fs::read_to_string(path).map_err(|error| Error::File(path.clone(), error))?;
        let trace = Trace::from_text(&text)?;
        let seeds = options.seed..options.seed + options.seeds;
        return Ok(vec![seeds.map(|seed| (seed, trace.clone())).collect()]);
    }
    let names = select(&generate::NAMES, options.trace.as_deref(), |name| name)?;
    let variants = |deployment, name: &'static str| {
        let seeds = options.seed..options.seed + options.seeds.max(1);
        seeds.map(move |seed| (seed, generate::trace(seed, deployment, name, options.engines)))
    };
    let all = Deployment::ALL.into_iter().flat_map(|deployment| {
        names.iter().map(move |name| (deployment, *name)).collect::<Vec<_>>()
    });
    Ok(all.map(|(deployment, name)| variants(deployment, name).collect()).collect())
}

/// Writes the generated traces of the first seed and returns their paths, one per line.
fn record(options: &Options, directory: &std::path::Path) -> Result<String, Error> {
    let single_seed = Options { seeds: 1, file: None, ..options.clone() };
    let mut written = String::new();
    for (_, trace) in load_traces(&single_seed)?.into_iter().flatten() {
        let path = directory.join(format!("{}-{}.trace", trace.deployment.name(), trace.name));
        std::fs::write(&path, trace.to_text()).map_err(|error| Error::File(path.clone(), error))?;
        written.push_str(&format!("{}\n", path.display()));
    }
    Ok(written)
}

/// Replays all traces through all policies on [`THREADS`] threads; the order of the runs does not affect the result.
fn replay_all(traces: &[Vec<(u64, Trace)>], choices: &[Choice]) -> Vec<Group> {
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
    let worker = || {
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
            scope.spawn(worker);
        }
    });
    let rows = rows.into_inner().unwrap_or_default();
    let mut groups = Vec::<Group>::new();
    for ((index, choice, _, trace), row) in runs.iter().zip(rows) {
        let same_group = |group: &&mut Group| {
            group.policy == choice.name()
                && group.trace == traces[*index][0].1.name
                && group.deployment == trace.deployment.name()
        };
        match groups.last_mut().filter(|group| same_group(group)) {
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
