//! Command-line flags of the relay benchmark.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Path of the nutmeghead binary; by default the one in the same directory as this command
    #[bpaf(argument("PATH"))]
    node_binary: Option<PathBuf>,
    /// Number of open streams of the crowded, fast and burst loads
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    streams: usize,
    /// Duration of the measurement of each load, 1 to 60 seconds
    #[bpaf(argument("S"), fallback(2), display_fallback, guard(|s| (1..=60).contains(s), "must be 1 to 60"))]
    seconds: u64,
    /// Run only this load: design, in-phase, crowded, fast or burst; may be repeated
    #[bpaf(argument("LOAD"))]
    load: Vec<String>,
    /// Print JSON
    json: bool,
}

/// The nutmeghead binary in the same directory as this command.
fn default_binary() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name("nutmeghead")
}

/// Parses the flags of `standin relay`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings {
        node_binary: flags.node_binary.unwrap_or_else(default_binary),
        standin_binary: std::env::current_exe().unwrap_or_default(),
        loads: flags.load,
        streams: flags.streams,
        window: Duration::from_secs(flags.seconds),
        json: flags.json,
    })
}
