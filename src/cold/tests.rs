//! Tests of the cold time, and replays of the requests that a cold engine gets from many hosts.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;
use crate::rate::Pace;

/// Time between two steps of a replay, in milliseconds.
const STEP_MS: usize = 10;

/// Time after its start in which a host does not send, in milliseconds.
const MEET_MS: u64 = 2_000;

const PER_S: f64 = 26.0;

fn limit(per_s: f64) -> Limit {
    Limit::new(per_s).expect("a valid limit")
}

/// Guards against an entry that is read late or repeatedly and keeps an engine cold.
#[test]
fn only_an_entry_with_more_time_left_makes_an_engine_cold_again() {
    let mut state = State::new(5_000, 1_000);
    assert!(!state.read_entry(5_000, 4_000) && !state.read_entry(900, 6_500));
    assert_eq!(state.until_ms(), 6_000);
    assert!(state.read_entry(3_000, 7_000));
    assert_eq!(state.until_ms(), 10_000);
}

/// Guards against a response from before the cold time that ends it.
#[test]
fn a_response_shortens_the_cold_time_only_if_the_request_was_sent_later() {
    let mut state = State::new(60_000, 1_000);
    assert!(!state.observe(0, 2_900, 3_100) && state.is_cold(3_100));
    assert!(!state.observe(500, 3_000, 3_100) && !state.is_cold(3_600));
    assert!(state.observe(4_000, 3_200, 3_700) && state.is_cold(7_699));
}

/// Guards against hosts that tell each other the same cold time without end, and against overflow.
#[test]
fn what_is_told_is_news_once_and_limited() {
    let mut state = State::default();
    assert!(state.extend(5_000, 1_000) && !state.extend(5_000, 1_200));
    assert!(!state.extend(0, 10_000));
    assert!(state.observe(u64::MAX, 10_000, 10_000));
    assert_eq!(state.until_ms(), 10_000 + MAX_LEFT_MS);
    assert!(State::new(u64::MAX, 5).is_cold(MAX_LEFT_MS));
}

/// Guards against bounds narrower than usual, and against rounding for any number of hosts.
#[test]
fn all_hosts_together_stay_within_the_bound_even_if_none_sees_another() {
    for bound in
        [Bound::default(), Bound { over: 1.0, slack: 5.0 }, Bound { over: 1.2, slack: 0.0 }]
    {
        for per_s in [1.0, 5.0, 26.0, 100.0] {
            let most = bound.requests(limit(per_s));
            for listed in (1..=400).filter(|_| most >= 5.0) {
                let plan = Plan::new(bound.shared_limit(limit(per_s)), bound, listed);
                let interval_ms = plan.spacing_ms.max(1);
                let in_a_second = 1_000_u64.div_ceil(interval_ms) as usize * plan.candidates;
                assert!(in_a_second as f64 <= most, "{bound:?} {per_s} {listed}: {in_a_second}");
            }
        }
    }
}

/// What a host believes and sends.
struct Host {
    /// Which of the hosts it has in its list.
    listed: Vec<bool>,
    /// Which hosts it considers live.
    live: Vec<bool>,
    pace: Pace,
    started_ms: u64,
    is_dead: bool,
}

/// Hosts that all have requests for one cold engine. They are numbered by their rank for it.
struct Hosts {
    hosts: Vec<Host>,
    random: StdRng,
    arrivals: Vec<u64>,
}

impl Hosts {
    /// `unlisted` is the part of the others that each host does not know, `doubt` the part that it takes for dead. Hosts
    /// start at the given times.
    fn new(seed: u64, starts_ms: &[u64], (unlisted, doubt): (f64, f64)) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let count = starts_ms.len();
        let mut hosts = Vec::new();
        for (own, started_ms) in starts_ms.iter().enumerate() {
            let mut row =
                |part| (0..count).map(|i| i == own || !random.random_bool(part)).collect();
            let (listed, live, started_ms) = (row(unlisted), row(doubt), *started_ms);
            hosts.push(Host { listed, live, pace: Pace::new(), started_ms, is_dead: false });
        }
        Self { hosts, random, arrivals: Vec::new() }
    }

    /// Hosts that run before the engine is cold.
    fn running(seed: u64, count: usize, beliefs: (f64, f64)) -> Self {
        Self::new(seed, &vec![0; count], beliefs)
    }

    fn share(&self, own: usize, now_ms: u64) -> (Share, u64) {
        let host = &self.hosts[own];
        let runs = |i: usize| now_ms >= self.hosts[i].started_ms;
        // A host that has just started is listed once it has written its address.
        let is_listed = |i: &usize| host.listed[*i] && runs(*i);
        let members: Vec<usize> = (0..self.hosts.len()).filter(is_listed).collect();
        let plan = Plan::new(limit(PER_S), Bound::default(), members.len());
        let before = members.iter().filter(|i| **i < own);
        let live = members.iter().take(plan.candidates).filter(|i| host.live[**i]);
        let standing = Standing {
            rank: before.clone().count(),
            live_rank: before.filter(|i| host.live[**i]).count(),
            listed: members.len(),
            live: live.count(),
        };
        (plan.share(limit(PER_S), standing), plan.spacing_ms)
    }

    /// Sends requests, one each `demand_ms` per host, and `continuations` in the middle.
    fn run(&mut self, demand_ms: u64, continuations: usize, to_ms: u64) {
        let continue_ms = to_ms / 2;
        for now_ms in (MEET_MS..to_ms).step_by(STEP_MS) {
            for own in 0..self.hosts.len() {
                let Host { started_ms, is_dead, .. } = self.hosts[own];
                if is_dead || now_ms < started_ms + MEET_MS {
                    continue;
                }
                self.hosts[own].pace.set_cold(limit(PER_S), to_ms, now_ms);
                if self.hosts[own].pace.limit_to_share(now_ms).is_some() {
                    let (share, spacing_ms) = self.share(own, now_ms);
                    let fraction = self.random.random_range(0.0..1.0);
                    self.hosts[own].pace.set_cold_spacing(spacing_ms);
                    self.hosts[own].pace.set_share(share, fraction, now_ms);
                }
                let is_wanted =
                    self.random.random_bool((STEP_MS as f64 / demand_ms as f64).min(1.0));
                if is_wanted && self.hosts[own].pace.take(now_ms) {
                    // The request arrives a few milliseconds later.
                    self.arrivals.push(now_ms + self.random.random_range(0..20));
                }
            }
            if now_ms == continue_ms {
                for _ in 0..continuations {
                    let own = self.random.random_range(0..self.hosts.len());
                    self.hosts[own].pace.count(now_ms);
                    self.arrivals.push(now_ms);
                }
            }
        }
        self.arrivals.sort_unstable();
    }

    fn most_in_a_second(&self) -> usize {
        let arrivals = &self.arrivals;
        let count = |i: usize| arrivals[i..].partition_point(|at| *at < arrivals[i] + 1_000);
        (0..arrivals.len()).map(count).max().unwrap_or(0)
    }

    fn per_s(&self, from_ms: u64, to_ms: u64) -> f64 {
        let count = self.arrivals.iter().filter(|at| (from_ms..to_ms).contains(*at)).count();
        count as f64 * 1_000.0 / (to_ms - from_ms) as f64
    }
}

