//! When to ping which host, and when to give it up.

use std::collections::{BTreeMap, BTreeSet};

use rand::RngExt;
use rand::rngs::StdRng;

use crate::name;

/// Time between two probes of one host, in milliseconds.
const PERIOD_MS: u64 = 1_000;

/// Time allowed for the answer to a ping, in milliseconds.
const DIRECT_TIMEOUT_MS: u64 = 300;

/// Time allowed, after that, for an answer by way of others, in milliseconds.
const INDIRECT_TIMEOUT_MS: u64 = 400;

/// Time without any answer after which the fault is likely to be at this host, in milliseconds.
const ISOLATED_MS: u64 = 1_200;

/// Failed probes in a row that count when the fault is likely to be at this host.
const ISOLATED_MISSES: u32 = 3;

/// What a probe asks for next.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Step {
    /// Ping the host.
    Ping(name::Host, u32),
    /// Ask others to ping the host.
    Check(name::Host, u32),
    /// The host does not answer.
    Fail(name::Host),
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
    /// When the stage ends.
    next_ms: u64,
    /// When the last probe began.
    begun_ms: u64,
    /// Number of the last probe's first ping.
    first: u32,
    misses: u32,
}

/// The probes of all watched hosts.
#[derive(Clone, Debug, Default)]
pub(super) struct Probes {
    probes: BTreeMap<name::Host, Probe>,
    number: u32,
    answered_ms: u64,
}

impl Probes {
    /// Starts and ends probes so that exactly `hosts` are watched. New probes begin at random times in a period.
    pub(super) fn watch(&mut self, hosts: &BTreeSet<name::Host>, now_ms: u64, rng: &mut StdRng) {
        self.probes.retain(|host, _| hosts.contains(host));
        for host in hosts {
            self.probes.entry(host.clone()).or_insert_with(|| Probe {
                stage: Stage::Idle,
                next_ms: now_ms + rng.random_range(0..PERIOD_MS),
                begun_ms: now_ms,
                first: 0,
                misses: 0,
            });
        }
    }

    /// A number for a ping that belongs to no probe.
    pub(super) fn next_number(&mut self) -> u32 {
        self.number = self.number.wrapping_add(1);
        self.number
    }

    /// Takes in that `host` answered ping `number`, directly or by way of others.
    pub(super) fn answer(&mut self, host: &name::Host, number: u32, now_ms: u64) {
        let Some(probe) = self.probes.get_mut(host) else { return };
        if probe.stage == Stage::Idle || number < probe.first {
            return;
        }
        probe.stage = Stage::Idle;
        probe.misses = 0;
        probe.next_ms = (probe.begun_ms + PERIOD_MS).max(now_ms + 1);
        self.answered_ms = now_ms;
    }

    /// The steps due by now.
    pub(super) fn due(&mut self, now_ms: u64) -> Vec<Step> {
        let isolated = self.probes.len() > 1 && now_ms > self.answered_ms + ISOLATED_MS;
        let mut steps = Vec::new();
        for (host, probe) in self.probes.iter_mut().filter(|(_, probe)| probe.next_ms <= now_ms) {
            if probe.stage == Stage::Indirect {
                probe.misses += 1;
                probe.stage = Stage::Idle;
                probe.next_ms = (probe.begun_ms + PERIOD_MS).max(now_ms + 1);
                if !isolated || probe.misses >= ISOLATED_MISSES {
                    steps.push(Step::Fail(host.clone()));
                }
                continue;
            }
            self.number = self.number.wrapping_add(1);
            steps.push(Step::Ping(host.clone(), self.number));
            if probe.stage == Stage::Idle {
                probe.stage = Stage::Direct;
                probe.first = self.number;
                probe.begun_ms = now_ms;
                probe.next_ms = now_ms + DIRECT_TIMEOUT_MS;
            } else {
                steps.push(Step::Check(host.clone(), self.number));
                probe.stage = Stage::Indirect;
                probe.next_ms = now_ms + INDIRECT_TIMEOUT_MS;
            }
        }
        steps
    }

    /// Moves the time limits by a time in which this process did not run.
    pub(super) fn delay(&mut self, lag_ms: u64) {
        for probe in self.probes.values_mut().filter(|probe| probe.stage != Stage::Idle) {
            probe.next_ms += lag_ms;
        }
    }

    /// When the next step is due.
    pub(super) fn wake_ms(&self) -> u64 {
        self.probes.values().map(|probe| probe.next_ms).min().unwrap_or(u64::MAX)
    }
}
