//! Learns how much memory has to stay free for the growth of the generations that run at an engine.
//!
//! Generations grow while they run, and memory becomes free when one of them ends. With `n` of them, each of which produces
//! `mean` tokens in all, one ends each time that all together have produced `mean` tokens. The probability that none has
//! ended before they have produced `LIVES` times as many is exp(-`LIVES`), whatever their number is.

/// Room for growth, in mean outputs: 2 in 100 generations are admitted too early.
const LIVES: f64 = 4.0;

/// Room for growth before outputs are known, as a fraction of an engine's memory.
const INITIAL_FRACTION: f64 = 0.16;

/// Largest room for growth, as a fraction of an engine's memory. Beyond it, too few generations would run at once.
const MAX_FRACTION: f64 = 0.4;

/// Outputs that count as much as the initial fraction.
const INITIAL_WEIGHT: f64 = 16.0;

/// Number of recent outputs that determine the mean.
const MEMORY: f64 = 200.0;

/// Output of the long generations of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Outputs {
    mean: f64,
    count: f64,
}

impl Outputs {
    /// Records a generation that ended after `tokens` of output.
    pub fn record(&mut self, tokens: u64) {
        self.count = (self.count + 1.0).min(MEMORY);
        self.mean += (tokens as f64 - self.mean) / self.count;
    }

    /// Highest memory occupancy at which a further long generation is admitted at an engine with `memory_tokens`.
    ///
    /// ```
    /// let mut outputs = nutmeghead::load::Outputs::default();
    /// assert_eq!(outputs.max_occupancy(20_000), 0.84);
    /// for _ in 0..1_000 {
    ///     outputs.record(500);
    /// }
    /// assert!(outputs.max_occupancy(20_000) > 0.89, "2,000 tokens may still be produced before one ends");
    /// ```
    pub fn max_occupancy(self, memory_tokens: u64) -> f64 {
        let learnt = LIVES * self.mean / memory_tokens.max(1) as f64;
        let sum = INITIAL_WEIGHT * INITIAL_FRACTION + self.count * learnt;
        1.0 - (sum / (INITIAL_WEIGHT + self.count)).min(MAX_FRACTION)
    }
}
