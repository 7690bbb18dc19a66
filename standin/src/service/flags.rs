//! Command-line flags of a service.

use std::net::SocketAddr;

use bpaf::{Bpaf, Parser};

use super::Settings;

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Where to listen
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7200))), display_fallback)]
    listen: SocketAddr,
    /// Name of the service, contained in its responses
    #[bpaf(argument("NAME"), fallback("service".to_owned()), display_fallback)]
    name: String,
    /// Time from a call to its effect, in milliseconds
    #[bpaf(argument("MS"), fallback(0), display_fallback)]
    work_ms: u64,
}

/// Parses the flags of `standin service`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings {
        address: flags.listen,
        name: flags.name,
        work_ms: flags.work_ms,
    })
}
