//! Servers that state their load, and take longer than others.

use std::time::Duration;

use super::{Server, Service};

/// Speed of a server, and what it states of its load.
#[derive(Clone, Copy, Debug)]
pub(super) struct Speed {
    /// Slots that responses state; `None` if they state no load.
    slots: Option<u32>,
    /// Time that work takes now, in percent, if responses state it.
    percent: Option<u32>,
    /// Time between two events, relative to the usual one.
    factor: f64,
    /// An event before which streams are silent, and for how long.
    silence: Option<(u64, Duration)>,
    /// Time until the head of a stream.
    head_delay: Duration,
}

impl Default for Speed {
    fn default() -> Self {
        Self { slots: None, percent: None, factor: 1.0, silence: None, head_delay: Duration::ZERO }
    }
}

impl Server {
    /// Makes responses state the load with these slots and, if given, the time that work takes now, in percent.
    pub fn state_load(&self, slots: u32, percent: Option<u32>) {
        let speed = &mut self.service.lock().speed;
        (speed.slots, speed.percent) = (Some(slots), percent);
    }

    /// Sets the time for which calls other than streams run.
    pub fn set_work_time(&self, time: Duration) {
        self.service.lock().work_time = time;
    }

    /// Sets the time after which streams begin to be answered.
    pub fn set_head_delay(&self, time: Duration) {
        self.service.lock().speed.head_delay = time;
    }

    /// Sets how long responses state that the server stays cold, in milliseconds.
    pub fn set_cold(&self, left_ms: Option<&'static str>) {
        self.service.lock().cold_ms = left_ms;
    }

    /// Makes streams silent for `time` before event number `event`, after which they go on.
    pub fn set_silence(&self, event: u64, time: Duration) {
        self.service.lock().speed.silence = Some((event, time));
    }

    /// Makes the time between two events `factor` times as long.
    pub fn set_slowness(&self, factor: f64) {
        self.service.lock().speed.factor = factor;
    }
}

impl Service {
    /// The value of `nutmeghead-load`.
    pub(super) fn load_text(&self) -> Option<String> {
        let inner = self.lock();
        // Streams run until their last event, calls until their response.
        let running = inner.load.running + inner.running.len();
        let percent = inner.speed.percent.map(|percent| format!(",{percent}")).unwrap_or_default();
        inner.speed.slots.map(|slots| format!("{running},0,{slots}{percent}"))
    }

    /// Time until the head of a response.
    pub(super) fn time_to_head(&self, streams: bool) -> Duration {
        let inner = self.lock();
        if streams { inner.speed.head_delay } else { inner.work_time }
    }

    /// Time between event number `event` and the one before.
    pub(super) fn interval(&self, event: u64) -> Duration {
        let speed = self.lock().speed;
        let silence = speed.silence.filter(|(silent_event, _)| *silent_event == event);
        self.settings.interval.mul_f64(speed.factor)
            + silence.map_or(Duration::ZERO, |(_, time)| time)
    }
}
