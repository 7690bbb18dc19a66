//! Tests of the directory of servers.

use super::{Change, Directory, Entry, Incarnation, Phase};
use crate::name;

fn entry(id: &str, phase: Phase) -> Entry {
    Entry {
        id: name::Server::new(id).unwrap(),
        service: name::Service::new("s").unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new("d").unwrap(),
        slots: 4,
        cold_ms: 0,
        build: None,
        started_ms: 1,
        phase,
    }
}

fn incarnation(id: &str) -> Incarnation {
    entry(id, Phase::Ready).incarnation()
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
    let server = directory.servers(&service).iter().find(|server| server.entry.id.as_str() == id);
    std::sync::Arc::clone(server.expect("the server is known"))
}

#[test]
fn a_request_sees_that_its_server_leaves_or_is_removed() {
    let leave: [fn(&mut Directory); 4] = [
        |directory| drop(directory.put(entry("a", Phase::Leaving), 0)),
        |directory| drop(directory.remove_entry("a", 10)),
        |directory| drop(directory.replace(vec![entry("b", Phase::Ready)], 10)),
        |directory| assert!(directory.mark_leaving(&incarnation("a"))),
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
fn an_older_entry_does_not_make_a_leaving_server_ready() {
    let mut directory = directory(&["a"]);
    directory.mark_leaving(&incarnation("a"));
    assert_eq!(directory.put(entry("a", Phase::Ready), 0), None);
    assert_eq!(server(&directory, "a").phase(), Phase::Leaving);
}

#[test]
fn a_late_notice_of_an_earlier_incarnation_is_ignored() {
    let mut directory = directory(&["a"]);
    directory.put(Entry { started_ms: 2, ..entry("a", Phase::Ready) }, 0);
    assert!(!directory.mark_leaving(&incarnation("a")));
    assert_eq!(server(&directory, "a").phase(), Phase::Ready);
}

#[test]
fn the_digest_covers_the_servers_that_accept_requests() {
    let (mut one, mut other) = (directory(&["a", "b", "c"]), directory(&["c", "a"]));
    assert_ne!(one.digest(), other.digest());
    one.mark_leaving(&incarnation("b"));
    assert_eq!(one.digest(), other.digest());
    other.put(Entry { started_ms: 2, ..entry("a", Phase::Ready) }, 0);
    assert_ne!(one.digest(), other.digest(), "another incarnation");
}

#[test]
fn a_new_incarnation_under_the_same_name_is_another_server() {
    let mut directory = directory(&["a"]);
    let held = server(&directory, "a");
    let change = directory.put(Entry { started_ms: 2, ..entry("a", Phase::Ready) }, 0);
    assert_eq!(change, Some(Change::Added(name::Server::new("a").unwrap())));
    assert_eq!(held.phase(), Phase::Leaving);
    assert_eq!(server(&directory, "a").phase(), Phase::Ready);
}

#[test]
fn a_server_that_changes_its_service_is_another_server() {
    let mut directory = directory(&["a"]);
    let service = name::Service::new("other").unwrap();
    directory.put(Entry { service: service.clone(), ..entry("a", Phase::Ready) }, 0);
    assert_eq!(ids(&directory), Vec::<String>::new());
    assert_eq!(directory.servers(&service).len(), 1);
}

#[test]
fn entries_that_expire_in_a_store_outage_are_kept_for_a_grace_period() {
    // Arrange: after an outage the store has lost two of three entries.
    let mut directory = directory(&["a", "b", "c"]);
    directory.mark_store_lost();
    directory.mark_store_recovered(1_000);

    // Act: one of them is registered again within the grace period.
    let changes = directory.replace(vec![entry("a", Phase::Ready)], 1_010);
    assert_eq!(changes.len(), 2);
    assert_eq!(ids(&directory), ["a", "b", "c"]);
    directory.put(entry("b", Phase::Ready), 0);

    // Assert
    assert_eq!(directory.expire(3_000), vec![]);
    let expired = directory.expire(3_400);
    assert_eq!(expired, vec![Change::Leaving(incarnation("c"))]);
    assert_eq!(ids(&directory), ["a", "b"]);
}

#[test]
fn a_leaving_server_is_not_kept_in_a_store_outage() {
    let mut directory = directory(&["a"]);
    directory.put(entry("a", Phase::Leaving), 0);
    directory.mark_store_lost();
    directory.remove_entry("a", 10);
    assert!(directory.is_empty());
}

#[test]
fn a_second_outage_starts_a_new_grace_period() {
    let mut directory = directory(&["a"]);
    directory.mark_store_lost();
    directory.remove_entry("a", 100);
    directory.mark_store_recovered(1_000);
    directory.mark_store_lost();
    assert_eq!(directory.expire(9_000), vec![]);
    directory.mark_store_recovered(9_500);
    assert_eq!(directory.expire(11_000), vec![]);
    assert_eq!(directory.expire(12_000).len(), 1);
}

#[test]
fn a_server_whose_entry_is_missing_without_an_outage_is_removed() {
    let mut directory = directory(&["a", "b"]);
    let changes = directory.replace(vec![entry("b", Phase::Ready)], 50);
    assert_eq!(changes, vec![Change::Leaving(incarnation("a"))]);
    assert_eq!(ids(&directory), ["b"]);
}

#[test]
fn a_server_is_slow_only_for_a_while_after_its_start() {
    // Regression: hosts that learned of a new engine immediately treated it as slow until it ended.
    let mut directory = Directory::new();
    directory.put(Entry { cold_ms: 900, ..entry("a", Phase::Ready) }, 5_000);
    let new = server(&directory, "a");
    assert!(new.is_cold(5_899));
    assert!(!new.is_cold(5_900));
}

#[test]
fn an_incarnation_that_announced_its_leaving_never_comes_back() {
    let mut directory = directory(&["a", "b"]);
    directory.put(entry("a", Phase::Leaving), 10);
    directory.remove_entry("a", 20);
    directory.remove_entry("b", 20);
    assert_eq!(directory.put(entry("a", Phase::Ready), 30), None);
    assert!(matches!(directory.put(entry("b", Phase::Ready), 30), Some(Change::Added(_))));
    let next = Entry { started_ms: 2, ..entry("a", Phase::Ready) };
    assert!(matches!(directory.put(next, 40), Some(Change::Added(_))));
}

#[test]
fn a_list_from_an_older_copy_brings_no_server_back_that_had_left() {
    let mut directory = directory(&["a", "b", "c"]);
    directory.remove_entry("b", 20);
    directory.mark_records_lost(1_000);
    // In the copy b is still listed, and c is not yet.
    let copy = vec![entry("a", Phase::Ready), entry("b", Phase::Ready)];
    let changes = directory.replace(copy.clone(), 1_010);
    assert_eq!(changes, [Change::Missing(incarnation("c").id)]);
    assert_eq!(ids(&directory), ["a", "c"]);
    assert_eq!(server(&directory, "c").phase(), Phase::Ready, "until it had time to write again");
    directory.replace(copy.clone(), 2_000);
    assert_eq!(ids(&directory), ["a", "c"]);
    directory.put(entry("c", Phase::Ready), 2_100);
    directory.put(entry("b", Phase::Ready), 2_200);
    assert!(directory.expire(9_000).is_empty());
    assert_eq!(ids(&directory), ["a", "b", "c"], "b wrote its entry after the copy came back");
}

#[test]
fn builds_are_remembered_for_some_time_after_their_last_server() {
    let build = |name: &str| Some(name::Build::new(name).unwrap());
    let service = name::Service::new("s").unwrap();
    let mut directory = Directory::new();
    directory.put(Entry { build: build("v1"), ..entry("a", Phase::Ready) }, 0);
    directory.put(Entry { build: build("v2"), ..entry("b", Phase::Ready) }, 0);
    directory.remove_entry("a", 100);
    assert_eq!(directory.builds(&service, 100), [build("v1"), build("v2")].into());
    assert_eq!(directory.builds(&service, 101), [build("v2")].into());
    let changed = directory.put(Entry { build: build("v3"), ..entry("b", Phase::Ready) }, 200);
    assert!(matches!(changed, Some(Change::Added(_))), "another build is another server");
    assert_eq!(directory.builds(&service, 201), [build("v3")].into());
}
