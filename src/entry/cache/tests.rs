//! Tests of the cached state.

use std::time::Duration;

use super::Cache;
use crate::freshness::{Bounds, Purpose};
use crate::route::{Limits, Table};

fn cache() -> Cache {
    Cache::new(Bounds::new(Duration::from_secs(5), Duration::from_secs(4)))
}

fn table(version: u64) -> Table {
    let limits = Limits {
        header_bytes: 1 << 14,
        body_bytes: 1 << 20,
        idle_timeout: Duration::from_secs(15),
        head_timeout: Duration::from_secs(3),
    };
    Table::new(version, limits)
}

#[test]
fn a_document_is_outdated_only_while_another_host_has_a_newer_one() {
    // Three versions are accepted within 0.2 s, and notices of the first two arrive during the read that returns the
    // third. Each notice used to cause a read by every host.
    let cache = cache();
    assert!(!cache.is_document_outdated(), "no host has a document");

    cache.check_document_version(7, 0);
    assert!(cache.is_document_outdated());
    cache.replace_table(table(9));
    for version in [7, 8] {
        cache.check_document_version(version, 0);
        assert!(!cache.is_document_outdated(), "{version}");
    }

    cache.check_document_version(10, 0);
    assert!(cache.is_document_outdated());
}

#[test]
fn a_store_that_lost_records_does_not_confirm_a_document_older_than_another_hosts() {
    let cache = cache();
    cache.replace_table(table(9));
    cache.check_document_version(11, 0);
    cache.confirm_document(1_000);
    assert_eq!(cache.watermark().document_ms, 1_000, "the store has lost nothing");
    cache.mark_records_lost(2_000);
    cache.confirm_document(2_500);
    assert_eq!(cache.watermark().document_ms, 1_000);
    cache.replace_table(table(11));
    cache.confirm_document(3_000);
    assert_eq!(cache.watermark().document_ms, 3_000);
}

/// Guards against a request that is handled by an old version because the store turns this host away, while other hosts
/// have the new one. The bound is 4 s from the acceptance.
#[test]
fn a_document_is_not_used_much_longer_once_another_host_has_a_newer_one() {
    let cache = cache();
    cache.replace_table(table(9));
    cache.confirm_document(10_000);
    cache.check_document_version(11, 10_000);
    cache.check_document_version(12, 11_500);
    let is_used = |purpose, now_ms| cache.current(purpose, now_ms).is_some();

    assert!(is_used(Purpose::Dispatch, 13_000));
    assert!(!is_used(Purpose::Dispatch, 13_001) && !is_used(Purpose::Denial, 13_001));
    assert!(is_used(Purpose::Continuation, 60_000), "a stream that was admitted before");

    // The store gives out one of the newer versions only.
    cache.replace_table(table(11));
    cache.confirm_document(13_100);
    assert!(is_used(Purpose::Dispatch, 14_500) && !is_used(Purpose::Dispatch, 14_501));
    cache.replace_table(table(12));
    assert!(is_used(Purpose::Dispatch, 17_000));
}

#[test]
fn a_host_that_was_cut_off_has_not_seen_which_builds_served() {
    let cache = cache();
    let service = crate::name::Service::new("pool").unwrap();
    let watched_ms = |now_ms| cache.sighting(&service, 60_000, now_ms).watched_ms;
    assert_eq!(watched_ms(1_000), 0, "the servers are not listed");
    cache.mark_servers_listed(1_000);
    for confirmed_ms in [1_000, 2_000, 4_000, 6_500] {
        cache.confirm_servers(confirmed_ms);
    }
    assert_eq!(watched_ms(9_000), 8_000);
    assert_eq!(watched_ms(9_501), 0, "a build may have come since 6,500 ms");
    cache.confirm_servers(20_000);
    assert_eq!(watched_ms(20_500), 500, "builds may have come and gone meanwhile");
}
