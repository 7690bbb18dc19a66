//! Tests of the directory of servers.

use super::{Change, Directory, Entry, Life, Phase};
use crate::name;

fn entry(id: &str, phase: Phase) -> Entry {
    Entry {
        id: name::Server::new(id).unwrap(),
        service: name::Service::new("s").unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new("d").unwrap(),
        slots: 4,
        cold_ms: 0,
        started_ms: 1,
        phase,
    }
}

fn life(id: &str) -> Life {
    entry(id, Phase::Ready).life()
}

fn directory(ids: &[&str]) -> Directory {
    let mut directory = Directory::new();
    for id in ids {
        directory.put(entry(id, Phase::Ready), 0);
    }
    directory
}

fn ids(directory: &Directory) -> Vec<String> {
    let service = name::Service::new("s").unwrap();
    let servers = directory.servers(&service).iter();
    let mut ids: Vec<_> = servers.map(|server| server.entry.id.to_string()).collect();
    ids.sort();
    ids
}

fn server(directory: &Directory, id: &str) -> std::sync::Arc<super::Server> {
    let service = name::Service::new("s").unwrap();
    let found = directory.servers(&service).iter().find(|server| server.entry.id.as_str() == id);
    std::sync::Arc::clone(found.expect("the server is known"))
}

#[test]
fn whoever_holds_a_server_sees_that_it_leaves() {
    let leave: [fn(&mut Directory); 4] = [
        |directory| drop(directory.put(entry("a", Phase::Leaving), 0)),
        |directory| drop(directory.drop_entry("a", 10)),
        |directory| drop(directory.replace(vec![entry("b", Phase::Ready)], 10)),
        |directory| assert!(directory.leave(&life("a"))),
    ];
    for (index, leave) in leave.iter().enumerate() {
        let mut directory = directory(&["a", "b"]);
        let held = server(&directory, "a");
        leave(&mut directory);
        assert_eq!(held.phase(), Phase::Leaving, "{index}");
        assert_eq!(server(&directory, "b").phase(), Phase::Ready, "{index}");
    }
}

#[test]
fn an_older_entry_does_not_bring_a_leaving_server_back() {
    let mut directory = directory(&["a"]);
    directory.leave(&life("a"));
    assert_eq!(directory.put(entry("a", Phase::Ready), 0), None);
    assert_eq!(server(&directory, "a").phase(), Phase::Leaving);
}

#[test]
fn a_late_notice_of_an_earlier_life_changes_nothing() {
    let mut directory = directory(&["a"]);
    directory.put(Entry { started_ms: 2, ..entry("a", Phase::Ready) }, 0);
    assert!(!directory.leave(&life("a")));
    assert_eq!(server(&directory, "a").phase(), Phase::Ready);
}

#[test]
fn the_digest_stands_for_the_servers_that_take_work() {
    let (mut one, mut other) = (directory(&["a", "b", "c"]), directory(&["c", "a"]));
    assert_ne!(one.digest(), other.digest());
    one.leave(&life("b"));
    assert_eq!(one.digest(), other.digest());
    other.put(Entry { started_ms: 2, ..entry("a", Phase::Ready) }, 0);
    assert_ne!(one.digest(), other.digest(), "another life");
}

#[test]
fn a_new_life_under_the_same_name_is_another_server() {
    let mut directory = directory(&["a"]);
    let held = server(&directory, "a");
    let change = directory.put(Entry { started_ms: 2, ..entry("a", Phase::Ready) }, 0);
    assert_eq!(change, Some(Change::Added(name::Server::new("a").unwrap())));
    assert_eq!(held.phase(), Phase::Leaving);
    assert_eq!(server(&directory, "a").phase(), Phase::Ready);
}

#[test]
fn an_address_that_is_used_by_another_service_is_another_server() {
    let mut directory = directory(&["a"]);
    let service = name::Service::new("other").unwrap();
    directory.put(Entry { service: service.clone(), ..entry("a", Phase::Ready) }, 0);
    assert_eq!(ids(&directory), Vec::<String>::new());
    assert_eq!(directory.servers(&service).len(), 1);
}

#[test]
fn entries_that_lapse_with_the_store_are_kept_until_it_has_been_back_for_a_while() {
    // Arrange: the store was away, and came back without two of three entries.
    let mut directory = directory(&["a", "b", "c"]);
    directory.lost_store();
    directory.regained_store(1_000);

    // Act: one of them is written again in time.
    let changes = directory.replace(vec![entry("a", Phase::Ready)], 1_010);
    assert_eq!(changes.len(), 2);
    assert_eq!(ids(&directory), ["a", "b", "c"]);
    directory.put(entry("b", Phase::Ready), 0);

    // Assert
    assert_eq!(directory.expire(3_000), vec![]);
    let expired = directory.expire(3_400);
    assert_eq!(expired, vec![Change::Leaving(life("c"))]);
    assert_eq!(ids(&directory), ["a", "b"]);
}

#[test]
fn a_server_known_to_leave_is_not_kept_over_an_outage() {
    let mut directory = directory(&["a"]);
    directory.put(entry("a", Phase::Leaving), 0);
    directory.lost_store();
    directory.drop_entry("a", 10);
    assert!(directory.is_empty());
}

#[test]
fn a_second_outage_begins_a_new_time_of_grace() {
    let mut directory = directory(&["a"]);
    directory.lost_store();
    directory.drop_entry("a", 100);
    directory.regained_store(1_000);
    directory.lost_store();
    assert_eq!(directory.expire(9_000), vec![]);
    directory.regained_store(9_500);
    assert_eq!(directory.expire(11_000), vec![]);
    assert_eq!(directory.expire(12_000).len(), 1);
}

#[test]
fn an_entry_missing_while_the_store_is_sound_is_gone() {
    let mut directory = directory(&["a", "b"]);
    let changes = directory.replace(vec![entry("b", Phase::Ready)], 50);
    assert_eq!(changes, vec![Change::Leaving(life("a"))]);
    assert_eq!(ids(&directory), ["b"]);
}

#[test]
fn a_server_is_slow_only_for_a_while_after_its_start() {
    // Replays a calm day on which hosts that heard of a new engine at once took it for slow until its end.
    let mut directory = Directory::new();
    directory.put(Entry { cold_ms: 900, ..entry("a", Phase::Ready) }, 5_000);
    let new = server(&directory, "a");
    assert!(new.is_cold(5_899));
    assert!(!new.is_cold(5_900));
}
