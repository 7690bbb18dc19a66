use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

/// Time in which requests are counted, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Time between two steps of the model, in milliseconds.
const STEP_MS: usize = 5;

/// Time within which hosts have to heed a limit, in milliseconds.
const HEED_MS: u64 = 3_000;

fn limit(per_s: f64) -> Limit {
    Limit::new(per_s).expect("a valid limit")
}

/// The only sender of a server with this limit, which it learnt at `now_ms`.
fn only_sender(per_s: f64, now_ms: u64) -> Pace {
    let mut pace = Pace::new();
    pace.observe(Some(limit(per_s)), now_ms, now_ms);
    pace.set_share(Share { senders: 1, is_sender: true }, 0.0, now_ms);
    pace
}

#[test]
fn requests_are_sent_one_interval_apart() {
    let mut pace = only_sender(2.0, 1_000);
    assert!(pace.take(1_000));
    assert!(!pace.take(1_499));
    assert_eq!(pace.until_ms(1_499), Some(1_500));
    assert!(pace.take(1_500));
}

#[test]
fn requests_that_were_not_sent_do_not_add_up() {
    let mut pace = only_sender(2.0, 0);
    assert!(pace.take(5_000));
    assert!(!pace.take(5_001));
}

#[test]
fn a_request_that_is_sent_in_any_case_counts() {
    let mut pace = only_sender(2.0, 0);
    pace.count(0);
    pace.count(10);
    assert_eq!(pace.until_ms(20), Some(1_000));
}

#[test]
fn a_limit_ends_with_a_response_to_a_later_request() {
    let mut pace = only_sender(2.0, 1_000);
    assert_eq!(
        pace.observe(None, 900, 1_100),
        Notice::default(),
        "sent before the limit was known"
    );
    assert_eq!(pace.limit(1_100), Some(limit(2.0)));
    assert_eq!(pace.observe(None, 1_050, 1_200), Notice { is_new: true, tell: true });
    assert_eq!((pace.limit(1_200), pace.until_ms(1_200)), (None, None));
}

#[test]
fn hosts_tell_what_is_new_and_repeat_it_now_and_then() {
    let mut pace = Pace::new();
    assert_eq!(pace.observe(Some(limit(4.0)), 0, 0), Notice { is_new: true, tell: true });
    assert_eq!(pace.observe(Some(limit(4.0)), 5, 10), Notice { is_new: false, tell: false });
    assert_eq!(pace.observe(Some(limit(4.1)), 15, 20), Notice { is_new: true, tell: false });
    assert_eq!(pace.observe(Some(limit(8.0)), 25, 30), Notice { is_new: true, tell: true });
    assert!(pace.observe(Some(limit(8.0)), 35, 30 + TELL_INTERVAL_MS).tell);
}

#[test]
fn what_another_host_tells_is_forwarded_once() {
    let mut pace = Pace::new();
    let told = Some(limit(4.0));
    assert_eq!(pace.hear(told, 10), Notice { is_new: true, tell: true });
    assert_eq!(pace.hear(told, 12), Notice::default());
    assert_eq!(pace.hear(told, 10 + TELL_INTERVAL_MS), Notice { is_new: false, tell: true });
    assert_eq!(pace.hear(None, 20 + TELL_INTERVAL_MS), Notice { is_new: true, tell: true });
    assert_eq!(pace.hear(None, 22 + TELL_INTERVAL_MS), Notice::default());
}

#[test]
fn a_limit_that_is_not_confirmed_is_dropped() {
    let pace = only_sender(50.0, 0);
    assert!(pace.limit(MIN_RETENTION_MS - 1).is_some() && pace.limit(MIN_RETENTION_MS).is_none());
    let rare = only_sender(0.2, 0);
    assert!(rare.limit(14_999).is_some() && rare.limit(15_000).is_none(), "three requests");
}

#[test]
fn a_host_that_does_not_send_may_begin_later() {
    let mut pace = only_sender(2.0, 0);
    pace.set_share(Share { senders: 4, is_sender: false }, 0.5, 100);
    assert!(!pace.take(3_000));
    pace.set_share(Share { senders: 4, is_sender: true }, 0.5, 3_000);
    assert_eq!(pace.until_ms(3_000), Some(4_000), "half of the time between its requests");
    assert!(pace.take(4_000));
}

#[test]
fn a_share_is_derived_again_after_a_while_and_for_another_limit() {
    let mut pace = only_sender(2.0, 0);
    assert_eq!(pace.limit_to_share(SHARE_RETENTION_MS - 1), None);
    assert_eq!(pace.limit_to_share(SHARE_RETENTION_MS), Some(limit(2.0)));
    pace.observe(Some(limit(9.0)), 100, 110);
    assert_eq!(pace.limit_to_share(111), Some(limit(9.0)));
}

#[test]
fn a_limit_of_zero_leaves_few_requests_to_find_out_its_end() {
    let mut pace = only_sender(0.0, 0);
    let sent = (0..20_000).filter(|now_ms| pace.take(*now_ms)).count();
    assert!(sent <= 2, "{sent}");
}

/// Hosts that all have a request for one server each `demand_ms`, and times at which requests reached it.
struct Hosts {
    paces: Vec<Pace>,
    /// Whether each host considers each other one live.
    is_live: Vec<Vec<bool>>,
    random: StdRng,
    arrivals: Vec<u64>,
}

