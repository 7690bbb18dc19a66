//! The entry benchmark: the cost of one entry host on the users' platform per event, per plain request and per open
//! stream.

mod caller;
pub mod flags;
mod host;
mod report;
#[cfg(test)]
mod tests;

use std::path::PathBuf;
use std::time::Duration;

use caller::Client;
use host::Process;
pub use report::Report;

use crate::platform::{Capacity, Server, Settings as Backend, Store, document, entry};
use crate::relay::usage::Usage;
use crate::web;

/// Number of events of each stream: more than are sent during the benchmark.
const EVENTS: u64 = 1_000_000;

/// Number of engines, over which the streams are distributed.
const ENGINES: usize = 8;

/// Memory of an engine, in tokens: enough for all streams on a single engine.
const MEMORY_TOKENS: u64 = 4_000_000;

/// Number of callers that send plain requests, each one at a time.
const PLAIN_CALLERS: usize = 4;

/// Time between a change of the load and the measurement.
const WARM_UP: Duration = Duration::from_secs(2);

/// Settings of the benchmark.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Path of the nutmeghead binary.
    pub host_binary: PathBuf,
    /// Number of open streams.
    pub streams: usize,
    /// Interval between events of a stream.
    pub interval: Duration,
    /// Duration of the measurement of each load.
    pub window: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Errors of the benchmark.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A stand-in cannot be started.
    #[error(transparent)]
    Web(#[from] web::Error),
    /// The entry host cannot be started.
    #[error("cannot start the entry host")]
    Start(#[from] std::io::Error),
    /// The entry host did not become ready.
    #[error("the entry host was not ready in time")]
    NotReady,
    /// A caller's request failed.
    #[error("a caller failed")]
    Caller(#[from] caller::Error),
    /// The resource usage of the entry host cannot be read.
    #[error("cannot read the entry host's CPU and memory usage")]
    Usage,
}

/// CPU time used and work done during a measurement.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Measurement {
    cpu_s: f64,
    /// Duration of the measurement.
    seconds: f64,
    /// Number of requests answered or events read.
    units: u64,
}

impl Measurement {
    /// CPU time per unit beyond that of the idle process, in microseconds; none without units.
    fn us_per_unit(&self, idle: &Self) -> Option<f64> {
        let idle_s = idle.cpu_s / idle.seconds * self.seconds;
        (self.units > 0).then(|| (self.cpu_s - idle_s) * 1e6 / self.units as f64)
    }
}

/// Runs the benchmark.
///
/// # Errors
///
/// Any [`enum@Error`]; the started processes are stopped first.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let store = Store::start(([127, 0, 0, 1], 0).into())?;
    let engines = start_servers("engine", ENGINES, settings.interval)?;
    let plain = start_servers("plain", 2, settings.interval)?;
    let capacity = Capacity { slots: settings.streams as u64, memory_tokens: MEMORY_TOKENS };
    let text = document(1, &[caller::KEY], "app", capacity);
    store.put("keyed.op", "config", text.to_string().as_bytes());
    for (service, server) in
        engines.iter().map(|e| ("pool", e)).chain(plain.iter().map(|s| ("app", s)))
    {
        let entry = entry(server.address(), service, "ready", "v1", 1);
        store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }
    let host = Process::start(&settings.host_binary, store.address()).await?;
    tokio::time::sleep(WARM_UP).await;

    let idle_kib = host.usage()?.resident_kib;
    let idle = measure(&host, settings.window, || 0).await?;

    let client = Client::new(host.caller_address());
    let requests = client.start_requests(PLAIN_CALLERS).await?;
    tokio::time::sleep(WARM_UP).await;
    let plain_requests = measure(&host, settings.window, || requests.answered()).await?;
    requests.stop().await?;

    let streams = client.open_streams(settings.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let events = measure(&host, settings.window, || streams.events()).await?;
    let open_kib = host.usage()?.resident_kib;
    let broken = streams.broken();
    Ok(Report {
        streams: settings.streams,
        broken,
        requests_per_s: plain_requests.units as f64 / plain_requests.seconds,
        events_per_s: events.units as f64 / events.seconds,
        idle_core: idle.cpu_s / idle.seconds,
        us_per_request: plain_requests.us_per_unit(&idle),
        us_per_event: events.us_per_unit(&idle),
        idle_mib: idle_kib as f64 / 1024.0,
        streams_mib: open_kib as f64 / 1024.0,
    })
}

fn start_servers(name: &str, count: usize, interval: Duration) -> Result<Vec<Server>, web::Error> {
    let start = |index: usize| {
        Server::start(Backend {
            address: ([127, 0, 0, 1], 0).into(),
            id: format!("{name}-{index}"),
            events: EVENTS,
            interval,
        })
    };
    (0..count).map(start).collect()
}

async fn measure(
    host: &Process,
    window: Duration,
    units: impl Fn() -> u64,
) -> Result<Measurement, Error> {
    let (start, before, units_before) = (tokio::time::Instant::now(), host.usage()?, units());
    tokio::time::sleep(window).await;
    let (after, seconds) = (host.usage()?, start.elapsed().as_secs_f64());
    Ok(Measurement {
        cpu_s: after.cpu_s() - before.cpu_s(),
        seconds,
        units: units() - units_before,
    })
}

impl Process {
    fn usage(&self) -> Result<Usage, Error> {
        Usage::read(self.pid()).ok_or(Error::Usage)
    }
}
