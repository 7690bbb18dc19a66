//! Tests of membership in virtual time.

use std::collections::BTreeSet;

use rand::rngs::StdRng;
use rand::{Rng, RngExt, SeedableRng};

use super::state::Event;
use super::*;
use crate::wire;

mod loopback;
mod network;

use network::{Network, address, host};

/// Time in which a dead or leaving host gets no new work any more, in milliseconds.
const NOTICE_MS: u64 = 3_000;

fn all_but(count: usize, gone: &[usize]) -> BTreeSet<usize> {
    (0..count).filter(|index| !gone.contains(index)).collect()
}

/// Whether any host of `group` would give new work to `index`.
fn is_owner(network: &Network, group: &BTreeSet<usize>, index: usize) -> bool {
    group.iter().any(|other| {
        let view = network.nodes[*other].as_ref().unwrap().view();
        view.get(&host(index)).is_some_and(|member| member.condition == Condition::Alive)
    })
}

#[test]
fn killed_host_owns_nothing_within_the_limit() {
    for (count, seeds) in [(2, 20), (3, 20), (9, 100), (36, 20)] {
        for seed in 0..seeds {
            let mut network = Network::settled(count, seed);
            let others = all_but(count, &[1]);

            network.nodes[1] = None;
            network.run(NOTICE_MS);

            assert!(!is_owner(&network, &others, 1), "{count} hosts, seed {seed}");
            let gone = network.wait(3_000, |network| network.agree(&others));
            assert!(gone.is_some(), "{count} hosts, seed {seed}");
        }
    }
}

#[test]
fn leaving_host_owns_nothing_at_once() {
    for seed in 0..50 {
        let mut network = Network::settled(9, seed);

        network.handle(1, Event::Leave);
        network.run(500);

        assert!(!is_owner(&network, &all_but(9, &[1]), 1), "seed {seed}");
        assert_eq!(network.seen(0).len(), 9);
        network.handle(1, Event::Depart);
        network.nodes[1] = None;
        network.run(500);
        assert!(network.agree(&all_but(9, &[1])), "seed {seed}");
    }
}

#[test]
fn frozen_host_comes_back() {
    for seed in 0..100 {
        let mut network = Network::settled(9, seed);
        let others = all_but(9, &[4]);
        let before = network.suspicions(4);

        network.freeze(4, 30_000);
        network.run(NOTICE_MS);
        assert!(!is_owner(&network, &others, 4), "seed {seed}");
        network.run(27_000);

        assert!(
            network.agree(&others),
            "seed {seed}: a frozen host must not cost others their place"
        );
        let back = network.wait(10_000, |network| network.agree(&all_but(9, &[])));
        assert!(back.is_some(), "seed {seed}");
        assert_eq!(network.suspicions(4), before, "seed {seed}: it blames others for its pause");
    }
}

#[test]
fn pause_does_not_use_up_the_time_of_a_suspect() {
    for seed in 0..50 {
        let mut network = Network::settled(9, seed);
        let mut suspect = network.nodes[4].as_ref().unwrap().table();
        suspect.entries.retain(|entry| entry.host == host(5));
        suspect.entries[0].health = message::Judgement::Suspect;

        // The host hears of a suspicion, then does not run while the suspect speaks up.
        network.handle(4, Event::Exchanged(host(3), suspect));
        network.freeze(4, 5_000);
        network.run(4_999);

        for _ in 0..3_000 {
            network.run(1);
            assert!(network.seen(4).contains(&host(5)), "seed {seed}");
        }
    }
}

#[test]
fn restarted_host_is_a_new_member() {
    // The second restart finds a host whose clock went back, so that it begins with a lower number.
    for (seed, incarnation) in (0..50).flat_map(|seed| [(seed, 7), (seed, 0)]) {
        let mut network = Network::settled(9, seed);

        network.restart(5, incarnation);

        let back = network.wait(20_000, |network| {
            let view = network.nodes[0].as_ref().unwrap().view();
            let renewed = view.get(&host(5)).is_some_and(|member| member.incarnation > 1);
            renewed && network.agree(&all_but(9, &[]))
        });
        assert!(back.is_some(), "seed {seed}, incarnation {incarnation}");
    }
}

#[test]
fn parted_regions_meet_again() {
    for (count, seeds) in [(9, 30), (36, 4)] {
        for seed in 0..seeds {
            let mut network = Network::settled(count, seed);
            let (left, right): (BTreeSet<_>, BTreeSet<_>) =
                (0..count).partition(|index| *index < count / 2);

            network.part(|a, b| (a < count / 2) != (b < count / 2));
            network.run(10_000);
            assert!(network.agree(&left) && network.agree(&right), "seed {seed}");
            network.run(if (count, seed) == (9, 0) { 3_600_000 } else { 120_000 });
            network.part(|_, _| false);

            let side = |index| if index < count / 2 { &left } else { &right };
            let known = |network: &Network, index: usize| {
                side(index).iter().all(|other| network.seen(index).contains(&host(*other)))
            };
            let met = network.wait(30_000, |network| {
                let kept = (0..count).all(|index| known(network, index));
                assert!(kept, "{count} hosts, seed {seed}: meeting cost a host its place");
                network.agree(&all_but(count, &[]))
            });
            assert!(met.is_some(), "{count} hosts, seed {seed}");
        }
    }
}

