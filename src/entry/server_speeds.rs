//! Speed of servers: what this host measures and hears, and what the entry hosts tell each other of it.

use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use slog::info;

use super::broadcast::Message;
use super::context::Context;
use crate::clock::boot_ms;
use crate::directory::{Incarnation, Server};
use crate::load::Stated;
use crate::speed::{MAX_STATED, Sample, Window};

/// Most servers in one message.
const MAX_SERVERS: usize = 64;

/// Shortest time between two messages of a host.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Time between two messages, per receiver: at most about 70 datagrams per second are sent.
const INTERVAL_PER_HOST: Duration = Duration::from_millis(14);

/// What a host measured and heard of one server incarnation since its last message, as encoded.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub(crate) struct ServerSpeed {
    incarnation: Incarnation,
    /// Number of events; 0 if none were measured.
    events: u32,
    /// Mean interval between two events, in microseconds.
    interval_us: u32,
    /// Longest interval, in microseconds.
    longest_us: u32,
    /// Mean number of generations, in thousandths.
    generations_milli: u32,
    /// Part of the events during a prefill, in thousandths.
    prefill_milli: u32,
    /// Passing slowdowns that the server stated, in percent.
    stated_percent: Vec<u32>,
}

impl From<&Window> for ServerSpeed {
    fn from(window: &Window) -> Self {
        let sample = window.sample();
        let scaled = |value: fn(&Sample) -> f64, scale: f64| {
            sample.as_ref().map_or(0, |sample| (value(sample) * scale).round() as u32)
        };
        Self {
            incarnation: window.server.clone(),
            events: sample.map_or(0, |sample| sample.events),
            interval_us: scaled(|sample| sample.interval_ms, 1e3),
            longest_us: scaled(|sample| sample.longest_ms, 1e3),
            generations_milli: scaled(|sample| sample.generations, 1e3),
            prefill_milli: scaled(|sample| sample.prefill, 1e3),
            stated_percent: window.stated.iter().map(|s| (s * 100.0).round() as u32).collect(),
        }
    }
}

impl ServerSpeed {
    /// The measured events; `None` if there are none or their values are implausible.
    fn sample(&self) -> Option<Sample> {
        let interval_ms = f64::from(self.interval_us) / 1e3;
        let generations = f64::from(self.generations_milli) / 1e3;
        let longest_ms = f64::from(self.longest_us) / 1e3;
        let prefill = f64::from(self.prefill_milli) / 1e3;
        Sample::new(self.events, interval_ms, longest_ms, generations, prefill)
    }

    /// The plausible statements of the server.
    fn stated(&self) -> Vec<f64> {
        let stated = self.stated_percent.iter().take(MAX_STATED);
        let stated = stated.map(|percent| Stated::new(0, 0, 1, Some(f64::from(*percent))));
        stated.filter_map(|stated| stated?.slowdown).collect()
    }
}

/// Applies the load that `server` stated in a response.
pub(crate) fn observe(context: &Context, server: &Server, stated: Option<Stated>) {
    if let Some(stated) = stated {
        context.tracker().state(server, stated, boot_ms());
    }
}

/// Applies what another host measured and heard. Facts about other incarnations than the known ones are ignored.
pub(crate) fn receive(context: &Context, speeds: Vec<ServerSpeed>) {
    for speed in speeds.into_iter().take(MAX_SERVERS) {
        let id = &speed.incarnation.id;
        let server = context.cache.update_directory(|directory| directory.server(id).cloned());
        let server = server.filter(|server| server.entry.incarnation() == speed.incarnation);
        let Some(server) = server else { continue };
        let sample = speed.sample();
        if sample.is_none() && speed.events > 0 {
            context.instruments.count_action("server_speed_implausible");
        }
        context.tracker().apply_speed(&server, sample, &speed.stated(), boot_ms());
    }
}

/// Applies what this host measured, tells the other hosts, and logs changes, until the task is dropped.
pub(crate) async fn run(context: Arc<Context>) {
    loop {
        let peers = context.cache.peers(&context.settings.host);
        let hosts = u32::try_from(peers.len()).unwrap_or(u32::MAX);
        tokio::time::sleep(MIN_INTERVAL.max(INTERVAL_PER_HOST.saturating_mul(hosts))).await;
        let windows = context.tracker().take_windows(MAX_SERVERS, boot_ms());
        if !windows.is_empty() {
            let speeds = windows.iter().map(ServerSpeed::from).collect();
            context.send(peers, Message::ServerSpeeds(speeds));
        }
        for change in context.tracker().speed_changes(boot_ms()) {
            let action = if change.is_slow { "server_slow" } else { "server_usual" };
            context.instruments.count_action(action);
            info!(context.logger, "server changed its speed"; "server" => change.server.as_str(),
                "slow" => change.is_slow, "time_ratio" => format!("{:.2}", change.lasting));
        }
    }
}

#[cfg(test)]
mod tests;
