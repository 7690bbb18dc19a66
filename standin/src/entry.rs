//! The entry benchmark: what one entry host on the users' platform spends for an event, for a plain request and for an
//! open stream.

mod caller;
pub mod flags;
mod host;
mod report;
#[cfg(test)]
mod tests;

use std::path::PathBuf;
use std::time::Duration;

use caller::Callers;
use host::Process;
pub use report::Report;

use crate::platform::{Capacity, Server, Settings as Backend, Store, document, entry};
use crate::relay::usage::Usage;
use crate::web;

/// Events of each stream: more than any window sees.
const EVENTS: u64 = 1_000_000;

/// Engines; the streams are spread over them.
const ENGINES: usize = 8;

/// Memory of an engine, in tokens: room for all streams at one of them.
const MEMORY_TOKENS: u64 = 4_000_000;

/// Callers that send plain requests, each the next one after its answer.
const PLAIN_CALLERS: usize = 4;

/// Time in which the process settles before it is observed.
const WARM_UP: Duration = Duration::from_secs(2);

/// How to run the benchmark.
#[derive(Clone, Debug)]
pub struct Settings {
    /// The nutmeghead binary.
    pub host_binary: PathBuf,
    /// Open streams.
    pub streams: usize,
    /// Time between two events of a stream.
    pub interval: Duration,
    /// Time for which each load is observed.
    pub window: Duration,
    /// Whether to print JSON.
    pub json: bool,
}

/// Why the benchmark failed.
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
    /// A caller was not answered as it should be.
    #[error("a caller failed")]
    Caller(#[from] caller::Error),
    /// The process's use of the machine cannot be read.
    #[error("cannot read the use of processor and memory")]
    Usage,
}

/// Processor time spent and work done in a window.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Spent {
    cpu_s: f64,
    seconds: f64,
    units: u64,
}

impl Spent {
    /// Processor time for each unit beyond what the idle process spends, in microseconds; none if nothing was done.
    fn us_per_unit(&self, idle: &Self) -> Option<f64> {
        let idle_s = idle.cpu_s / idle.seconds * self.seconds;
        (self.units > 0).then(|| (self.cpu_s - idle_s) * 1e6 / self.units as f64)
    }
}

/// Runs the benchmark.
///
/// # Errors
///
/// Any [`enum@Error`]; the processes started are stopped first.
pub async fn run(settings: &Settings) -> Result<Report, Error> {
    let store = Store::start(([127, 0, 0, 1], 0).into())?;
    let engines = servers("engine", ENGINES, settings.interval)?;
    let plain = servers("plain", 2, settings.interval)?;
    let capacity = Capacity { slots: settings.streams as u64, memory_tokens: MEMORY_TOKENS };
    let text = document(1, &[caller::KEY], "app", capacity);
    store.put("keyed.op", "config", text.to_string().as_bytes());
    for (service, server) in
        engines.iter().map(|e| ("pool", e)).chain(plain.iter().map(|s| ("app", s)))
    {
        let entry = entry(server.address(), service, "ready");
        store.put("keyed.servers", server.id(), entry.to_string().as_bytes());
    }
    let host = Process::start(&settings.host_binary, store.address()).await?;
    tokio::time::sleep(WARM_UP).await;

    let idle_kib = host.usage()?.resident_kib;
    let idle = observe(&host, settings.window, || 0).await?;

    let callers = Callers::new(host.callers());
    let requests = callers.start_plain(PLAIN_CALLERS).await?;
    tokio::time::sleep(WARM_UP).await;
    let plain_spent = observe(&host, settings.window, || requests.answered()).await?;
    requests.stop().await?;

    let streams = callers.open_streams(settings.streams).await?;
    tokio::time::sleep(WARM_UP).await;
    let events = observe(&host, settings.window, || streams.events()).await?;
    let open_kib = host.usage()?.resident_kib;
    let broken = streams.broken();
    Ok(Report {
        streams: settings.streams,
        broken,
        requests_per_s: plain_spent.units as f64 / plain_spent.seconds,
        events_per_s: events.units as f64 / events.seconds,
        idle_core: idle.cpu_s / idle.seconds,
        us_per_request: plain_spent.us_per_unit(&idle),
        us_per_event: events.us_per_unit(&idle),
        idle_mib: idle_kib as f64 / 1024.0,
        streams_mib: open_kib as f64 / 1024.0,
    })
}

fn servers(name: &str, count: usize, interval: Duration) -> Result<Vec<Server>, web::Error> {
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

async fn observe(
    host: &Process,
    window: Duration,
    units: impl Fn() -> u64,
) -> Result<Spent, Error> {
    let (from, before, done) = (tokio::time::Instant::now(), host.usage()?, units());
    tokio::time::sleep(window).await;
    let (after, seconds) = (host.usage()?, from.elapsed().as_secs_f64());
    Ok(Spent { cpu_s: after.cpu_s() - before.cpu_s(), seconds, units: units() - done })
}

impl Process {
    fn usage(&self) -> Result<Usage, Error> {
        Usage::read(self.pid()).ok_or(Error::Usage)
    }
}
