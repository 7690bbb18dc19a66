//! Command-line flags of the host list.

use std::net::SocketAddr;
use std::str::FromStr;

use bpaf::{Bpaf, Parser};

use super::{Host, Kind, Phase, Settings};

/// A host on the command line is malformed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a host is written KIND,NAME,ADDRESS,DOMAIN with the kind entry, engine or server")]
pub struct Malformed;

impl FromStr for Host {
    type Err = Malformed;

    fn from_str(text: &str) -> Result<Self, Malformed> {
        let parts: Vec<&str> = text.split(',').collect();
        let [kind, name, address, domain] = parts[..] else {
            return Err(Malformed);
        };
        let kind = match kind {
            "entry" => Kind::Entry,
            "engine" => Kind::Engine,
            "server" => Kind::Server,
            _ => return Err(Malformed),
        };
        let address = address.parse().map_err(|_| Malformed)?;
        Ok(Self {
            name: name.to_owned(),
            kind,
            address,
            domain: domain.to_owned(),
            state: Phase::Live,
        })
    }
}

#[derive(Clone, Debug, Bpaf)]
struct Flags {
    /// Where to listen
    #[bpaf(argument("ADDRESS"), fallback(SocketAddr::from(([127, 0, 0, 1], 7001))), display_fallback)]
    listen: SocketAddr,
    /// Delay until changes become visible, in milliseconds
    #[bpaf(argument("MS"), fallback(1_000), display_fallback)]
    lag_ms: u64,
    /// A host at the start, as KIND,NAME,ADDRESS,DOMAIN; can be repeated
    #[bpaf(argument("HOST"))]
    host: Vec<Host>,
}

/// Parses the flags of `standin hosts`.
pub fn parser() -> impl Parser<Settings> {
    flags().map(|flags| Settings { address: flags.listen, lag_ms: flags.lag_ms, hosts: flags.host })
}
