//! Engine stand-ins in a separate process.

use std::io::{BufRead, BufReader, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::process::{Child, Command, Stdio};

use super::{Error, Load, MEMORY_TOKENS, STREAMS_PER_ENGINE};

/// Time for which an engine continues to decode after its caller disconnected, in milliseconds.
const LINGER_MS: u64 = 100;

/// Running engines. Dropping them kills the process.
#[derive(Debug)]
pub(super) struct Engines {
    addresses: Vec<SocketAddr>,
    process: Child,
}

impl Engines {
    /// Starts enough engines for the streams of a load.
    pub(super) fn start(binary: &Path, load: &Load) -> Result<Self, Error> {
        let count = load.streams.div_ceil(STREAMS_PER_ENGINE);
        let flags = [
            ("--count", count as u64),
            ("--memory-tokens", MEMORY_TOKENS),
            ("--max-running", load.streams as u64),
            ("--max-waiting", load.streams as u64),
            ("--step-us", load.step_us),
            ("--prefill-us-per-token", 0),
            ("--jitter-permille", load.jitter_permille),
            ("--burst", load.burst.into()),
            ("--linger-ms", LINGER_MS),
        ];
        let start_error = |source| Error::Start { binary: binary.to_owned(), source };
        let process = Command::new(binary)
            .args(["engine", "--listen", "127.0.0.1:0", "--stamps"])
            .args(flags.iter().flat_map(|(name, value)| [(*name).to_owned(), value.to_string()]))
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .spawn()
            .map_err(start_error)?;
        let mut engines = Self { addresses: Vec::new(), process };
        engines.addresses = engines.read_addresses(count).map_err(start_error)?;
        Ok(engines)
    }

    /// The engines' listen addresses.
    pub(super) fn addresses(&self) -> &[SocketAddr] {
        &self.addresses
    }

    /// Reads the addresses that the process prints, one line per engine.
    fn read_addresses(&mut self, count: usize) -> std::io::Result<Vec<SocketAddr>> {
        let output = self.process.stdout.take().ok_or(ErrorKind::BrokenPipe)?;
        let lines = BufReader::new(output).lines().take(count);
        let addresses = lines.map(|line| {
            let line = line?;
            let address = line.rsplit(' ').next().and_then(|word| word.parse().ok());
            address.ok_or_else(|| ErrorKind::InvalidData.into())
        });
        let addresses = addresses.collect::<std::io::Result<Vec<_>>>()?;
        if addresses.len() < count {
            return Err(ErrorKind::UnexpectedEof.into());
        }
        Ok(addresses)
    }
}

impl Drop for Engines {
    fn drop(&mut self) {
        // The process may have ended already.
        let _ = self.process.kill();
        let _ = self.process.wait();
    }
}
