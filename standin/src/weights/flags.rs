//! Command-line flags of the weight store.

use std::net::SocketAddr;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Where to listen
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7002))), display_fallback)]
    listen: SocketAddr,
    /// Grants per second
    #[bpaf(argument("RATE"), fallback(1.0), display_fallback)]
    rate: f64,
    /// Largest number of grants at once
    #[bpaf(argument("COUNT"), fallback(2.0), display_fallback)]
    burst: f64,
}

/// Parses the flags of `standin weights`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings { address: flags.listen, rate: flags.rate, burst: flags.burst })
}
