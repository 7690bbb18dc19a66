//! Replays a service whose servers differ in speed. Guards against long generations on servers that pause for longer
//! than their callers accept, against slow servers without work, and against servers that recover and are not found.

use std::collections::HashSet;
use std::ops::Range;
use std::sync::Arc;

use super::{host, servers};
use crate::directory::Server;
use crate::load::{
    Capacity, Class, Preference, REQUEST_JITTER, Reporter, Requirement, Stated, Tracker,
};
use crate::name;
use crate::placement::Random;

const CAPACITY: Capacity = Capacity { requests: 24, tokens: 27_000 };
const ENGINES: usize = 48;
/// The first engines take [`SLOW`] times as long; the very first one recovers at [`RECOVERY_MS`].
const SLOW_ENGINES: usize = 12;
const SLOW: f64 = 2.2;
const RECOVERY_MS: u64 = 25_000;
const HOSTS: usize = 72;
const TICK_MS: u64 = 5;
const END_MS: u64 = 44_000;
/// Requests that arrive in this time are counted. The last of them end before [`END_MS`].
const COUNTED_MS: Range<u64> = 10_000..28_000;
const MAX_PAUSE_MS: u64 = 180;
/// Slowdown by other programs on the machine, for 300 ms about every 2 s.
const PASSING: f64 = 2.5;
const PASSING_MS: u64 = 300;

struct Generation {
    host: usize,
    is_long: bool,
    begun_ms: u64,
    prompt_left: f64,
    events_left: u32,
    /// Part of the next event that is done.
    progress: f64,
    event_ms: Option<u64>,
    longest_ms: u64,
    tokens: u64,
}

struct Engine {
    lasting: f64,
    slow_until_ms: u64,
    next_slow_ms: u64,
    generations: Vec<Generation>,
}

impl Engine {
    fn passing(&self, now_ms: u64) -> f64 {
        if now_ms < self.slow_until_ms { PASSING } else { 1.0 }
    }
}

#[derive(Debug, Default)]
struct Outcome {
    long: u32,
    long_late: u32,
    short: u32,
    short_on_slow: u32,
    short_late: u32,
    refused: u32,
    /// Long generations at the engine that recovered, some seconds later.
    long_on_recovered: u32,
    long_on_slow: u32,
}

struct Replay {
    states: bool,
    /// Longest pause that callers of short generations accept, in milliseconds.
    short_pause_ms: Option<u64>,
    random: Random,
    servers: Vec<Arc<Server>>,
    engines: Vec<Engine>,
    trackers: Vec<Tracker>,
    reporters: Vec<Reporter>,
    outcome: Outcome,
}

impl Replay {
    fn new(states: bool, short_pause_ms: Option<u64>) -> Self {
        let engine = |index| Engine {
            lasting: if index < SLOW_ENGINES { SLOW } else { 1.0 },
            slow_until_ms: 0,
            next_slow_ms: index as u64 * 41,
            generations: Vec::new(),
        };
        Self {
            states,
            short_pause_ms,
            random: Random::new(7),
            servers: servers(ENGINES),
            engines: (0..ENGINES).map(engine).collect(),
            trackers: (0..HOSTS).map(|_| Tracker::new()).collect(),
            reporters: (0..HOSTS).map(|index| Reporter::new(index as u64)).collect(),
            outcome: Outcome::default(),
        }
    }

    fn run(mut self) -> Outcome {
        let mut due = [0.0, 0.0];
        for now_ms in (0..END_MS).step_by(TICK_MS as usize) {
            if now_ms == RECOVERY_MS {
                self.engines[0].lasting = 1.0;
            }
            for (class, per_s) in [(0, 24.0), (1, 26.0)] {
                due[class] += per_s * TICK_MS as f64 / 1e3;
                if due[class] >= 1.0 {
                    due[class] -= 1.0;
                    self.arrive(class == 0, now_ms);
                }
            }
            for index in 0..ENGINES {
                self.run_engine(index, now_ms);
            }
            self.exchange_messages(now_ms);
        }
        self.outcome
    }