impl Hosts {
    /// `doubt` is the share of the other hosts that a host wrongly takes for dead.
    fn new(seed: u64, count: usize, doubt: f64) -> Self {
        let mut random = StdRng::seed_from_u64(seed);
        let mut row = |own: usize| {
            (0..count).map(|other| other == own || !random.random_bool(doubt)).collect()
        };
        let is_live = (0..count).map(&mut row).collect();
        Self {
            paces: (0..count).map(|_| Pace::new()).collect(),
            is_live,
            random,
            arrivals: Vec::new(),
        }
    }

    /// Sends requests from `from_ms` to `to_ms`. The server names `limit`, and hosts hear of it from each other unless the
    /// message is lost.
    fn run(&mut self, limit: Option<Limit>, demand_ms: u64, (from_ms, to_ms): (u64, u64)) {
        for now_ms in (from_ms..to_ms).step_by(STEP_MS) {
            for host in 0..self.paces.len() {
                if !self.random.random_bool(STEP_MS as f64 / demand_ms as f64) {
                    continue;
                }
                if let Some(known) = self.paces[host].limit(now_ms) {
                    let senders = known.senders(self.paces.len());
                    let before = (0..host).filter(|other| self.is_live[host][*other]).count();
                    let share = Share { senders, is_sender: before < senders };
                    let fraction = self.random.random_range(0.0..1.0);
                    self.paces[host].set_share(share, fraction, now_ms);
                }
                if self.paces[host].take(now_ms) {
                    self.arrivals.push(now_ms);
                    self.tell(host, limit, now_ms);
                }
            }
        }
    }

    fn tell(&mut self, host: usize, limit: Option<Limit>, now_ms: u64) {
        if !self.paces[host].observe(limit, now_ms, now_ms + 1).tell {
            return;
        }
        for other in 0..self.paces.len() {
            if other != host && !self.random.random_bool(0.05) {
                self.paces[other].hear(limit, now_ms + 2);
            }
        }
    }

    /// The most requests in a window that begins at `from_ms` or later, and all of them from then on.
    fn counts(&self, from_ms: u64) -> (usize, usize) {
        let later: Vec<_> = self.arrivals.iter().filter(|at| **at >= from_ms).collect();
        let within = |start: &u64| {
            later.iter().filter(|at| (*start..start + WINDOW_MS).contains(**at)).count()
        };
        (later.iter().map(|start| within(start)).max().unwrap_or(0), later.len())
    }
}

/// From 3 s after a limit was named, a server gets at most one and a half times of what it allows in 4 s, and five requests,
/// and at least half of it.
#[test]
fn hosts_share_a_limit() {
    for (seed, hosts) in [1, 2, 3, 9, 18, 36, 80, 295].into_iter().enumerate() {
        for per_s in [0.3, 1.0, 3.3, 5.2, 20.0, 100.0] {
            let mut fleet = Hosts::new(seed as u64, hosts, 0.02);
            let demand_ms = (hosts as f64 * 1_000.0 / (3.0 * per_s)) as u64;
            let demand_ms = demand_ms.clamp(STEP_MS as u64, 400);
            fleet.run(Some(limit(per_s)), demand_ms, (0, 23_000));
            let (most, all) = fleet.counts(HEED_MS);
            let allowed = 1.5 * per_s * 4.0 + 5.0;
            assert!(most as f64 <= allowed, "{hosts} hosts, {per_s}: {most} of {allowed}");
            let least = per_s * 20.0 / 2.0;
            assert!(all as f64 >= least.floor(), "{hosts} hosts, {per_s}: {all} of {least}");
        }
    }
}

#[test]
fn all_hosts_send_again_after_a_limit() {
    for hosts in [3, 9, 80, 295] {
        let mut fleet = Hosts::new(7, hosts, 0.0);
        fleet.run(Some(limit(4.0)), 100, (0, 10_000));
        fleet.run(None, 100, (10_000, 25_000));
        let (most, _) = fleet.counts(10_000 + MIN_RETENTION_MS);
        let demand = hosts * (WINDOW_MS / 100) as usize;
        assert!(most >= demand / 2, "{hosts} hosts: {most} of {demand}");
    }
}

#[test]
fn hosts_heed_a_limit_that_changes() {
    let mut fleet = Hosts::new(3, 9, 0.0);
    fleet.run(Some(limit(40.0)), 50, (0, 8_000));
    fleet.run(Some(limit(3.0)), 50, (8_000, 20_000));
    let (most, _) = fleet.counts(8_000 + HEED_MS);
    assert!(most <= 23, "{most}");
}

/// Hosts without requests that all get one at the same moment.
#[test]
fn hosts_that_were_idle_do_not_send_together() {
    for per_s in [0.3, 3.3, 20.0] {
        let mut random = StdRng::seed_from_u64(5);
        let (hosts, senders) = (295, limit(per_s).senders(295));
        let sends = |host: usize| {
            let mut pace = Pace::new();
            for now_ms in (0..400_000).step_by(TELL_INTERVAL_MS as usize) {
                pace.hear(Some(limit(per_s)), now_ms);
                let share = Share { senders, is_sender: host < senders };
                pace.set_share(share, random.random_range(0.0..1.0), now_ms);
            }
            (400_000..400_000 + WINDOW_MS).filter(|now_ms| pace.take(*now_ms)).count()
        };
        let sent: usize = (0..hosts).map(sends).sum();
        assert!(sent as f64 <= 1.5 * per_s * 4.0 + 5.0, "{per_s}: {sent}");
    }
}
