//! Tests of the membership state machine in virtual time.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use super::state::Event;
use super::*;
use crate::wire;

mod loopback;
mod network;

use network::{Network, address, host};

/// Time after which a failed host must no longer get new work, in milliseconds.
const FAILOVER_LIMIT_MS: u64 = 3_000;

fn all_except(count: usize, excluded: &[usize]) -> BTreeSet<usize> {
    (0..count).filter(|index| !excluded.contains(index)).collect()
}

/// Whether any host of `group` would assign new work to host `index`.
fn gets_new_work(network: &Network, group: &BTreeSet<usize>, index: usize) -> bool {
    group.iter().any(|other| {
        let view = network.hosts[*other].as_ref().unwrap().view();
        view.get(&host(index)).is_some_and(|member| member.status == Status::Alive)
    })
}

#[test]
fn killed_host_gets_no_new_work_after_the_limit() {
    for (count, seeds) in [(2, 20), (3, 20), (9, 100), (36, 20)] {
        for seed in 0..seeds {
            let mut network = Network::settled(count, seed);
            let others = all_except(count, &[1]);

            network.hosts[1] = None;
            network.run(FAILOVER_LIMIT_MS);

            assert!(!gets_new_work(&network, &others, 1), "{count} hosts, seed {seed}");
            let evicted = network.run_until(3_000, |network| network.views_match(&others));
            assert!(evicted.is_some(), "{count} hosts, seed {seed}");
        }
    }
}

#[test]
fn leaving_host_gets_no_new_work_after_half_a_second() {
    for seed in 0..50 {
        let mut network = Network::settled(9, seed);

        network.handle(1, Event::Leaving);
        network.run(500);

        assert!(!gets_new_work(&network, &all_except(9, &[1]), 1), "seed {seed}");
        assert_eq!(network.present(0).len(), 9);
        network.handle(1, Event::Exit);
        network.hosts[1] = None;
        network.run(500);
        assert!(network.views_match(&all_except(9, &[1])), "seed {seed}");
    }
}

#[test]
fn paused_host_rejoins() {
    for seed in 0..100 {
        let mut network = Network::settled(9, seed);
        let others = all_except(9, &[4]);
        let before = network.suspicions(4);

        network.pause(4, 30_000);
        network.run(FAILOVER_LIMIT_MS);
        assert!(!gets_new_work(&network, &others, 4), "seed {seed}");
        network.run(27_000);

        assert!(
            network.views_match(&others),
            "seed {seed}: a paused host caused the eviction of others"
        );
        let rejoined =
            network.run_until(10_000, |network| network.views_match(&all_except(9, &[])));
        assert!(rejoined.is_some(), "seed {seed}");
        assert_eq!(network.suspicions(4), before, "seed {seed}: the paused host suspects others");
    }
}

#[test]
fn pause_extends_the_suspicion_timeout() {
    for seed in 0..50 {
        let mut network = Network::settled(9, seed);
        let mut suspect = network.hosts[4].as_ref().unwrap().table();
        suspect.entries.retain(|entry| entry.host == host(5));
        suspect.entries[0].health = message::Health::Suspect;

        // The host learns of a suspicion, then does not run while the suspect refutes it.
        network.handle(4, Event::Table(host(3), suspect));
        network.pause(4, 5_000);
        network.run(4_999);

        for _ in 0..3_000 {
            network.run(1);
            assert!(network.present(4).contains(&host(5)), "seed {seed}");
        }
    }
}

#[test]
fn restarted_host_is_a_new_member() {
    // Incarnation 0 stands for a host whose clock was set back before the restart, so that its number is lower.
    for (seed, incarnation) in (0..50).flat_map(|seed| [(seed, 7), (seed, 0)]) {
        let mut network = Network::settled(9, seed);

        network.restart(5, incarnation);

        let rejoined = network.run_until(20_000, |network| {
            let view = network.hosts[0].as_ref().unwrap().view();
            let renewed = view.get(&host(5)).is_some_and(|member| member.incarnation > 1);
            renewed && network.views_match(&all_except(9, &[]))
        });
        assert!(rejoined.is_some(), "seed {seed}, incarnation {incarnation}");
    }
}