/// Guards against hosts that disagree on how many hosts there are or who is live, hosts that start meanwhile, and
/// continuations: the engine crashes well above its limit. Also against a cold engine that is left idle.
#[test]
fn a_cold_engine_gets_its_limit_and_no_more_than_the_bound() {
    for (seed, count) in [9, 74, 295].into_iter().enumerate() {
        let starts: Vec<u64> =
            (0..count as u64).map(|i| if i % 5 == 4 { 3_000 + (i % 7) * 900 } else { 0 }).collect();
        let starting = Hosts::new(seed as u64, &starts, (0.02, 0.02));
        let cases = [
            ("all agree", Hosts::running(seed as u64, count, (0.0, 0.0)), 0.85),
            ("doubt", Hosts::running(seed as u64, count, (0.02, 0.05)), 0.8),
            ("other lists", Hosts::running(seed as u64, count, (0.15, 0.02)), 0.8),
            ("all cut off", Hosts::running(seed as u64, count, (0.0, 1.0)), 0.8),
            ("some start", starting, 0.8),
        ];
        for (name, mut hosts, least) in cases {
            hosts.run(50, 4, 14_000);
            let (most, per_s) = (hosts.most_in_a_second(), hosts.per_s(4_000, 14_000));
            assert!(most <= 44, "{count} hosts, {name}: {most}");
            assert!(per_s >= least * PER_S, "{count} hosts, {name}: {per_s}");
        }
    }
}

/// Guards against a failed domain whose hosts keep their shares.
#[test]
fn the_share_of_dead_hosts_is_used_by_the_others() {
    for count in [9, 74, 295] {
        let mut hosts = Hosts::running(3, count, (0.0, 0.0));
        let is_dead = |i: usize| i % 3 == 2;
        for host in &mut hosts.hosts {
            host.live = (0..count).map(|i| !is_dead(i)).collect();
        }
        (0..count).for_each(|i| hosts.hosts[i].is_dead = is_dead(i));
        hosts.run(50, 0, 14_000);
        let (most, per_s) = (hosts.most_in_a_second(), hosts.per_s(4_000, 14_000));
        assert!(most <= 44 && per_s >= 0.7 * PER_S, "{count} hosts: {most}, {per_s}");
    }
}

/// Guards against hosts without requests that all get one at the same moment, as after a pause of the callers.
#[test]
fn hosts_that_were_idle_do_not_exceed_the_bound_together() {
    for count in [9, 20, 25, 74, 295] {
        let mut hosts = Hosts::running(5, count, (0.02, 0.02));
        hosts.run(1_000_000, 0, 6_000);
        hosts.arrivals.clear();
        for host in &mut hosts.hosts {
            let sent = (6_000..9_000).filter(|now_ms| {
                host.pace.set_cold(limit(PER_S), 60_000, *now_ms);
                host.pace.take(*now_ms)
            });
            hosts.arrivals.extend(sent);
        }
        hosts.arrivals.sort_unstable();
        let most = hosts.most_in_a_second();
        assert!(most <= 44, "{count} hosts: {most}");
    }
}

/// Guards against a warm server that keeps a limit, and a cold one that hides the lower limit that it names.
#[test]
fn the_lower_limit_is_in_force_until_the_engine_is_warm() {
    let mut pace = Pace::new();
    pace.set_cold(limit(20.0), 5_000, 0);
    assert!(!pace.take(0), "not before its share is known");
    pace.set_share(Share { senders: 1, is_sender: true }, 0.0, 0);
    assert!(pace.take(0) && !pace.take(49) && pace.take(50));
    pace.observe(Some(limit(2.0)), 60, 60);
    assert_eq!(pace.limit_to_share(60), Some(limit(2.0)));
    pace.set_share(Share { senders: 1, is_sender: true }, 0.0, 60);
    assert!(pace.take(100) && !pace.take(150) && pace.take(600));
    assert_eq!((pace.cold_limit(4_999), pace.cold_limit(5_000)), (Some(limit(20.0)), None));
    pace.observe(None, 4_000, 4_000);
    assert!(pace.take(5_000) && pace.take(5_000), "no limit");
}
