//! Failure detection: when to ping which host, and when to suspect it.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::name;

/// Time between two probes of one host, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Timeout for the ack of the direct ping, in milliseconds.
const DIRECT_TIMEOUT_MS: u64 = 300;

/// Timeout for an ack after the ping requests, which follow the direct timeout, in milliseconds.
const INDIRECT_TIMEOUT_MS: u64 = 400;

/// Time without an ack from any host after which this host counts as isolated, in milliseconds.
const ISOLATED_MS: u64 = 1_200;

/// Consecutive failed probes needed to suspect a host while this host counts as isolated, since the fault is then
/// probably at this host.
const ISOLATED_MISSES: u32 = 3;

/// An action that a probe requires.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Ping the host.
    Ping(name::Host, u32),
    /// Ask other hosts to ping the host, which has not answered in time.
    PingRequest(name::Host, u32),
    /// Suspect the host, which failed its probe.
    Suspect(name::Host),
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Idle,
    Direct,
    Indirect,
}

#[derive(Clone, Debug)]
struct Probe {
    stage: Stage,
    /// When the stage ends, in milliseconds.
    next_ms: u64,
    /// When the last probe started, in milliseconds.
    started_ms: u64,
    /// Number of the first ping of the last probe. Acks with lower numbers belong to earlier probes.
    first_number: u32,
    /// Consecutive failed probes.
    misses: u32,
}

/// The probe of each host that this host probes.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    probes: BTreeMap<name::Host, Probe>,
    last_number: u32,
    last_ack_ms: u64,
}

impl Probes {
    /// Adds and removes probes so that exactly `hosts` are probed. New probes start at random times within a period.
    pub(super) fn set_targets(
        &mut self,
        hosts: &BTreeSet<name::Host>,
        now_ms: u64,
        rng: &mut StdRng,
    ) {
        self.probes.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.probes.entry(host.clone()).or_insert_with(|| Probe {
                stage: Stage::Idle,
                next_ms: now_ms + rng.random_range(0..PERIOD_MS),
                started_ms: now_ms,
                first_number: 0,
                misses: 0,
            });
        }
    }

    /// Allocates a number for a ping on behalf of another host.
    pub(super) fn next_number(&mut self) -> u32 {
        self.last_number = self.last_number.wrapping_add(1);
        self.last_number
    }

    /// Records that `host` answered ping `number`, directly or through another host.
    pub(super) fn record_ack(&mut self, host: &name::Host, number: u32, now_ms: u64) {
        let Some(probe) = self.probes.get_mut(host) else { return };
        if probe.stage == Stage::Idle || number < probe.first_number {
            return;
        }
        probe.stage = Stage::Idle;
        probe.misses = 0;
        probe.next_ms = (probe.started_ms + PERIOD_MS).max(now_ms + 1);
        self.last_ack_ms = now_ms;
    }

    /// Advances the probes and returns the steps that are due.
    pub(super) fn due(&mut self, now_ms: u64) -> Vec<Step> {
        let isolated = self.probes.len() > 1 && now_ms > self.last_ack_ms + ISOLATED_MS;
        let mut steps = Vec::new();
        for (host, probe) in self.probes.iter_mut().filter(|(_, probe)| probe.next_ms <= now_ms) {
            if probe.stage == Stage::Indirect {
                probe.misses += 1;
                probe.stage = Stage::Idle;
                probe.next_ms = (probe.started_ms + PERIOD_MS).max(now_ms + 1);
                if !isolated || probe.misses >= ISOLATED_MISSES {
                    steps.push(Step::Suspect(host.clone()));
                }
                continue;
            }
            self.last_number = self.last_number.wrapping_add(1);
            steps.push(Step::Ping(host.clone(), self.last_number));
            if probe.stage == Stage::Idle {
                probe.stage = Stage::Direct;
                probe.first_number = self.last_number;
                probe.started_ms = now_ms;
                probe.next_ms = now_ms + DIRECT_TIMEOUT_MS;
            } else {
                steps.push(Step::PingRequest(host.clone(), self.last_number));
                probe.stage = Stage::Indirect;
                probe.next_ms = now_ms + INDIRECT_TIMEOUT_MS;
            }
        }
        steps
    }

    /// Extends the deadlines of running probes by `lag_ms`, a time in which this process did not run.
    pub(super) fn extend_deadlines(&mut self, lag_ms: u64) {
        for probe in self.probes.values_mut().filter(|probe| probe.stage != Stage::Idle) {
            probe.next_ms += lag_ms;
        }
    }

    /// When the next step is due, in milliseconds.
    pub(super) fn wake_ms(&self) -> u64 {
        self.probes.values().map(|probe| probe.next_ms).min().unwrap_or(u64::MAX)
    }
}