#[test]
fn live_hosts_are_kept_under_loss_and_delay() {
    for seed in 0..100 {
        let mut network = Network::settled(9, seed);
        (network.loss, network.pause_ms) = (0.05, 400);

        let lost =
            network.wait(60_000, |network| (0..9).any(|index| network.seen(index).len() < 9));

        assert_eq!(lost, None, "seed {seed}");
    }
}

#[test]
fn cut_links_make_no_suspects() {
    // Links from, and to, one host, and single links in one direction.
    let cuts: [&[(usize, usize)]; 3] = [&[(1, 2)], &[(1, 2), (2, 3), (3, 1)], &[(1, 2), (2, 1)]];
    for (seed, cut) in (0..60).flat_map(|seed| cuts.map(|cut| (seed, cut))) {
        let mut network = Network::settled(9, seed);
        network.loss = 0.0;
        let suspicions = |network: &Network| (0..9).map(|index| network.suspicions(index)).sum();
        let before: u64 = suspicions(&network);
        network.cuts = cut.iter().copied().collect();

        network.run(30_000);

        assert_eq!(suspicions(&network), before, "seed {seed}, cut {cut:?}");
    }
}

#[test]
fn deaf_host_evicts_nobody_else() {
    for seed in 0..60 {
        let mut network = Network::settled(9, seed);
        network.part(|_, to| to == 3);

        network.run(10_000);

        assert!(network.agree(&all_but(9, &[3])), "seed {seed}");
        network.part(|_, _| false);
        let back = network.wait(30_000, |network| network.agree(&all_but(9, &[])));
        assert!(back.is_some(), "seed {seed}");
    }
}

#[test]
fn host_list_neither_revives_nor_evicts() {
    for seed in 0..50 {
        let mut network = Network::settled(9, seed);
        network.nodes[8] = None;
        network.run(6_000);

        // The list is late: it names the dead host and lacks most of the live ones.
        (0..8).for_each(|index| network.handle(index, Event::Listed(vec![address(8), address(0)])));
        let changed = network.wait(60_000, |network| !network.agree(&all_but(9, &[8])));

        assert_eq!(changed, None, "seed {seed}");
    }
}

#[test]
fn host_list_alone_brings_hosts_together() {
    for seed in 0..50 {
        let mut network = Network::new(9, seed);
        network.part(|a, b| a / 3 != b / 3);
        network.run(10_000);
        network.part(|_, _| false);
        let wrong = vec![address(200), address(4), address(8), address(0)];

        (0..9).for_each(|index| network.handle(index, Event::Listed(wrong.clone())));

        let met = network.wait(30_000, |network| network.agree(&all_but(9, &[])));
        assert!(met.is_some(), "seed {seed}");
    }
}

#[test]
fn versions_reach_all_hosts() {
    for (count, seeds) in [(9, 50), (36, 10)] {
        for seed in 0..seeds {
            let mut network = Network::settled(count, seed);
            network.loss = 0.05;

            network.handle(2, Event::Version(5));
            let reached = network.wait(4_000, |network| network.versions.len() == count - 1);

            assert!(reached.is_some(), "{count} hosts, seed {seed}");
            assert!(network.versions.values().all(|version| *version == 5));
        }
    }
}

#[test]
fn cost_is_flat_in_the_number_of_hosts() {
    let rate = |count: usize| {
        let mut network = Network::settled(count, 1);
        network.bytes = 0;
        network.run(20_000);
        network.bytes / 20 / count
    };

    // Fewer hosts have fewer different neighbours, as rings overlap.
    let (small, large) = (rate(36), rate(144));

    println!("bytes sent a second and host, without QUIC's own packets: 36: {small}, 144: {large}");
    assert!(large <= small * 11 / 10);
}

#[test]
fn ownership_is_even_and_moves_only_with_its_owner() {
    let member = |index: usize| Member {
        host: host(index),
        incarnation: 1,
        domain: name::Domain::new("a").unwrap(),
        region: name::Region::new("r").unwrap(),
        address: address(index),
        condition: Condition::Alive,
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
fn host_list_gives_live_entry_hosts() {
    let list = br#"{"hosts":[
        {"name":"a","kind":"entry","address":"127.0.0.1:1","domain":"a","state":"live"},
        {"name":"b","kind":"entry","address":"127.0.0.1:2","domain":"a","state":"leaving"},
        {"name":"c","kind":"engine","address":"127.0.0.1:3","domain":"a","state":"live"}]}"#;

    assert_eq!(host_list::parse(list).unwrap(), [([127, 0, 0, 1], 1).into()]);
    let address = SocketAddr::from(([127, 0, 0, 1], 7_000));
    assert_eq!(Address::from(address), "http://127.0.0.1:7000/".parse().unwrap());
}

#[test]
fn generated_bytes_are_refused_or_harmless() {
    let mut rng = StdRng::seed_from_u64(3);
    let mut network = Network::settled(3, 3);
    let table = wire::encode(&network.nodes[0].as_ref().unwrap().table()).unwrap();
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
            network.handle(0, Event::Received(host(1), message));
        }
        if let Ok(table) = wire::decode::<Table>(&bytes) {
            network.handle(0, Event::Exchanged(host(2), table));
        }
        let _ = host_list::parse(&bytes);
    }

    assert!(network.seen(0).contains(&host(0)));
}