#[test]
fn healed_partition_merges_without_evictions() {
    for (count, seeds) in [(9, 30), (36, 4)] {
        for seed in 0..seeds {
            let mut network = Network::settled(count, seed);
            let (left, right): (BTreeSet<_>, BTreeSet<_>) =
                (0..count).partition(|index| *index < count / 2);

            network.block(|a, b| (a < count / 2) != (b < count / 2));
            network.run(10_000);
            assert!(network.views_match(&left) && network.views_match(&right), "seed {seed}");
            network.run(if (count, seed) == (9, 0) { 3_600_000 } else { 120_000 });
            network.block(|_, _| false);

            let side = |index| if index < count / 2 { &left } else { &right };
            let own_side_present = |network: &Network, index: usize| {
                side(index).iter().all(|other| network.present(index).contains(&host(*other)))
            };
            let merged = network.run_until(30_000, |network| {
                let complete = (0..count).all(|index| own_side_present(network, index));
                assert!(complete, "{count} hosts, seed {seed}: the merge evicted a host");
                network.views_match(&all_except(count, &[]))
            });
            assert!(merged.is_some(), "{count} hosts, seed {seed}");
        }
    }
}

#[test]
fn loss_and_delay_evict_no_live_host() {
    for seed in 0..100 {
        let mut network = Network::settled(9, seed);
        (network.loss, network.max_pause_ms) = (0.05, 400);

        let lost = network
            .run_until(60_000, |network| (0..9).any(|index| network.present(index).len() < 9));

        assert_eq!(lost, None, "seed {seed}");
    }
}

#[test]
fn blocked_links_raise_no_suspicion() {
    // One link in one direction, three links that form a one-way cycle, and one link in both directions.
    let cuts: [&[(usize, usize)]; 3] = [&[(1, 2)], &[(1, 2), (2, 3), (3, 1)], &[(1, 2), (2, 1)]];
    for (seed, cut) in (0..60).flat_map(|seed| cuts.map(|cut| (seed, cut))) {
        let mut network = Network::settled(9, seed);
        network.loss = 0.0;
        let suspicions = |network: &Network| (0..9).map(|index| network.suspicions(index)).sum();
        let before: u64 = suspicions(&network);
        network.blocked = cut.iter().copied().collect();

        network.run(30_000);

        assert_eq!(suspicions(&network), before, "seed {seed}, cut {cut:?}");
    }
}

#[test]
fn host_that_receives_nothing_evicts_no_other() {
    for seed in 0..60 {
        let mut network = Network::settled(9, seed);
        network.block(|_, to| to == 3);

        network.run(10_000);

        assert!(network.views_match(&all_except(9, &[3])), "seed {seed}");
        network.block(|_, _| false);
        let rejoined =
            network.run_until(30_000, |network| network.views_match(&all_except(9, &[])));
        assert!(rejoined.is_some(), "seed {seed}");
    }
}

#[test]
fn stale_host_list_neither_adds_nor_evicts_members() {
    for seed in 0..50 {
        let mut network = Network::settled(9, seed);
        network.hosts[8] = None;
        network.run(6_000);

        // The list is stale: it names the dead host and lacks most of the live ones.
        (0..8)
            .for_each(|index| network.handle(index, Event::HostList(vec![address(8), address(0)])));
        let changed =
            network.run_until(60_000, |network| !network.views_match(&all_except(9, &[8])));

        assert_eq!(changed, None, "seed {seed}");
    }
}

#[test]
fn host_list_suffices_to_join_hosts() {
    for seed in 0..50 {
        let mut network = Network::new(9, seed);
        network.block(|a, b| a / 3 != b / 3);
        network.run(10_000);
        network.block(|_, _| false);
        let listed = vec![address(200), address(4), address(8), address(0)];

        (0..9).for_each(|index| network.handle(index, Event::HostList(listed.clone())));

        let merged = network.run_until(30_000, |network| network.views_match(&all_except(9, &[])));
        assert!(merged.is_some(), "seed {seed}");
    }
}

#[test]
fn document_versions_reach_all_hosts() {
    for (count, seeds) in [(9, 50), (36, 10)] {
        for seed in 0..seeds {
            let mut network = Network::settled(count, seed);
            network.loss = 0.05;

            network.handle(2, Event::DocumentVersion(5));
            let reached =
                network.run_until(4_000, |network| network.document_versions.len() == count - 1);

            assert!(reached.is_some(), "{count} hosts, seed {seed}");
            assert!(network.document_versions.values().all(|version| *version == 5));
        }
    }
}

