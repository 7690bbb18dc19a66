//! Command-line flags of an engine.

use std::net::SocketAddr;

use bpaf::{Bpaf, Parser};

use super::{Settings, model};

/// Engines to run in one process.
#[derive(Clone, Debug)]
pub struct Group {
    /// Settings of the first engine.
    pub settings: Settings,
    /// Number of engines.
    pub count: u16,
}

impl Group {
    /// Returns the settings of each engine. Seeds are consecutive, and so are ports unless the port is 0.
    ///
    /// ```
    /// use standin::engine::{Settings, flags::Group};
    /// let group = Group { settings: Settings::default(), count: 3 };
    /// assert_eq!(group.expand().map(|settings| settings.model.seed).collect::<Vec<_>>(), [1, 2, 3]);
    /// ```
    pub fn expand(&self) -> impl Iterator<Item = Settings> {
        (0..self.count).map(|index| {
            let mut settings = self.settings.clone();
            settings.model.seed = settings.model.seed.wrapping_add(index.into());
            let port = settings.address.port();
            if port != 0 {
                settings.address.set_port(port.wrapping_add(index));
            }
            settings
        })
    }
}

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Number of engines in this process, on consecutive ports
    #[bpaf(argument("COUNT"), fallback(1), display_fallback)]
    count: u16,
    /// Where to listen
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7100))), display_fallback)]
    listen: SocketAddr,
    /// A model loaded at the start; can be repeated; without it, every model is served
    #[bpaf(argument("MODEL"))]
    model: Vec<String>,
    /// Version at the start
    #[bpaf(argument("VERSION"), fallback("1".to_owned()), display_fallback)]
    version: String,
    /// Role at the start: prefill, decode or mixed
    #[bpaf(argument("ROLE"), fallback("mixed".to_owned()), display_fallback)]
    role: String,
    /// Accept orders with an old fencing number
    no_fencing: bool,
    /// Memory for running generations, in tokens
    #[bpaf(argument("TOKENS"), fallback(400_000), display_fallback)]
    memory_tokens: u64,
    /// Largest number of running generations
    #[bpaf(argument("COUNT"), fallback(256), display_fallback)]
    max_running: usize,
    /// Number of waiting generations at which new work is refused
    #[bpaf(argument("COUNT"), fallback(256), display_fallback)]
    max_waiting: usize,
    /// Duration of a decode step, in microseconds
    #[bpaf(argument("US"), fallback(20_000), display_fallback)]
    step_us: u64,
    /// Added to a step for each generation that decodes, in microseconds
    #[bpaf(argument("US"), fallback(0), display_fallback)]
    per_sequence_us: u64,
    /// Added to a step for each prompt token processed, in microseconds
    #[bpaf(argument("US"), fallback(20), display_fallback)]
    prefill_us_per_token: u64,
    /// Largest random deviation of a step's duration, in thousandths, below 1000
    #[bpaf(argument("PERMILLE"), fallback(20), display_fallback, guard(|p| *p < 1_000, "must be below 1000"))]
    jitter_permille: u64,
    /// Tokens that each decoding generation produces per step
    #[bpaf(argument("TOKENS"), fallback(1), display_fallback)]
    burst: u32,
    /// Memory for shared prompt prefixes, in tokens
    #[bpaf(argument("TOKENS"), fallback(50_000), display_fallback)]
    prefix_cache_tokens: u64,
    /// Delay of the load report, in milliseconds
    #[bpaf(argument("MS"), fallback(250), display_fallback)]
    load_lag_ms: u64,
    /// How long a generation continues without a reader, in milliseconds
    #[bpaf(argument("MS"), fallback(30_000), display_fallback)]
    linger_ms: u64,
    /// How long a generation can be read after its end, in milliseconds
    #[bpaf(argument("MS"), fallback(30_000), display_fallback)]
    keep_ms: u64,
    /// Duration of an order, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    order_ms: u64,
    /// Delay until a cache event is published, in milliseconds
    #[bpaf(argument("MS"), fallback(500), display_fallback)]
    cache_lag_ms: u64,
    /// Leave out cache events whose sequence number is a multiple of this; 0 leaves out none
    #[bpaf(argument("COUNT"), fallback(10), display_fallback)]
    cache_gap: u64,
    /// Add the time of sending to the text of each token, in microseconds since the Unix epoch
    stamps: bool,
    /// Seed of random output lengths and step durations
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
}

impl From<Flags> for Settings {
    fn from(flags: Flags) -> Self {
        let model = model::Settings {
            memory_tokens: flags.memory_tokens,
            max_running: flags.max_running,
            base_step_us: flags.step_us,
            per_sequence_us: flags.per_sequence_us,
            prefill_us_per_token: flags.prefill_us_per_token,
            tokens_per_step: flags.burst,
            prefix_cache_tokens: flags.prefix_cache_tokens,
            load_lag_us: flags.load_lag_ms.saturating_mul(1_000),
            jitter_permille: flags.jitter_permille,
            seed: flags.seed,
        };
        Self {
            address: flags.listen,
            model,
            models: flags.model,
            version: flags.version,
            role: flags.role,
            fences: !flags.no_fencing,
            max_waiting: flags.max_waiting,
            linger_ms: flags.linger_ms,
            retention_ms: flags.keep_ms,
            order_ms: flags.order_ms,
            cache_lag_ms: flags.cache_lag_ms,
            cache_gap: flags.cache_gap,
            stamps: flags.stamps,
        }
    }
}

/// Parses the flags of `standin engine`.
pub fn parser() -> impl Parser<Group> {
    flags().map(|flags| Group { count: flags.count, settings: flags.into() })
}
