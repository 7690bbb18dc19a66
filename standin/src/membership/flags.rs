//! Command-line flags of the membership experiment.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Bpaf, Parser};

use super::Settings;

/// Largest number of nodes in one run.
const MAX_NODES: usize = 400;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// The nutmeghead binary; the one beside this command unless given
    #[bpaf(argument("PATH"))]
    node_binary: Option<PathBuf>,
    /// Numbers of nodes with commas between, 3 to 400 each; 9,36,90,180 unless given
    #[bpaf(argument("LIST"), fallback(Sizes(vec![9, 36, 90, 180])))]
    sizes: Sizes,
    /// Time over which the idle cost is taken, 1 to 60 seconds
    #[bpaf(argument("S"), fallback(15), display_fallback, guard(|s| (1..=60).contains(s), "must be 1 to 60"))]
    seconds: u64,
    /// Print JSON
    json: bool,
}

/// Why a list of sizes cannot be used.
#[derive(Debug, thiserror::Error)]
#[error("expected numbers from 3 to {MAX_NODES} with commas between")]
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
    let beside = || std::env::current_exe().unwrap_or_default().with_file_name("nutmeghead");
    flags().map(move |flags| Settings {
        node_binary: flags.node_binary.unwrap_or_else(beside),
        sizes: flags.sizes.0,
        window: Duration::from_secs(flags.seconds),
        json: flags.json,
    })
}
