//! Command-line flags of the membership experiment.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::Settings;

/// Largest number of nodes in one run.
const MAX_NODES: usize = 400;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Path of the nutmeghead binary; by default the one in the same directory as this command
    #[bpaf(argument("PATH"))]
    node_binary: Option<PathBuf>,
    /// Comma-separated numbers of nodes, 3 to 400 each; by default 9,36,90,180
    #[bpaf(argument("LIST"), fallback(Sizes(vec![9, 36, 90, 180])))]
    sizes: Sizes,
    /// Duration of the measurement of the idle cost, 1 to 60 seconds
    #[bpaf(argument("S"), fallback(15), display_fallback, guard(|s| (1..=60).contains(s), "must be 1 to 60"))]
    seconds: u64,
    /// Print JSON
    json: bool,
}

/// A list of sizes is invalid.
#[derive(Debug, thiserror::Error)]
#[error("expected comma-separated numbers from 3 to {MAX_NODES}")]
pub struct Error;

/// Numbers of nodes.
#[derive(Clone, Debug)]
pub(super) struct Sizes(pub(super) Vec<usize>);

impl std::str::FromStr for Sizes {
    type Err = Error;

    fn from_str(list: &str) -> Result<Self, Error> {
        let size = |text: &str| match text.parse() {
            Ok(size) if (3..=MAX_NODES).contains(&size) => Ok(size),
            _ => Err(Error),
        };
        list.split(',').map(size).collect::<Result<_, _>>().map(Self)
    }
}

/// Parses the flags of `standin membership`.
pub fn parser() -> impl Parser<Settings> {
    let default_binary =
        || std::env::current_exe().unwrap_or_default().with_file_name("nutmeghead");
    flags().map(move |flags| Settings {
        node_binary: flags.node_binary.unwrap_or_else(default_binary),
        sizes: flags.sizes.0,
        window: Duration::from_secs(flags.seconds),
        json: flags.json,
    })
}