    /// Full load reports and speeds, each host at its own time within 0.5 s and 1 s.
    fn exchange_messages(&mut self, now_ms: u64) {
        for index in 0..HOSTS {
            let offset_ms = index as u64 * 10 / TICK_MS * TICK_MS;
            if (now_ms + offset_ms).is_multiple_of(500) {
                let local = self.trackers[index].local();
                let report = self.reporters[index].full_report(local, HOSTS - 1, now_ms);
                for (other, tracker) in self.trackers.iter_mut().enumerate() {
                    if let Some(report) = report.clone().filter(|_| other != index) {
                        tracker.apply_report(host(index), report, now_ms);
                    }
                }
            }
            if !(now_ms + offset_ms).is_multiple_of(1_000) {
                continue;
            }
            for window in self.trackers[index].take_windows(64, now_ms) {
                let server =
                    self.servers.iter().find(|s| s.entry.id == window.server.id).expect("a server");
                for (other, tracker) in self.trackers.iter_mut().enumerate() {
                    if other != index {
                        tracker.apply_speed(server, window.sample(), &window.stated, now_ms);
                    }
                }
            }
        }
    }

    fn report(&mut self, index: usize, engine: usize, now_ms: u64) {
        let changed = HashSet::from([self.servers[engine].entry.id.clone()]);
        let report = self.reporters[index].partial_report(self.trackers[index].local(), changed);
        for (other, tracker) in self.trackers.iter_mut().enumerate() {
            if other != index {
                tracker.apply_report(host(index), report.clone(), now_ms);
            }
        }
    }

    fn arrive(&mut self, is_long: bool, now_ms: u64) {
        let index = self.random.below(HOSTS);
        let prompt = 1_800 + self.random.below(1_200) as u64;
        let tokens = prompt + if is_long { 200 } else { 100 };
        let requirement = Requirement {
            tokens,
            class: if is_long { Class::Long } else { Class::Short },
            may_repeat: false,
            objective_ms: if is_long { 1_800 } else { 1_500 },
            max_pause_ms: if is_long { Some(MAX_PAUSE_MS) } else { self.short_pause_ms },
        };
        let domain = name::Domain::new("a").expect("a valid name");
        let preference = Preference {
            domain: &domain,
            remote_cost: 0.0,
            jitter: REQUEST_JITTER,
            max_candidates: usize::MAX,
            seed: self.random.below(1 << 40) as u64,
        };
        let tracker = &mut self.trackers[index];
        let choice =
            tracker.choose(&self.servers, &[], |_| CAPACITY, requirement, preference, now_ms);
        let choice = choice.expect("an engine");
        let counts = COUNTED_MS.contains(&now_ms);
        if !choice.fits {
            self.outcome.refused += u32::from(counts);
            return;
        }
        let id = &choice.server.entry.id;
        tracker.begin(id, tokens, prompt);
        let engine = self.servers.iter().position(|s| s.entry.id == *id).expect("a server");
        let is_slow = self.engines[engine].lasting > 1.0;
        let recovered = engine == 0 && now_ms > RECOVERY_MS + 5_000;
        self.outcome.long_on_recovered += u32::from(is_long && recovered);
        if counts && is_long {
            self.outcome.long += 1;
            self.outcome.long_on_slow += u32::from(is_slow);
        } else if counts {
            self.outcome.short += 1;
            self.outcome.short_on_slow += u32::from(is_slow);
        }
        self.engines[engine].generations.push(Generation {
            host: index,
            is_long,
            begun_ms: now_ms,
            prompt_left: prompt as f64,
            events_left: if is_long { 187 } else { 25 },
            progress: 0.0,
            event_ms: None,
            longest_ms: 0,
            tokens,
        });
        self.report(index, engine, now_ms);
    }

