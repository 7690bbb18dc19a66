//! Tests of what hosts conclude from each other's statements.

use std::time::Duration;

use super::{Comparison, Known, Limits, RECENT_MS, Rank, Statement};

fn statement(version: u64, document_age_ms: u64, servers_age_ms: u64) -> Statement {
    Statement { version, document_age_ms, servers_age_ms, left: Vec::new(), digest: 0 }
}

#[test]
fn a_slow_or_repeated_answer_proves_nothing_younger() {
    let known = Known { document_ms: 5_000, servers_ms: 5_000 };

    // The question was asked at 4,900 and its answer, made at any time later, arrives after a second one was asked.
    let concluded = known.conclude(&statement(7, 100, 100), 7, 4_900).known;

    assert_eq!(concluded, known);
}

#[test]
fn only_the_same_document_is_proven() {
    let known = Known { document_ms: 1_000, servers_ms: 1_000 };
    for (version, newer) in [(6, false), (8, true)] {
        let concluded = known.conclude(&statement(version, 0, 0), 7, 3_000);
        assert_eq!(concluded.known.document_ms, 1_000, "{version}");
        assert_eq!(concluded.newer_document, newer, "{version}");
    }
}

#[test]
fn a_host_that_slept_for_long_reads_the_entries_itself() {
    // Servers that left while it slept are no longer named.
    let known = Known { document_ms: 1_000, servers_ms: 1_000 };

    let concluded = known.conclude(&statement(7, 0, 0), 7, 1_000 + RECENT_MS).known;

    assert_eq!(concluded, Known { document_ms: 1_000 + RECENT_MS, servers_ms: 1_000 });
}

#[test]
fn an_answer_of_a_host_that_lost_the_store_proves_only_its_old_belief() {
    let known = Known { document_ms: 8_000, servers_ms: 8_000 };
    let concluded = known.conclude(&statement(7, 6_000, 1_000), 7, 10_000).known;
    assert_eq!(concluded, Known { document_ms: 8_000, servers_ms: 9_000 });
}

#[test]
fn readers_are_spread_over_all_hosts() {
    for (count, readers) in [(1, 1), (9, 9), (10, 5), (76, 9), (80, 9), (360, 9)] {
        let reads = |before: usize| Rank { before, count }.reader();
        let reading: Vec<_> = (0..count).filter_map(reads).collect();
        assert_eq!(reading.len(), readers, "{count} hosts");
        assert!(reading.iter().enumerate().all(|(i, place)| *place == (i, readers)), "{count}");
        for sample in 0..20 {
            assert!(reads(Rank { before: 0, count }.pick(sample)).is_some(), "{count} {sample}");
        }
    }
}

#[test]
fn one_different_answer_may_be_a_change_on_its_way() {
    let mut comparison = Comparison::default();
    let noted = [true, false, true, false, false, false].map(|same| comparison.note(same));
    assert_eq!(noted, [false, false, false, false, true, false]);
}

/// Plays ten seconds of `count` hosts. Readers follow the store and one of them is cut off from it after 4 s; the others
/// ask, and every third datagram is lost. Returns the reads and the oldest beliefs.
fn play(count: usize) -> (u64, u64, u64) {
    let limits = Limits::new(Duration::from_secs(3), Duration::from_secs(3));
    let mut known = vec![Known::default(); count];
    let (mut reads, mut document_age, mut servers_age) = (0, 0, 0);
    for now_ms in 1..10_000 {
        for before in 0..count {
            let rank = Rank { before, count };
            let cut = before == 0 && now_ms > 4_000;
            if rank.reader().is_some() && !cut && (now_ms + before as u64 * 130) % 1_200 == 0 {
                known[before] = Known { document_ms: now_ms, servers_ms: now_ms };
                reads += 1;
            }
            let asks = (now_ms + before as u64 * 7) % 400 == 0 && known[before].is_old(now_ms);
            if asks && (now_ms + before as u64) % 3 != 0 {
                let other = known[rank.pick(now_ms * 31 + before as u64)];
                let age = |proven_ms: u64| now_ms.saturating_sub(proven_ms);
                let heard = statement(1, age(other.document_ms), age(other.servers_ms));
                known[before] = known[before].conclude(&heard, 1, now_ms).known;
            }
            let own = &mut known[before];
            if limits.document_due_ms(own.document_ms) <= now_ms && !cut {
                own.document_ms = now_ms;
                reads += 1;
            }
            if limits.servers_due_ms(own.servers_ms) <= now_ms && !cut {
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
fn many_hosts_cost_the_store_little_more_than_a_few() {
    for count in [9, 76, 360] {
        let (reads, document_age_ms, servers_age_ms) = play(count);
        let hosts = count as u64;
        assert!(reads <= 9 * 10 + 4 * hosts, "{count} hosts: {reads} reads in 10 s");
        // Also at the host that is cut off.
        assert!(document_age_ms <= 3_300, "{count} hosts: {document_age_ms} ms");
        assert!(servers_age_ms <= 3_000, "{count} hosts: {servers_age_ms} ms");
    }
}
