//! Tests of how evacuations are applied to a host, without a network.

use tokio::sync::mpsc;

use super::{Notice, Origin, may_send, message, receive};
use crate::clock::boot_ms;
use crate::entry::context::Context;
use crate::entry::facts::tests::{context, entry, server};
use crate::entry::homes::Constraint;
use crate::entry::request::{Continuation, KvCache};
use crate::evacuation::{Revision, Snapshot};

/// What another host tells: domain `a` is evacuated or not.
fn snapshot(offset: u64, is_evacuated: bool) -> Snapshot {
    let domains = vec![entry(7).domain];
    let (evacuated, ended) =
        if is_evacuated { (domains, Vec::new()) } else { (Vec::new(), domains) };
    Snapshot { revision: Revision { era: 0, offset }, evacuated, ended, held: Vec::new() }
}

fn receive_all(context: &Context, snapshots: &[Snapshot]) -> Vec<Notice> {
    let (sender, mut notices) = mpsc::channel(8);
    snapshots.iter().for_each(|snapshot| receive(context, &sender, snapshot.clone()));
    std::iter::from_fn(|| notices.try_recv().ok()).collect()
}

/// A continuation of a generation with the KV cache of the engine with this last octet; without one if `None`.
fn continuation(source: Option<u8>) -> Continuation {
    let kv_cache = source.map(|source| KvCache {
        source: ([10, 0, 0, source], 7_200).into(),
        handle: "h".to_owned(),
    });
    Continuation { kv_cache, last_event: None }
}

/// Guards against requests, resumptions and copies that reach an evacuated domain, and against generations that go back to
/// their source there later than a second after the evacuation was learnt.
#[test]
fn only_a_generation_that_was_just_stopped_is_sent_to_an_evacuated_domain() {
    let (context, _messages) = context();
    let server = server(&context);
    let learnt_ms = boot_ms();
    receive_all(&context, &[snapshot(5, true)]);
    let [own, copy, resumption] = [Some(99), Some(1), None].map(continuation);
    let sent = |continuation| may_send(&context, &server, continuation, learnt_ms);
    assert!(!sent(None) && !sent(Some(&resumption)));
    assert!(!sent(Some(&copy)), "it is the target");
    assert!(sent(Some(&own)));
    assert!(!may_send(&context, &server, Some(&own), boot_ms() + 1_000));
    receive_all(&context, &[snapshot(6, false)]);
    assert!(sent(None));
}

/// Guards against messages that circulate between hosts.
#[test]
fn what_another_host_tells_is_forwarded_once() {
    let (context, _messages) = context();
    assert!(message(&context).is_none(), "nothing to tell yet");
    let notices =
        receive_all(&context, &[snapshot(5, true), snapshot(5, true), snapshot(4, false)]);
    assert_eq!(notices.len(), 1);
    assert!(notices[0].origin == Origin::Host && message(&context).is_some());
}

/// Guards against an evacuation that is forgotten with the server object of an earlier process.
#[test]
fn the_next_server_in_the_domain_is_evacuated_as_well() {
    let (context, _messages) = context();
    receive_all(&context, &[snapshot(5, true)]);
    context.cache.update_directory(|directory| directory.put(entry(8), 0));
    assert_eq!(server(&context).entry.started_ms, 8);
    assert!(context.is_evacuated(&entry(8).service, &Constraint::default()));
    assert!(!may_send(&context, &server(&context), None, boot_ms()));
}