    fn run_engine(&mut self, index: usize, now_ms: u64) {
        let engine = &mut self.engines[index];
        if now_ms >= engine.next_slow_ms {
            engine.slow_until_ms = now_ms + PASSING_MS;
            engine.next_slow_ms = now_ms + 1_000 + self.random.below(2_000) as u64;
        }
        let passing = engine.passing(now_ms);
        let factor = engine.lasting * passing;
        let prompts = engine.generations.iter().filter(|g| g.prompt_left > 0.0).count();
        let running = engine.generations.len() - prompts;
        let reading_ms = if prompts > 0 { 8.0 } else { 0.0 };
        let step_ms = (7.0 + 0.12 * running as f64 + reading_ms) * factor;
        let tokens_per_ms = if running > 0 { 7.0 } else { 14.0 };
        let mut prefill = TICK_MS as f64 * tokens_per_ms / factor;
        let server = &self.servers[index];
        for generation in &mut engine.generations {
            let tracker = &mut self.trackers[generation.host];
            if generation.prompt_left > 0.0 {
                let read = prefill.min(generation.prompt_left);
                prefill -= read;
                generation.prompt_left -= read;
                if generation.prompt_left == 0.0 && self.states {
                    let stated = Stated::new(running as u32, 0, 24, Some(passing * 100.0));
                    tracker.state(server, stated.expect("plausible"), now_ms);
                }
                continue;
            }
            generation.progress += TICK_MS as f64 / (4.0 * step_ms);
            if generation.progress < 1.0 {
                continue;
            }
            generation.progress -= 1.0;
            generation.events_left -= 1;
            generation.tokens += 4;
            tracker.grow(&server.entry.id, 4);
            match generation.event_ms.replace(now_ms) {
                Some(last_ms) => {
                    generation.longest_ms = generation.longest_ms.max(now_ms - last_ms);
                    tracker.measure(server, 1, now_ms - last_ms, now_ms);
                }
                None => {
                    let read = generation.tokens - 4 - if generation.is_long { 200 } else { 100 };
                    tracker.mark_prefilled(&server.entry.id, read);
                }
            }
        }
        self.end_generations(index, now_ms);
    }

    fn end_generations(&mut self, index: usize, now_ms: u64) {
        let (ended, rest) = std::mem::take(&mut self.engines[index].generations)
            .into_iter()
            .partition(|generation| generation.events_left == 0);
        self.engines[index].generations = rest;
        let ended: Vec<Generation> = ended;
        for generation in ended {
            let id = self.servers[index].entry.id.clone();
            self.trackers[generation.host].end(&id, generation.tokens, 0);
            if COUNTED_MS.contains(&generation.begun_ms) {
                let late = match generation.is_long {
                    true => &mut self.outcome.long_late,
                    false => &mut self.outcome.short_late,
                };
                *late += u32::from(generation.longest_ms > MAX_PAUSE_MS);
            }
            self.report(generation.host, index, now_ms);
        }
    }
}

#[test]
fn long_generations_avoid_slow_servers_which_still_get_work() {
    let without = std::thread::spawn(|| Replay::new(false, None).run());
    let impatient = std::thread::spawn(|| Replay::new(true, Some(MAX_PAUSE_MS)).run());
    let with = Replay::new(true, None).run();
    let [without, impatient] =
        [without, impatient].map(|replay| replay.join().expect("the replay ends"));

    let late = |outcome: &Outcome| f64::from(outcome.long_late) / f64::from(outcome.long);
    assert!(late(&without) > 0.08, "{without:?}");
    assert!(late(&with) < 0.03, "{with:?}");
    assert!(with.refused <= without.refused, "{with:?}");
    assert!(with.short_on_slow > with.short / 4, "{with:?}");
    assert!(with.long_on_recovered > 0, "{with:?}");
    // Where short generations must not pause for long either, fewer of both do.
    let all_late = |outcome: &Outcome| outcome.long_late + outcome.short_late;
    assert!(2 * all_late(&impatient) < all_late(&without), "{impatient:?} {without:?}");
    assert!(impatient.short_on_slow > 0, "{impatient:?}");
}
