//! Tests of the watermark and of the age of what hosts cache.

use std::time::Duration;

use super::{LEAVING_RETENTION_MS, Limits, MismatchCounter, Reply, Watermark};
use crate::name;
use crate::roster::{Roster, View};

fn reply(version: u64, document_age_ms: u64, servers_age_ms: u64) -> Reply {
    Reply { version, document_age_ms, servers_age_ms, leaving: Vec::new(), digest: 0 }
}

#[test]
fn a_delayed_or_duplicated_reply_does_not_advance_the_watermark() {
    let watermark = Watermark { document_ms: 5_000, servers_ms: 5_000 };

    // The query was sent at 4,900; its reply arrives after a second query was sent.
    let updated = watermark.apply(&reply(7, 100, 100), 7, 4_900).watermark;

    assert_eq!(updated, watermark);
}

#[test]
fn only_the_same_document_version_is_confirmed() {
    let watermark = Watermark { document_ms: 1_000, servers_ms: 1_000 };
    for (version, newer) in [(6, false), (8, true)] {
        let updated = watermark.apply(&reply(version, 0, 0), 7, 3_000);
        assert_eq!(updated.watermark.document_ms, 1_000, "{version}");
        assert_eq!(updated.newer_document, newer, "{version}");
    }
}

#[test]
fn a_host_that_was_suspended_for_long_reads_the_entries_itself() {
    // Replies no longer name servers that left while the host was suspended.
    let watermark = Watermark { document_ms: 1_000, servers_ms: 1_000 };

    let updated = watermark.apply(&reply(7, 0, 0), 7, 1_000 + LEAVING_RETENTION_MS).watermark;

    assert_eq!(updated, Watermark { document_ms: 1_000 + LEAVING_RETENTION_MS, servers_ms: 1_000 });
}

#[test]
fn a_reply_from_a_host_that_lost_the_store_confirms_only_its_old_state() {
    let watermark = Watermark { document_ms: 8_000, servers_ms: 8_000 };
    let updated = watermark.apply(&reply(7, 6_000, 1_000), 7, 10_000).watermark;
    assert_eq!(updated, Watermark { document_ms: 8_000, servers_ms: 9_000 });
}

#[test]
fn a_newer_document_is_read_well_before_it_has_to_be_in_force() {
    for configuration_ms in [2_000, 3_000, 4_000] {
        let configuration = Duration::from_millis(configuration_ms);
        let limits = Limits::new(Duration::from_secs(3), configuration);
        assert!(limits.document_delay() <= configuration / 4, "{configuration_ms} ms");
    }
}

#[test]
fn a_single_digest_mismatch_does_not_cause_a_read() {
    let mut counter = MismatchCounter::default();
    let results = [true, false, true, false, false, false].map(|same| counter.record(same));
    assert_eq!(results, [false, false, false, false, true, false]);
}

/// The views of `count` hosts that are all live; the port of each is its index.
fn views(count: usize) -> Vec<View> {
    let host = |index: usize| name::Host::new(format!("h-{index:03}")).expect("a valid name");
    let mut roster = Roster::new();
    for index in 0..count {
        let port = u16::try_from(index).expect("a port");
        roster.put(host(index), ([127, 0, 0, 1], port).into());
    }
    (0..count).map(|index| roster.view(&host(index), |_| true)).collect()
}

/// Simulates ten seconds of `count` hosts. Readers poll the store, and one of them loses it after 4 s; the others query
/// them, and every third datagram is lost. Returns the number of reads and the highest ages of the document and the server entries.
fn simulate(count: usize) -> (u64, u64, u64) {
    let limits = Limits::new(Duration::from_secs(3), Duration::from_secs(3));
    let mut watermarks = vec![Watermark::default(); count];
    let views = views(count);
    let (mut reads, mut document_age, mut servers_age) = (0, 0, 0);
    for now_ms in 1..10_000 {
        for before in 0..count {
            let view = &views[before];
            let is_cut_off = before == 0 && now_ms > 4_000;
            if view.turn().is_some() && !is_cut_off && (now_ms + before as u64 * 130) % 1_200 == 0 {
                watermarks[before] = Watermark { document_ms: now_ms, servers_ms: now_ms };
                reads += 1;
            }
            let queries =
                (now_ms + before as u64 * 7) % 400 == 0 && watermarks[before].needs_query(now_ms);
            if queries && (now_ms + before as u64) % 3 != 0 {
                let reader = view.pick_reader(now_ms * 31 + before as u64).expect("a reader");
                let other = watermarks[usize::from(reader.address.port())];
                let age = |confirmed_ms: u64| now_ms.saturating_sub(confirmed_ms);
                let reply = reply(1, age(other.document_ms), age(other.servers_ms));
                watermarks[before] = watermarks[before].apply(&reply, 1, now_ms).watermark;
            }
            let own = &mut watermarks[before];
            if limits.document_due_ms(own.document_ms) <= now_ms && !is_cut_off {
                own.document_ms = now_ms;
                reads += 1;
            }
            if limits.servers_due_ms(own.servers_ms) <= now_ms && !is_cut_off {
                own.servers_ms = now_ms;
                reads += 1;
            }
            if now_ms > 3_000 {
                document_age = document_age.max(now_ms - own.document_ms);
                servers_age = servers_age.max(now_ms - own.servers_ms);
            }
        }
    }
    (reads, document_age, servers_age)
}

#[test]
fn many_hosts_read_the_store_little_more_often_than_a_few() {
    for count in [9, 76, 360] {
        let (reads, document_age_ms, servers_age_ms) = simulate(count);
        let hosts = count as u64;
        assert!(reads <= 9 * 10 + 4 * hosts, "{count} hosts: {reads} reads in 10 s");
        // This includes the host that lost the store.
        assert!(document_age_ms <= 3_300, "{count} hosts: {document_age_ms} ms");
        assert!(servers_age_ms <= 3_000, "{count} hosts: {servers_age_ms} ms");
    }
}