#[test]
fn traffic_per_host_does_not_grow_with_the_fleet() {
    let rate = |count: usize| {
        let mut network = Network::settled(count, 1);
        network.bytes = 0;
        network.run(20_000);
        network.bytes / 20 / count
    };

    // Smaller fleets have fewer distinct neighbours per host, as the rings overlap.
    let (small, large) = (rate(36), rate(144));

    println!(
        "bytes sent per second and host, without QUIC control packets: 36: {small}, 144: {large}"
    );
    assert!(large <= small * 11 / 10);
}

#[test]
fn ownership_is_even_and_changes_only_for_keys_of_a_removed_owner() {
    let member = |index: usize| Member {
        host: host(index),
        incarnation: 1,
        domain: name::Domain::new("a").unwrap(),
        region: name::Region::new("r").unwrap(),
        address: address(index),
        status: Status::Alive,
    };
    let before = View::new((0..36).map(member).collect());
    let after = View::new((0..35).map(member).collect());
    let keys: Vec<String> = (0..3_600).map(|key| format!("engine.{key}")).collect();

    for key in &keys {
        let owner = before.owner(key).unwrap();
        let owners = before.owners(key, 3);
        assert_eq!(owner, owners[0]);
        let next = if owner.host == host(35) { owners[1] } else { owner };
        assert_eq!(after.owner(key).unwrap(), next);
    }
    let counts = (0..36).map(|index| {
        keys.iter().filter(|key| before.owner(key).unwrap().host == host(index)).count()
    });
    assert!(counts.clone().min() >= Some(60) && counts.max() <= Some(150));
}

#[test]
fn host_list_is_filtered_to_live_entry_hosts() {
    let list = br#"{"hosts":[
        {"name":"a","kind":"entry","address":"127.0.0.1:1","domain":"a","state":"live"},
        {"name":"b","kind":"entry","address":"127.0.0.1:2","domain":"a","state":"leaving"},
        {"name":"c","kind":"engine","address":"127.0.0.1:3","domain":"a","state":"live"}]}"#;

    assert_eq!(host_list::parse(list).unwrap(), [([127, 0, 0, 1], 1).into()]);
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    assert_eq!(Address::from(address), "http://127.0.0.1:7000/".parse().unwrap());
}

#[test]
fn a_malformed_host_of_the_list_does_not_affect_the_others() {
    let odd: [&[u8]; 6] = [
        b"null",
        b"{}",
        br#"{"kind":"entry","address":"n-2:1","state":"live"}"#,
        br#"{"kind":"entry","address":7,"state":"live"}"#,
        br#"{"kind":"entry","address":"127.0.0.1:2"}"#,
        b"{\"kind\":\"\xff\"}",
    ];
    for host in odd {
        let live = br#"{"kind":"entry","address":"127.0.0.1:1","state":"live"}"#;
        let list = [&br#"{"hosts":["#[..], host, b",", live, b",", host, b"]}"].concat();

        let addresses = host_list::parse(&list);

        assert_eq!(addresses.unwrap(), [([127, 0, 0, 1], 1).into()], "{host:?}");
    }
}

#[test]
fn random_bytes_are_rejected_or_harmless() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut network = Network::settled(3, 3);
    let table = wire::encode(&network.hosts[0].as_ref().unwrap().table()).unwrap();
    for _ in 0..20_000 {
        let mut bytes = table.to_vec();
        bytes.truncate(rng.random_range(0..=table.len()));
        for _ in 0..rng.random_range(0..4) {
            let index = rng.random_range(0..table.len());
            if let Some(byte) = bytes.get_mut(index) {
                *byte = rng.random();
            }
        }
        if rng.random() {
            rng.fill_bytes(&mut bytes);
        }

        if let Ok(message) = wire::decode::<Message>(&bytes) {
            network.handle(0, Event::Datagram(host(1), message));
        }
        if let Ok(table) = wire::decode::<Table>(&bytes) {
            network.handle(0, Event::Table(host(2), table));
        }
        let _ = host_list::parse(&bytes);
    }

    assert!(network.present(0).contains(&host(0)));
}
