//! Command-line flags of the relay benchmark.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// The nutmeghead binary; the one beside this command unless given
    #[bpaf(argument("PATH"))]
    node_binary: Option<PathBuf>,
    /// Open streams of the crowded loads
    #[bpaf(argument("COUNT"), fallback(2_000), display_fallback)]
    streams: usize,
    /// Time for which each load is observed, 1 to 60 seconds
    #[bpaf(argument("S"), fallback(2), display_fallback, guard(|s| (1..=60).contains(s), "must be 1 to 60"))]
    seconds: u64,
    /// Run only this load: design, in-phase, crowded, fast or burst; may be given often
    #[bpaf(argument("LOAD"))]
    load: Vec<String>,
    /// Print JSON
    json: bool,
}

/// The nutmeghead binary beside this command.
fn sibling() -> PathBuf {
    std::env::current_exe().unwrap_or_default().with_file_name("nutmeghead")
}

/// Parses the flags of `standin relay`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings {
        node_binary: flags.node_binary.unwrap_or_else(sibling),
        standin_binary: std::env::current_exe().unwrap_or_default(),
        loads: flags.load,
        streams: flags.streams,
        window: Duration::from_secs(flags.seconds),
        json: flags.json,
    })
}
