//! Tests of the orders service on a simulated log and simulated engines.

mod fixture;
mod lease;

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::sleep;

use self::fixture::{Harness, RETRY_AFTER_S, SentOrder, document};
use super::Kind;
use crate::claim::tests::fixture::{Faults, run};

const NO_FAULTS: Faults = Faults {
    lost_probability: 0.0,
    extra_delay_ms: 0,
    unreachable_probability: 0.0,
    outage_ms: (0, 0),
    outage_hangs: false,
};

/// Longer than a lease term and the settle time after it.
const FREEZE_TIME: Duration = Duration::from_secs(400);

#[test]
fn a_round_sends_the_difference_and_the_next_round_appends_nothing() {
    run(async {
        let harness = Harness::new(1, 1, 3, true, NO_FAULTS);
        harness.round(0, &document(3, true, "2")).await;
        assert!(harness.matches(&document(3, true, "2")));
        assert_eq!(harness.simulation.append_count(), 1);
        let orders = harness.sent().len();
        harness.round(0, &document(3, true, "2")).await;
        assert_eq!((harness.simulation.append_count(), harness.sent().len()), (1, orders));
    });
}

/// Host 0 freezes while it sends its first order, host 1 takes over with a newer document, and host 0 resumes.
async fn resume_after_takeover(fences: bool) -> Harness {
    let harness = Harness::new(1, 2, 1, fences, NO_FAULTS);
    let (old, new) = (document(1, fences, "2"), document(1, fences, "3"));
    harness.freeze_at_order(0, FREEZE_TIME);
    let first = harness.spawn_rounds(0, old, 2);
    for _ in 0..100 {
        sleep(Duration::from_secs(5)).await;
        harness.round(1, &new).await;
    }
    first.await.unwrap();
    harness
}

#[test]
fn an_outdated_order_after_a_freeze_is_refused_by_an_engine_that_fences() {
    run(async {
        let harness = resume_after_takeover(true).await;
        let refused: Vec<SentOrder> = harness.sent().into_iter().filter(|s| !s.applied).collect();
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].host, 0);
        assert!(harness.matches(&document(1, true, "3")));
    });
}

#[test]
fn an_outdated_order_after_a_freeze_is_corrected_at_an_engine_that_does_not_fence() {
    run(async {
        let harness = resume_after_takeover(false).await;
        let sent = harness.sent();
        let late_index = sent.iter().position(|s| s.host == 0).unwrap();
        assert!(late_index > 0, "the outdated order was not sent after those of the new holder");
        assert_eq!(sent.iter().filter(|s| s.host == 0).count(), 1);
        assert!(sent[late_index + 1..].iter().any(|s| s.host == 1));
        assert!(harness.matches(&document(1, false, "3")));
    });
}

#[test]
fn a_holder_that_resumes_before_its_lease_check_sends_nothing() {
    run(async {
        let harness = Harness::new(1, 2, 1, false, NO_FAULTS);
        harness.freeze_at_grant(0, FREEZE_TIME);
        let first = harness.spawn_rounds(0, document(1, false, "2"), 2);
        for _ in 0..100 {
            sleep(Duration::from_secs(5)).await;
            harness.round(1, &document(1, false, "3")).await;
        }
        first.await.unwrap();
        assert!(harness.sent().iter().all(|s| s.host == 1));
        assert!(harness.matches(&document(1, false, "3")));
    });
}

/// Guards against an order under a lease that ended while the suspended holder was connecting.
#[test]
fn a_holder_that_resumes_while_it_connects_sends_nothing() {
    run(async {
        let harness = Harness::new(1, 2, 1, false, NO_FAULTS);
        harness.freeze_at_connect(0, FREEZE_TIME);
        let first = harness.spawn_rounds(0, document(1, false, "2"), 2);
        for _ in 0..100 {
            sleep(Duration::from_secs(5)).await;
            harness.round(1, &document(1, false, "3")).await;
        }
        first.await.unwrap();
        assert!(harness.sent().iter().all(|s| s.host == 1));
        assert!(harness.matches(&document(1, false, "3")));
    });
}

