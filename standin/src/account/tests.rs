//! Tests of the account of lost requests.

use super::*;

/// A line of a host, as the bench prints it.
fn line(second: u64, message: &str, request: &str, fields: &str) -> String {
    format!(
        "  1.0 front-1 {{\"msg\":\"{message}\",\"ts\":\"2026-01-01T00:00:{second:02}.5Z\",\"request\":\"{request}\"{fields}}}\n"
    )
}

fn finished(second: u64, request: &str, outcome: &str) -> String {
    line(
        second,
        "request finished",
        request,
        &format!(",\"route\":\"a\",\"outcome\":\"{outcome}\""),
    )
}

fn causes(log: &str) -> Counts {
    Account::new(log).routes.remove("a").unwrap_or_default()
}

#[test]
fn a_request_is_counted_once_by_its_last_outcome() {
    let log =
        line(1, "server chosen", "r", "") + &finished(1, "r", "full") + &finished(2, "r", "ok");
    assert_eq!(causes(&log), Counts::from([(Cause::Served, 1)]));
}

#[test]
fn a_generation_is_cut_in_its_first_copy_or_in_the_rest() {
    let started = |request| line(1, "migration started", request, "");
    let copied = |request| line(2, "KV cache copy finished", request, ",\"outcome\":\"copied\"");
    let log = started("first")
        + &finished(3, "first", "broken")
        + &started("rest")
        + &copied("rest")
        + &finished(3, "rest", "broken")
        + &started("moved")
        + &copied("moved")
        + &line(2, "continuation attempt finished", "moved", ",\"outcome\":\"ok\"")
        + &finished(3, "moved", "broken");

    let expected = [(Cause::CutInFirstCopy, 1), (Cause::CutInRest, 1), (Cause::BrokenOff, 1)];
    assert_eq!(causes(&log), Counts::from(expected));
}

#[test]
fn late_requests_are_told_from_those_in_time() {
    let ended = |request, first_ms: u64, pause_ms: u64| {
        let fields = format!(
            ",\"first_event_ms\":{first_ms},\"longest_pause_ms\":{pause_ms},\"objective_ms\":900,\"max_pause_ms\":180"
        );
        line(1, "stream ended", request, &fields) + &finished(1, request, "ok")
    };
    let log = ended("late", 901, 0) + &ended("paused", 900, 181) + &ended("served", 900, 180);

    let expected = [(Cause::LateStart, 1), (Cause::LongPause, 1), (Cause::Served, 1)];
    assert_eq!(causes(&log), Counts::from(expected));
}

#[test]
fn a_request_without_an_end_was_lost_with_its_host() {
    let account = Account::new(&line(7, "server chosen", "r", ""));
    assert_eq!(account.routes["-"], Counts::from([(Cause::HostEnded, 1)]));
    assert_eq!(account.seconds[&0], Counts::from([(Cause::HostEnded, 1)]));
    assert!(account.plot().expect("a plot").contains("<svg"));
}

#[test]
fn other_lines_are_skipped() {
    let log = "day own/srv\n{\"msg\":\"started\"}\n{broken\n";
    assert_eq!(Account::new(log), Account::default());
}
