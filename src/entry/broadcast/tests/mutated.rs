//! Guards against a message that ends the task which receives messages: any host or program can send datagrams.

use std::sync::Arc;
use std::time::Duration;

use slog::{Discard, Logger, o};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;

use super::super::{Message, ServerLoad, receive};
use super::entry;
use crate::directory::Incarnation;
use crate::entry::cache::Cache;
use crate::entry::context::Context;
use crate::entry::full_server::FullServer;
use crate::entry::server_limit::ServerLimit;
use crate::entry::settings::{Bounds, Settings};
use crate::lifecycle::Control;
use crate::metrics::Instruments;
use crate::rate::Limit;
use crate::store_sync::Reply;
use crate::{freshness, mutation, name, quarantine, wire};

fn context() -> Arc<Context> {
    let address = ([127, 0, 0, 1], 7_200).into();
    let settings = Settings {
        host: name::Host::new("h-0").unwrap(),
        domain: name::Domain::new("d").unwrap(),
        region: name::Region::new("r").unwrap(),
        caller_address: address,
        readiness_address: address,
        metrics_address: address,
        peer_address: address,
        store_address: address,
        max_descriptors: 100,
        bounds: Bounds {
            leaving: Duration::from_secs(2),
            shutdown: Duration::from_secs(8),
            configuration: Duration::from_secs(2),
            revocation: Duration::from_secs(5),
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 58.0,
        },
    };
    let bounds = freshness::Bounds::new(settings.bounds.revocation, settings.bounds.configuration);
    let context = Context::new(
        settings,
        Arc::new(Cache::new(bounds)),
        Arc::new(Control::new()),
        Instruments::new().unwrap(),
        Logger::root(Discard, o!()),
        mpsc::channel(8).0,
        mpsc::channel(8).0,
    );
    context.cache.mark_hosts_listed();
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
