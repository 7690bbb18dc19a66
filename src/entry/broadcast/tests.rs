//! Tests of the format of messages between entry hosts.

mod mutated;

use super::{AddedServer, JoinedServer, Message};
use crate::directory::{Entry, Phase};
use crate::entry::full_server::FullServer;
use crate::name;
use crate::wire;

fn entry(build: Option<&str>) -> Entry {
    Entry {
        id: name::Server::new("i-1").unwrap(),
        service: name::Service::new("pool").unwrap(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new("d").unwrap(),
        slots: 4,
        cold_ms: 900,
        started_ms: 7,
        build: build.map(|build| name::Build::new(build).unwrap()),
        phase: Phase::Ready,
    }
}

/// Earlier builds of this program encode the kind of a message by its position.
#[test]
fn messages_of_earlier_builds_keep_their_positions() {
    let incarnation = entry(None).incarnation();
    let host = name::Host::new("h-1").unwrap();
    let messages = [
        Message::LoadReport { host, incarnation: 1, sequence: 2, full: true, loads: Vec::new() },
        Message::ServerLeaving { incarnation: incarnation.clone() },
        Message::ServerAdded { key: "i-1".to_owned(), value: Vec::new() },
        Message::DocumentVersion { version: 3 },
        Message::FreshnessQuery { query: 4 },
    ];
    for (position, message) in messages.iter().enumerate() {
        assert_eq!(usize::from(wire::encode(message).unwrap()[0]), position);
    }
    let changes = Message::ServerChanges { leaving: vec![incarnation], added: Vec::new() };
    assert_eq!(wire::encode(&changes).unwrap()[0], 6);
}

/// Guards against a new kind of message that shifts those that hosts of the build before send and understand.
#[test]
fn new_kinds_of_messages_follow_those_of_the_build_before() {
    let position = |message: Message| wire::encode(&message).unwrap()[0];
    let full = FullServer::new(entry(None).incarnation(), 4);
    assert_eq!(position(Message::FullServer(full)), 13, "the last one of the build before");
    assert_eq!(position(Message::ServerSpeeds(Vec::new())), 15);
}

/// Hosts of earlier builds tell of the windows of servers, which are not used any more.
#[test]
fn the_window_of_an_earlier_build_is_read_and_ignored() {
    let message = wire::decode::<Message>(&[17, 3, b'i', b'-', b'1', 7, 3, b'h', b'-', b'1', 1, 8]);
    assert!(matches!(message, Ok(Message::ServerWindow)));
}

#[test]
fn an_entry_is_passed_on_with_its_build() {
    for build in [None, Some("v1.1")] {
        let message = Message::ServersAdded { added: vec![JoinedServer::from(&entry(build))] };
        let bytes = wire::encode(&message).unwrap();
        let Message::ServersAdded { added } = wire::decode(&bytes).unwrap() else { panic!() };
        assert_eq!(Entry::from(added[0].clone()), entry(build));
    }
}

/// Adding the build to this type would make messages of earlier builds unreadable.
#[test]
fn an_entry_of_an_earlier_build_has_no_build() {
    let bytes = wire::encode(&AddedServer::from(&entry(Some("v1")))).unwrap();
    assert_eq!(bytes, wire::encode(&AddedServer::from(&entry(None))).unwrap());
}