#[test]
fn two_hosts_that_both_consider_themselves_owner_never_interleave_orders() {
    for seed in 0..100 {
        let faults = Faults { lost_probability: 0.3, extra_delay_ms: 300, ..NO_FAULTS };
        run(async {
            let harness = Harness::new(seed, 2, 2, seed % 2 == 0, faults);
            let desired = document(2, seed % 2 == 0, "2");
            for _ in 0..100 {
                tokio::join!(harness.round(0, &desired), harness.round(1, &desired));
                harness.clear_some_adapters();
                sleep(Duration::from_secs(3 + harness.simulation.random_below(5))).await;
            }
            for address in harness.addresses() {
                let sent: Vec<SentOrder> =
                    harness.sent().into_iter().filter(|s| s.address == address).collect();
                assert!(!sent.is_empty(), "seed {seed}");
                let is_ascending = sent.is_sorted_by_key(|s| s.fence);
                assert!(is_ascending, "seed {seed}: {sent:?}");
                let hosts: HashSet<_> = sent.iter().map(|s| (s.fence, s.host)).collect();
                let fences: HashSet<_> = sent.iter().map(|s| s.fence).collect();
                assert_eq!(hosts.len(), fences.len(), "seed {seed}");
            }
        });
    }
}

#[test]
fn a_successor_waits_until_orders_of_the_previous_holder_have_settled() {
    for fences in [true, false] {
        run(async {
            let harness = Harness::new(1, 2, 1, fences, NO_FAULTS);
            harness.round(0, &document(1, fences, "2")).await;
            harness.hosts[0].health.kill();
            let mut waited_s = 0;
            while !harness.matches(&document(1, fences, "3")) {
                sleep(Duration::from_secs(1)).await;
                waited_s += 1;
                harness.round(1, &document(1, fences, "3")).await;
            }
            let settle_s = if fences { 0 } else { 35 };
            assert!((180 + settle_s..183 + settle_s).contains(&waited_s), "{waited_s} s");
        });
    }
}

#[test]
fn a_load_that_takes_minutes_is_ordered_once() {
    run(async {
        let harness =
            Harness::new(1, 1, 1, true, NO_FAULTS).with_load_time(Duration::from_secs(100));
        let desired = document(1, true, "2");
        while !harness.matches(&desired) {
            harness.round(0, &desired).await;
            sleep(Duration::from_secs(5)).await;
        }
        assert_eq!(harness.sent().len(), 3, "version, adapter and role, each once");
        assert_eq!(harness.grants().0, 2);
    });
}

#[test]
fn no_order_is_sent_under_a_released_lease() {
    run(async {
        let harness =
            Harness::new(1, 1, 1, true, NO_FAULTS).with_load_time(Duration::from_secs(100));
        harness.round(0, &document(1, true, "2")).await;
        harness.release(0, &document(1, true, "2")).await;
        sleep(FREEZE_TIME).await;
        assert_eq!(harness.sent().len(), 1);
    });
}

#[test]
fn each_load_requests_a_grant_and_respects_the_rate_limit_of_the_weight_store() {
    run(async {
        let (hosts, engines) = (3, 12);
        let harness = Harness::new(1, hosts, engines, true, NO_FAULTS).with_loads_per_s(1);
        let desired = document(engines, true, "2");
        while !harness.matches(&desired) {
            for host in 0..hosts {
                harness.round(host, &desired).await;
            }
            sleep(Duration::from_secs(1)).await;
        }
        let loads =
            harness.sent().iter().filter(|s| !matches!(s.kind, Kind::SetRole { .. })).count();
        let (granted, limited) = harness.grants();
        assert_eq!(granted, loads);
        // Requests for all engines of a host may be in flight when the store first refuses one.
        let refusal_periods = harness.simulation.start.elapsed().as_secs() / RETRY_AFTER_S + 1;
        let max_limited = engines * refusal_periods as usize;
        assert!(limited <= max_limited, "{limited} refused, at most {max_limited}");
    });
}

#[test]
fn a_change_at_all_engines_takes_one_lease_append_per_host() {
    run(async {
        let hosts = 36;
        let harness = Harness::new(1, hosts, 600, true, NO_FAULTS).with_shared_engines();
        for host in 0..hosts {
            harness.round(host, &document(600, true, "2")).await;
        }
        assert!(harness.matches(&document(600, true, "2")));
        assert_eq!(harness.simulation.append_count(), hosts as u64);
    });
}
