//! Command-line flags of the log.

use std::net::SocketAddr;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Where to listen
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7000))), display_fallback)]
    listen: SocketAddr,
    /// Largest rate of appends to all streams together, per second
    #[bpaf(argument("RATE"), fallback(500.0), display_fallback)]
    append_rate: f64,
    /// Largest number of records that a stream retains
    #[bpaf(argument("COUNT"), fallback(1_000_000), display_fallback)]
    retention_records: usize,
    /// Age up to which a stream retains records, in milliseconds
    #[bpaf(argument("MS"), fallback(604_800_000), display_fallback)]
    retention_ms: u64,
    /// Seed of random faults
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
}

impl From<Flags> for Settings {
    fn from(flags: Flags) -> Self {
        Self {
            address: flags.listen,
            append_rate: flags.append_rate,
            retention_records: flags.retention_records,
            retention_ms: flags.retention_ms,
            seed: flags.seed,
        }
    }
}

/// Parses the flags of `standin log`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(Settings::from)
}
