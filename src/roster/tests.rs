//! Tests of the groups of hosts and of the selection of their readers.

use std::collections::HashMap;
use std::net::SocketAddr;

use super::{MAX_GROUPS, Roster, View};
use crate::name;

fn host(index: usize) -> name::Host {
    name::Host::new(format!("h-{index:03}")).unwrap()
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7_200))
}

fn roster(count: usize) -> Roster {
    let mut roster = Roster::new();
    for index in 0..count {
        roster.put(host(index), address(index));
    }
    roster
}

/// The views of all hosts if each considers the hosts live for which `is_live(viewer, other)` holds.
fn views(count: usize, is_live: impl Fn(usize, usize) -> bool) -> Vec<View> {
    let roster = roster(count);
    let index: HashMap<_, _> = (0..count).map(|index| (host(index), index)).collect();
    (0..count)
        .map(|viewer| roster.view(&host(viewer), |other| is_live(viewer, index[other])))
        .collect()
}

/// Whether `viewer` has missed the reports of `other`: about three in a hundred, different ones for each viewer.
fn misses(viewer: usize, other: usize) -> bool {
    (viewer * 7_919 + other * 104_729 + viewer * other * 31) % 100 < 3
}

#[test]
fn readers_are_spread_over_all_hosts() {
    for (count, readers) in [(1, 1), (9, 9), (10, 5), (76, 9), (80, 9), (360, 9)] {
        let views = views(count, |_, _| true);
        let turns: Vec<_> = views.iter().filter_map(View::turn).collect();
        assert_eq!(turns, (0..readers).collect::<Vec<_>>(), "{count} hosts");
        for (index, view) in views.iter().enumerate() {
            let picked = (0..20).filter_map(|sample| view.pick_reader(sample));
            assert!(
                picked.clone().all(|member| member.host != host(index)
                    && views
                        .iter()
                        .enumerate()
                        .any(|(i, v)| host(i) == member.host && v.turn().is_some())),
                "{count} hosts, host {index}"
            );
            assert_eq!(picked.count(), if count == 1 { 0 } else { 20 });
        }
    }
}

#[test]
fn hosts_that_disagree_on_who_is_live_have_few_additional_readers() {
    // 295 hosts send their full reports every 1.5 s, and each host misses a few of them. While each host numbered the
    // live hosts to find out whether it is a reader, 110 of 295 hosts polled the store and sent what they found to all
    // others.
    let views = views(295, |viewer, other| !misses(viewer, other));

    let readers = views.iter().filter(|view| view.turn().is_some()).count();

    assert!((MAX_GROUPS..=2 * MAX_GROUPS).contains(&readers), "{readers} readers");
}

#[test]
fn a_change_reaches_every_host_with_a_bounded_number_of_messages_from_each() {
    for count in [1, 9, 76, 295, 360] {
        let views = views(count, |_, _| true);
        let by_address: HashMap<_, _> = (0..count).map(|index| (address(index), index)).collect();
        for (finder, view) in views.iter().enumerate().filter(|(_, v)| v.turn().is_some()) {
            let mut received = vec![0; count];
            received[finder] += 1;
            for receiver in view.receivers() {
                let index = by_address[&receiver];
                received[index] += 1;
                for receiver in views[index].forward_receivers() {
                    received[by_address[&receiver]] += 1;
                }
            }
            assert!(received.iter().all(|n| *n == 1), "{count} hosts: {received:?}");
            assert!(view.receivers().len() <= MAX_GROUPS + count.div_ceil(MAX_GROUPS));
        }
    }
}

#[test]
fn the_next_host_of_a_group_becomes_its_reader_when_the_first_fails() {
    let views = views(295, |_, other| other != 0);
    assert_eq!(views[1].turn(), Some(0));
    assert_eq!(views[2].turn(), None);
    assert!(views[33].pick_reader(0).is_some_and(|reader| reader.host == host(1)));
}

#[test]
fn hosts_that_have_heard_of_no_other_do_not_poll_in_every_turn() {
    // All hosts of a large deployment start at once: each reads the list of hosts before it receives any report.
    let alone = views(295, |_, _| false);
    assert!(alone.iter().all(|view| view.turns() == MAX_GROUPS));

    // The last of nine hosts polls as often as all nine did, since it alone detects that a server leaves.
    let last = views(9, |_, _| false);
    assert_eq!(last[4].turns(), 1);
}

#[test]
fn a_host_that_is_not_listed_reads_and_forwards_nothing() {
    let view = roster(9).view(&host(40), |_| true);
    assert_eq!((view.turn(), view.receivers().len()), (None, 0));
    assert!(view.pick_reader(3).is_some());
}

#[test]
fn a_host_at_a_new_address_replaces_its_old_one() {
    let mut roster = roster(3);
    assert!(!roster.put(host(1), address(1)));
    assert!(roster.put(host(1), address(200)));
    assert_eq!(roster.members().len(), 3);
    assert_eq!(roster.members()[1].address, address(200));
}

#[test]
fn a_change_that_any_host_learns_from_a_server_reaches_all_hosts_in_few_messages() {
    for count in [1, 9, 80, 295] {
        let views = views(count, |_, _| true);
        for witness in 0..count {
            let first: Vec<_> = views[witness].witness_receivers();
            assert!(first.len() <= MAX_GROUPS + count.div_ceil(MAX_GROUPS), "{count} {witness}");
            let index = |at: &SocketAddr| (0..count).find(|i| address(*i) == *at).unwrap();
            let mut reached: std::collections::HashSet<_> = first.iter().map(&index).collect();
            for reader in &first {
                let forwarded = views[index(reader)].forward_receivers();
                reached.extend(forwarded.iter().map(&index));
            }
            reached.insert(witness);
            assert_eq!(reached.len(), count, "{count} {witness}");
        }
    }
}

#[test]
fn hosts_that_agree_on_live_hosts_derive_the_same_keepers() {
    let roster = roster(30);
    let mut load = HashMap::new();
    for key in 0..3_000 {
        let key = format!("r-{key}");
        let keepers = roster.keepers(&host(0), |_| true, &key, 5);
        for viewer in 1..30 {
            let seen = roster.keepers(&host(viewer), |_| true, &key, 6);
            let others = keepers.iter().filter(|keeper| **keeper != address(viewer));
            assert!(others.clone().all(|keeper| seen.contains(keeper)), "{key} {viewer}");
        }
        for keeper in keepers {
            *load.entry(keeper).or_insert(0) += 1;
        }
    }
    // 3,000 keys at five of 29 hosts each: 517 on average.
    assert!(load.values().all(|count| (400..650).contains(count)), "{load:?}");
    let only = |live: &name::Host| *live == host(7);
    assert_eq!(roster.keepers(&host(0), only, "r", 1), [address(7)], "live hosts come first");
}
