//! Command-line flags of the entry benchmark.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Path of the nutmeghead binary; by default the one in the same directory as this command
    #[bpaf(argument("PATH"))]
    host_binary: Option<PathBuf>,
    /// Number of open streams
    #[bpaf(argument("COUNT"), fallback(500), display_fallback, guard(|n| (1..=900).contains(n), "must be 1 to 900"))]
    streams: usize,
    /// Interval between events of a stream, 1 to 1,000 milliseconds
    #[bpaf(argument("MS"), fallback(100), display_fallback, guard(|ms| (1..=1_000).contains(ms), "must be 1 to 1000"))]
    interval: u64,
    /// Duration of the measurement of each load, 1 to 60 seconds
    #[bpaf(argument("S"), fallback(5), display_fallback, guard(|s| (1..=60).contains(s), "must be 1 to 60"))]
    seconds: u64,
    /// Print JSON
    json: bool,
}

/// The nutmeghead binary in the same directory as this command.
fn default_binary() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name("nutmeghead")
}

/// Parses the flags of `standin entry`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings {
        host_binary: flags.host_binary.unwrap_or_else(default_binary),
        streams: flags.streams,
        interval: Duration::from_millis(flags.interval),
        window: Duration::from_secs(flags.seconds),
        json: flags.json,
    })
}
