//! Tests of how facts about servers are announced and forwarded.

mod cold;

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Discard, Logger, o};
use tokio::sync::mpsc;

use super::{Fact, announce, receive};
use crate::clock::boot_ms;
use crate::directory::{Entry, Phase, Server};
use crate::entry::broadcast::{Envelope, Message};
use crate::entry::cache::Cache;
use crate::entry::context::Context;
use crate::entry::full_server::FullServer;
use crate::entry::server_limit::ServerLimit;
use crate::entry::settings::{Bounds, Settings};
use crate::freshness;
use crate::lifecycle::Control;
use crate::load::{Report, Stamp};
use crate::metrics::Instruments;
use crate::name;
use crate::rate::Limit;

/// Hosts of the fixture, the own one among them: nine groups of three.
const HOSTS: usize = 27;

pub(in crate::entry) fn address(index: usize) -> SocketAddr {
    ([10, 0, 0, index as u8], 7_200).into()
}

fn host(index: usize) -> name::Host {
    name::Host::new(format!("h-{index}")).unwrap()
}

pub(in crate::entry) fn entry(started_ms: u64) -> Entry {
    Entry {
        id: name::Server::new("e-1").unwrap(),
        service: name::Service::new("pool").unwrap(),
        address: address(99),
        domain: name::Domain::new("a").unwrap(),
        slots: 24,
        cold_ms: 0,
        started_ms,
        build: None,
        phase: Phase::Ready,
    }
}

/// The context of the first of [`HOSTS`] live hosts, which is the reader of its group, and its queue of messages.
pub(in crate::entry) fn context() -> (Context, mpsc::Receiver<Envelope>) {
    let settings = Settings {
        host: host(0),
        domain: name::Domain::new("a").unwrap(),
        region: name::Region::new("r").unwrap(),
        caller_address: address(0),
        readiness_address: address(0),
        metrics_address: address(0),
        peer_address: address(0),
        store_address: address(0),
        max_descriptors: 100,
        memory_bytes: None,
        bounds: Bounds {
            leaving: Duration::from_secs(2),
            shutdown: Duration::from_secs(8),
            configuration: Duration::from_secs(2),
            revocation: Duration::from_secs(5),
            strict_revocation: true,
            retry_ratio: 0.2,
            retry_window: Duration::from_secs(10),
            retry_slack: 58.0,
            evacuation: Some(Duration::from_secs(5)),
            cold: Default::default(),
        },
        regions: Default::default(),
    };
    let bounds = freshness::Bounds::new(settings.bounds.revocation, settings.bounds.configuration);
    let (load_sender, _) = mpsc::channel(8);
    let (outbox, messages) = mpsc::channel(64);
    let context = Context::new(
        settings,
        Arc::new(Cache::new(bounds)),
        Arc::new(Control::new()),
        Instruments::new().unwrap(),
        Logger::root(Discard, o!()),
        load_sender,
        outbox,
    );
    for index in 0..HOSTS {
        context.cache.put_host(host(index), address(index));
        let stamp = Stamp { incarnation: 1, sequence: 1 };
        let report = Report { stamp, full: true, loads: Default::default() };
        context.tracker().apply_report(host(index), report, boot_ms());
    }
    context.cache.mark_hosts_listed();
    context.cache.update_directory(|directory| directory.put(entry(7), 0));
    (context, messages)
}

pub(in crate::entry) fn server(context: &Context) -> Arc<Server> {
    let id = entry(7).id;
    context.cache.update_directory(|directory| directory.server(&id).cloned()).unwrap()
}

fn limit(started_ms: u64) -> ServerLimit {
    ServerLimit::new(entry(started_ms).incarnation(), Limit::new(3.0))
}

fn full(started_ms: u64) -> FullServer {
    FullServer::new(entry(started_ms).incarnation(), 4)
}

/// Receives `fact` twice and returns the receivers of what was sent on.
fn forwarded<F: Fact + Clone>(fact: &F) -> Vec<Vec<SocketAddr>> {
    let (context, mut messages) = context();
    receive(&context, fact.clone());
    receive(&context, fact.clone());
    let mut receivers = Vec::new();
    while let Ok((to, _)) = messages.try_recv() {
        receivers.push(to);
    }
    receivers
}

/// Guards against a reader that keeps a fact to itself, and against facts that circulate.
#[test]
fn a_reader_forwards_each_kind_of_fact_to_its_group_once() {
    for receivers in [forwarded(&limit(7)), forwarded(&full(7))] {
        assert_eq!(receivers.len(), 1, "{receivers:?}");
        assert!(!receivers[0].is_empty() && !receivers[0].contains(&address(0)));
    }
}

/// Guards against a fact about an earlier process under the same name.
#[test]
fn a_fact_about_another_incarnation_is_ignored() {
    assert!(forwarded(&limit(6)).is_empty() && forwarded(&full(6)).is_empty());
    let (context, _messages) = context();
    receive(&context, limit(6));
    assert_eq!(server(&context).pace().limit(boot_ms()), None);
}

#[test]
fn a_fact_of_this_host_is_sent_to_the_readers_and_its_own_group() {
    let (context, mut messages) = context();

    announce(&context, limit(7));

    let (receivers, message) = messages.try_recv().unwrap();
    assert!(matches!(message, Message::ServerLimit(_)));
    assert_eq!(receivers.len(), 8 + 2, "the readers of the other groups and the own group");
    assert!(messages.try_recv().is_err());
}
