//! Tests of orders.

mod fixture;
mod lease;

use std::collections::HashSet;
use std::time::Duration;

use tokio::time::sleep;

use self::fixture::{Bench, RETRY_AFTER_S, Sent, document};
use super::Kind;
use crate::claim::tests::fixture::{Faults, run};

const QUIET: Faults = Faults {
    lost_probability: 0.0,
    extra_delay_ms: 0,
    unreachable_probability: 0.0,
    outage_ms: (0, 0),
    outage_hangs: false,
};

/// Longer than a lease and the wait after it.
const FREEZE: Duration = Duration::from_secs(400);

#[test]
fn a_round_orders_the_difference_and_the_next_appends_nothing() {
    run(async {
        let bench = Bench::new(1, 1, 3, true, QUIET);
        bench.round(0, &document(3, true, "2")).await;
        assert!(bench.matches(&document(3, true, "2")));
        assert_eq!(bench.simulation.append_count(), 1);
        let orders = bench.sent().len();
        bench.round(0, &document(3, true, "2")).await;
        assert_eq!((bench.simulation.append_count(), bench.sent().len()), (1, orders));
    });
}

/// Host 0 freezes where its first order is under way; host 1 takes over with a newer document; host 0 wakes.
async fn wake_after_takeover(fences: bool) -> Bench {
    let bench = Bench::new(1, 2, 1, fences, QUIET);
    let (old, new) = (document(1, fences, "2"), document(1, fences, "3"));
    bench.freeze_at_order(0, FREEZE);
    let first = bench.spawn_rounds(0, old, 2);
    for _ in 0..100 {
        sleep(Duration::from_secs(5)).await;
        bench.round(1, &new).await;
    }
    first.await.unwrap();
    bench
}

#[test]
fn an_old_order_of_a_woken_holder_is_refused_by_an_engine_that_fences() {
    run(async {
        let bench = wake_after_takeover(true).await;
        let refused: Vec<Sent> = bench.sent().into_iter().filter(|s| !s.applied).collect();
        assert_eq!(refused.len(), 1);
        assert_eq!(refused[0].host, 0);
        assert!(bench.matches(&document(1, true, "3")));
    });
}

#[test]
fn an_old_order_of_a_woken_holder_is_put_right_at_an_engine_that_does_not_fence() {
    run(async {
        let bench = wake_after_takeover(false).await;
        let sent = bench.sent();
        let woken = sent.iter().position(|s| s.host == 0).unwrap();
        assert!(woken > 0, "the old order came after the new holder's");
        assert_eq!(sent.iter().filter(|s| s.host == 0).count(), 1);
        assert!(sent[woken + 1..].iter().any(|s| s.host == 1));
        assert!(bench.matches(&document(1, false, "3")));
    });
}

#[test]
fn a_holder_that_wakes_before_its_check_sends_nothing() {
    run(async {
        let bench = Bench::new(1, 2, 1, false, QUIET);
        bench.freeze_at_grant(0, FREEZE);
        let first = bench.spawn_rounds(0, document(1, false, "2"), 2);
        for _ in 0..100 {
            sleep(Duration::from_secs(5)).await;
            bench.round(1, &document(1, false, "3")).await;
        }
        first.await.unwrap();
        assert!(bench.sent().iter().all(|s| s.host == 1));
        assert!(bench.matches(&document(1, false, "3")));
    });
}

#[test]
fn two_hosts_that_both_take_themselves_for_the_holder_never_mix_their_orders() {
    for seed in 0..100 {
        let lost = Faults { lost_probability: 0.3, extra_delay_ms: 300, ..QUIET };
        run(async {
            let bench = Bench::new(seed, 2, 2, seed % 2 == 0, lost);
            let wanted = document(2, seed % 2 == 0, "2");
            for _ in 0..100 {
                tokio::join!(bench.round(0, &wanted), bench.round(1, &wanted));
                bench.meddle();
                sleep(Duration::from_secs(3 + bench.simulation.random_below(5))).await;
            }
            for address in bench.addresses() {
                let sent: Vec<Sent> =
                    bench.sent().into_iter().filter(|s| s.address == address).collect();
                assert!(!sent.is_empty(), "seed {seed}");
                let rising = sent.is_sorted_by_key(|s| s.fence);
                assert!(rising, "seed {seed}: {sent:?}");
                let hosts: HashSet<_> = sent.iter().map(|s| (s.fence, s.host)).collect();
                let fences: HashSet<_> = sent.iter().map(|s| s.fence).collect();
                assert_eq!(hosts.len(), fences.len(), "seed {seed}");
            }
        });
    }
}

#[test]
fn a_successor_waits_until_orders_of_the_last_holder_have_settled() {
    for fences in [true, false] {
        run(async {
            let bench = Bench::new(1, 2, 1, fences, QUIET);
            bench.round(0, &document(1, fences, "2")).await;
            bench.hosts[0].health.kill();
            let mut waited_s = 0;
            while !bench.matches(&document(1, fences, "3")) {
                sleep(Duration::from_secs(1)).await;
                waited_s += 1;
                bench.round(1, &document(1, fences, "3")).await;
            }
            let settle_s = if fences { 0 } else { 35 };
            assert!((180 + settle_s..183 + settle_s).contains(&waited_s), "{waited_s} s");
        });
    }
}

#[test]
fn a_load_of_minutes_is_ordered_once() {
    run(async {
        let bench = Bench::new(1, 1, 1, true, QUIET).with_load_time(Duration::from_secs(100));
        let wanted = document(1, true, "2");
        while !bench.matches(&wanted) {
            bench.round(0, &wanted).await;
            sleep(Duration::from_secs(5)).await;
        }
        assert_eq!(bench.sent().len(), 3, "version, adapter and role, each once");
        assert_eq!(bench.grants().0, 2);
    });
}

#[test]
fn no_order_is_sent_under_a_lease_that_was_given_back() {
    run(async {
        let bench = Bench::new(1, 1, 1, true, QUIET).with_load_time(Duration::from_secs(100));
        bench.round(0, &document(1, true, "2")).await;
        bench.release(0, &document(1, true, "2")).await;
        sleep(FREEZE).await;
        assert_eq!(bench.sent().len(), 1);
    });
}

#[test]
fn the_weight_store_is_asked_before_each_load_and_its_rate_is_kept() {
    run(async {
        let (hosts, engines) = (3, 12);
        let bench = Bench::new(1, hosts, engines, true, QUIET).with_loads_per_s(1);
        let wanted = document(engines, true, "2");
        while !bench.matches(&wanted) {
            for host in 0..hosts {
                bench.round(host, &wanted).await;
            }
            sleep(Duration::from_secs(1)).await;
        }
        let loads = bench.sent().iter().filter(|s| !matches!(s.kind, Kind::SetRole { .. })).count();
        let (granted, limited) = bench.grants();
        assert_eq!(granted, loads);
        // Calls for all engines of a host may be under way when the store first refuses.
        let waits = bench.simulation.start.elapsed().as_secs() / RETRY_AFTER_S + 1;
        let most = engines * waits as usize;
        assert!(limited <= most, "{limited} refused, at most {most}");
    });
}

#[test]
fn leases_of_a_change_at_all_engines_take_one_append_a_host() {
    run(async {
        let hosts = 36;
        let bench = Bench::new(1, hosts, 600, true, QUIET).with_shared_engines();
        for host in 0..hosts {
            bench.round(host, &document(600, true, "2")).await;
        }
        assert!(bench.matches(&document(600, true, "2")));
        assert_eq!(bench.simulation.append_count(), hosts as u64);
    });
}
