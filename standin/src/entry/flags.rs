//! Command-line flags of the entry benchmark.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// The nutmeghead binary; the one beside this command unless given
    #[bpaf(argument("PATH"))]
    host_binary: Option<PathBuf>,
    /// Open streams
    #[bpaf(argument("COUNT"), fallback(500), display_fallback, guard(|n| (1..=900).contains(n), "must be 1 to 900"))]
    streams: usize,
    /// Time between two events of a stream, 1 to 1,000 milliseconds
    #[bpaf(argument("MS"), fallback(100), display_fallback, guard(|ms| (1..=1_000).contains(ms), "must be 1 to 1000"))]
    interval: u64,
    /// Time for which each load is observed, 1 to 60 seconds
    #[bpaf(argument("S"), fallback(5), display_fallback, guard(|s| (1..=60).contains(s), "must be 1 to 60"))]
    seconds: u64,
    /// Print JSON
    json: bool,
}

/// The nutmeghead binary beside this command.
fn sibling() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name("nutmeghead")
}

/// Parses the flags of `standin entry`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings {
        host_binary: flags.host_binary.unwrap_or_else(sibling),
        streams: flags.streams,
        interval: Duration::from_millis(flags.interval),
        window: Duration::from_secs(flags.seconds),
        json: flags.json,
    })
}
