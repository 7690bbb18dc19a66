//! Tests of what hosts tell each other of cold engines.

use super::*;
use crate::entry::cold_start::ColdServer;
use crate::lifecycle::Event;
use crate::platform::configuration;

fn cold(started_ms: u64, left_ms: u64) -> ColdServer {
    ColdServer::new(entry(started_ms).incarnation(), left_ms)
}

/// Applies a document whose service `pool` states these requests a second and a cold time of 9 s.
fn set_document(context: &Context, per_s: f64) {
    let text = format!(
        r#"{{"version": 3, "routes": [], "limits": {{"max_header_bytes": 1, "max_body_bytes": 1,
        "idle_timeout_ms": 1}}, "services": [{{"name": "pool", "cold_start_s": 9,
        "cold_per_s": {per_s}}}]}}"#
    );
    let table = configuration::parse(text.as_bytes()).unwrap().table;
    assert!(context.cache.replace_table(table));
}

/// Guards against a cold engine of which only one group of hosts knows, and against facts that circulate.
#[test]
fn that_an_engine_is_cold_is_forwarded_once() {
    assert_eq!(forwarded(&cold(7, 5_000)).len(), 1);
    assert!(forwarded(&cold(6, 5_000)).is_empty(), "another incarnation");
    assert!(forwarded(&cold(7, 0)).is_empty(), "no time left");
}

/// Guards against an evacuation that ends in a flood of the engines, which are cold then.
#[test]
fn the_engines_of_a_domain_are_cold_for_the_time_after_a_start() {
    let (context, _messages) = context();
    set_document(&context, 26.0);
    context.control.apply(Event::Configured);
    context.mark_domain_cold(&name::Domain::new("b").unwrap());
    assert!(!server(&context).is_cold(boot_ms()), "another domain");

    context.mark_domain_cold(&name::Domain::new("a").unwrap());

    let now_ms = boot_ms();
    assert!(server(&context).is_cold(now_ms + 8_000) && !server(&context).is_cold(now_ms + 9_000));
}

/// Guards against a host that has just started and sends as if there were no others.
#[test]
fn a_host_that_starts_sends_nothing_to_a_cold_engine() {
    let (mut context, _messages) = context();
    set_document(&context, 26.0);
    server(&context).cold().extend(60_000, boot_ms());
    let until_ms = |context: &Context| {
        crate::entry::server_limit::update_share(context, &server(context), boot_ms());
        server(context).busy_until_ms(boot_ms() + 2_000)
    };
    assert!(until_ms(&context).is_some());
    context.started_ms = 0;
    std::thread::sleep(Duration::from_millis(300));
    assert_eq!(until_ms(&context), None);
}

/// Guards against limits of deployments that state none, which are served as before.
#[test]
fn an_engine_without_a_stated_rate_has_no_limit() {
    let (context, _messages) = context();
    set_document(&context, 0.0);
    context.control.apply(Event::Configured);
    context.mark_domain_cold(&name::Domain::new("a").unwrap());
    let engine = server(&context);
    crate::entry::server_limit::update_share(&context, &engine, boot_ms());
    assert!(engine.is_cold(boot_ms()) && engine.busy_until_ms(boot_ms()).is_none());
}
