//! Lengths of prompts and of outputs.

use rand::RngExt;
use rand::rngs::StdRng;

/// Shortest random output, in tokens.
const SHORTEST_TOKENS: f64 = 20.0;

/// Longest random output, in tokens.
const LONGEST_TOKENS: f64 = 20_000.0;

/// Shape parameter of the Pareto distribution of random outputs; a smaller value gives a heavier tail.
const PARETO_SHAPE: f64 = 1.1;

/// Bytes of text per prompt token.
const BYTES_PER_TOKEN: usize = 4;

/// The output length that a prompt requests with a word `len=N`, or a random one, in tokens. Callers cannot predict a
/// random length.
pub(super) fn output_tokens(prompt: &str, rng: &mut StdRng) -> u32 {
    let requested =
        prompt.split_whitespace().find_map(|word| word.strip_prefix("len=")?.parse().ok());
    requested.unwrap_or_else(|| random(rng)).max(1)
}

/// The length of a prompt, in tokens.
pub(super) fn prompt_tokens(prompt: &str) -> u32 {
    tokens(prompt.len())
}

/// The number of tokens in a text of this many bytes.
pub(super) fn tokens(bytes: usize) -> u32 {
    u32::try_from(bytes.div_ceil(BYTES_PER_TOKEN)).unwrap_or(u32::MAX)
}

fn random(rng: &mut StdRng) -> u32 {
    let uniform: f64 = rng.random_range(f64::EPSILON..1.0);
    (SHORTEST_TOKENS / uniform.powf(1.0 / PARETO_SHAPE)).min(LONGEST_TOKENS) as u32
}
