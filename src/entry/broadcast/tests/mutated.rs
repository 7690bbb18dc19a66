//! Guards against a message that ends the task which receives messages: any host or program can send datagrams.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::super::{Message, ServerLoad, receive};
use super::entry;
use crate::directory::Incarnation;
use crate::entry::context::Context;
use crate::entry::facts;
use crate::entry::full_server::FullServer;
use crate::entry::server_limit::ServerLimit;
use crate::rate::Limit;
use crate::store_sync::Reply;
use crate::{mutation, name, quarantine, wire};

/// A host that knows the server of the messages.
fn context() -> Arc<Context> {
    let (context, _) = facts::tests::context();
    context.cache.update_directory(|directory| directory.put(entry(Some("v1")), 0));
    Arc::new(context)
}

fn incarnation() -> Incarnation {
    entry(None).incarnation()
}

/// Valid messages, encoded.
fn samples() -> Vec<Vec<u8>> {
    let (host, server) = (name::Host::new("h-1").unwrap(), incarnation().id);
    let load = ServerLoad { server, requests: 3, tokens: 900, prefill_tokens: 80 };
    let leaving = vec![incarnation()];
    let reply = Reply { version: 3, document_age_ms: 90, servers_age_ms: 80, leaving, digest: 5 };
    let mut longest_cold = entry(Some("v1"));
    (longest_cold.id, longest_cold.cold_ms) = (name::Server::new("i-2").unwrap(), u64::MAX);
    let part = name::Part::new("p-1").unwrap();
    let full = FullServer::new(incarnation(), 6);
    let messages = [
        Message::LoadReport { host, incarnation: 1, sequence: 2, full: true, loads: vec![load] },
        Message::ServerLeaving { incarnation: incarnation() },
        Message::DocumentVersion { version: 3 },
        Message::FreshnessQuery { query: 4 },
        Message::FreshnessReply { query: 4, reply },
        Message::ServerChanges { leaving: vec![incarnation()], added: Vec::new() },
        Message::ServersAdded { added: vec![(&entry(Some("v1"))).into()] },
        Message::ServersAdded { added: vec![(&longest_cold).into()] },
        Message::PromptParts(quarantine::wire::Message::Sound(vec![part.clone()])),
        Message::PromptParts(quarantine::wire::Message::EarlierProofs(vec![(part, 9)])),
        Message::ServerLimit(ServerLimit::new(incarnation(), Limit::new(3.5))),
        Message::FullServer(full),
    ];
    messages.iter().map(|message| wire::encode(message).unwrap().to_vec()).collect()
}

#[test]
fn mutated_messages_do_not_end_the_receiver() {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().build().unwrap();
    let (receiver, sender, address) = runtime.block_on(async {
        let receiver = Arc::new(UdpSocket::bind("127.0.0.1:0").await.unwrap());
        let address = receiver.local_addr().unwrap();
        (receiver, UdpSocket::bind("127.0.0.1:0").await.unwrap(), address)
    });
    let context = context();
    let notices = mpsc::channel(8).0;
    let task = runtime.spawn(receive(Arc::clone(&context), receiver, notices));
    mutation::check(samples(), |bytes| {
        runtime.block_on(async {
            sender.send_to(&bytes, address).await.unwrap();
            tokio::time::sleep(Duration::from_millis(2)).await;
        });
        context.tracker().expire(crate::clock::boot_ms());
        context.quarantine().expire(crate::clock::boot_ms());
        assert!(!task.is_finished(), "the receiver has ended");
    });
    let added = name::Server::new("i-2").unwrap();
    let is_known = context.cache.update_directory(|directory| directory.server(&added).is_some());
    assert!(is_known, "no message was applied");
}
