//! True lengths of outputs, unknown to callers.

use rand::RngExt;
use rand::rngs::StdRng;

/// Shortest random output, in tokens.
const SHORTEST_TOKENS: f64 = 20.0;

/// Longest random output, in tokens.
const LONGEST_TOKENS: f64 = 20_000.0;

/// Shape of the Pareto distribution; smaller gives a heavier tail.
const TAIL: f64 = 1.1;

/// Bytes of text to a prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// The length that a prompt asks for by a word `len=N`, or a random one.
pub(super) fn output(prompt: &str, rng: &mut StdRng) -> u32 {
    let asked = prompt.split_whitespace().find_map(|word| word.strip_prefix("len=")?.parse().ok());
    asked.unwrap_or_else(|| random(rng)).max(1)
}

/// The length of a prompt, in tokens.
pub(super) fn prompt(prompt: &str) -> u32 {
    tokens(prompt.len())
}

/// The tokens of a text of so many bytes.
pub(super) fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn random(rng: &mut StdRng) -> u32 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (SHORTEST_TOKENS / uniform.powf(1.0 / TAIL)).min(LONGEST_TOKENS) as u32
}
