//! Collects what this host measures and hears of servers within a second, for itself and for the other hosts.

use std::collections::HashMap;

use super::Sample;
use crate::directory::{Incarnation, Server};
use crate::load::Load;
use crate::name;

/// Most statements of one server that are passed on at once.
pub const MAX_STATED: usize = 8;

/// Time for which the load of a server is used for several events, in milliseconds.
const LOAD_TTL_MS: u64 = 100;

/// Longest interval that is measured, in milliseconds: a longer one is an interruption, not a matter of speed.
const MAX_INTERVAL_MS: u64 = 1_000;

/// What was measured and heard of one server incarnation.
#[derive(Clone, Debug)]
pub struct Window {
    /// The server.
    pub server: Incarnation,
    /// Its service.
    pub service: name::Service,
    /// Passing slowdowns that it stated, at most [`MAX_STATED`].
    pub stated: Vec<f64>,
    events: u64,
    elapsed_ms: u64,
    longest_ms: u64,
    generations: f64,
    prefill: f64,
    load: Load,
    load_ms: Option<u64>,
}

impl Window {
    fn new(server: &Server) -> Self {
        Self {
            server: server.entry.incarnation(),
            service: server.entry.service.clone(),
            stated: Vec::new(),
            events: 0,
            elapsed_ms: 0,
            longest_ms: 0,
            generations: 0.0,
            prefill: 0.0,
            load: Load::default(),
            load_ms: None,
        }
    }

    /// The measured events; `None` if there are none or their values are implausible.
    pub fn sample(&self) -> Option<Sample> {
        let events = self.events as f64;
        Sample::new(
            u32::try_from(self.events).ok()?,
            self.elapsed_ms as f64 / events,
            self.longest_ms as f64,
            self.generations / events,
            self.prefill / events,
        )
    }
}

/// Windows of all servers.
#[derive(Debug, Default)]
pub struct Meter {
    windows: HashMap<name::Server, Window>,
}

impl Meter {
    fn window(&mut self, server: &Server) -> &mut Window {
        let entry = &server.entry;
        let window = self.windows.entry(entry.id.clone()).or_insert_with(|| Window::new(server));
        if window.server.started_ms != entry.started_ms {
            *window = Window::new(server);
        }
        window
    }

    /// Records a passing slowdown that `server` stated.
    pub fn state(&mut self, server: &Server, slowdown: f64) {
        let stated = &mut self.window(server).stated;
        if stated.len() < MAX_STATED {
            stated.push(slowdown);
        }
    }

    /// Records `events` of a generation at `server` that arrived `elapsed_ms` after the one before them. `load` returns
    /// the load of the server.
    pub fn measure(
        &mut self,
        server: &Server,
        events: u64,
        elapsed_ms: u64,
        now_ms: u64,
        load: impl FnOnce() -> Load,
    ) {
        if events == 0 || elapsed_ms > MAX_INTERVAL_MS {
            return;
        }
        let window = self.window(server);
        if window.load_ms.is_none_or(|at_ms| now_ms.saturating_sub(at_ms) > LOAD_TTL_MS) {
            (window.load, window.load_ms) = (load(), Some(now_ms));
        }
        window.events += events;
        window.elapsed_ms += elapsed_ms;
        window.longest_ms = window.longest_ms.max(elapsed_ms);
        window.generations += events as f64 * f64::from(window.load.requests);
        window.prefill += if window.load.prefill_tokens > 0 { events as f64 } else { 0.0 };
    }

    /// Takes at most `count` windows, in the order of their names. The others remain for the next call.
    pub fn take(&mut self, count: usize) -> Vec<Window> {
        let mut servers: Vec<_> = self.windows.keys().take(count).cloned().collect();
        servers.sort_unstable();
        servers.iter().filter_map(|server| self.windows.remove(server)).collect()
    }
}
