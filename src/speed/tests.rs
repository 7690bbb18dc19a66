//! Tests of the estimates of servers' speeds.

use super::{Sample, Table};
use crate::directory::{Entry, Incarnation, Phase, Server};
use crate::name;

/// Passing slowdown in some seconds.
const PASSING: f64 = 2.5;

fn service() -> name::Service {
    name::Service::new("chat").unwrap()
}

fn server(index: usize, started_ms: u64) -> Server {
    Server::new(Entry {
        id: name::Server::new(format!("e-{index}")).unwrap(),
        service: service(),
        address: ([10, 0, 0, 1], 80).into(),
        domain: name::Domain::new("a").unwrap(),
        slots: 24,
        cold_ms: 0,
        started_ms,
        build: None,
        phase: Phase::Ready,
    })
}

fn incarnation(index: usize) -> Incarnation {
    server(index, 1).entry.incarnation()
}

/// Interval between the events of an engine, as the engines of the platform have it.
fn interval_ms(generations: f64, prefill: f64, factor: f64) -> f64 {
    4.0 * (7.0 + 0.12 * generations + 8.0 * prefill) * factor
}

/// A sample of server `index` in second `second`. The factor of its speed is `factor`.
fn measure(table: &mut Table, index: usize, second: u64, (generations, factor): (f64, f64)) {
    let generations = generations + (second % 3) as f64;
    let prefill = [0.0, 0.5, 0.2, 0.1][(second as usize + index) % 4];
    let interval_ms = interval_ms(generations, prefill, factor);
    let longest_ms = self::interval_ms(generations, 1.0, factor * PASSING);
    let sample = Sample::new(40, interval_ms, longest_ms, generations, prefill).unwrap();
    table.measure(&service(), &incarnation(index), sample, second * 1_000);
    let stated = if (second + index as u64) % 7 == 0 { PASSING } else { 1.0 };
    table.state(&service(), &incarnation(index), stated, second * 1_000);
}

/// Twelve servers, of which the first three take 2.2 times as long, have few generations and many.
fn measured(slow_generations: f64, generations: f64) -> Table {
    let mut table = Table::new();
    for second in 0..20 {
        for index in 0..12 {
            let load = if index < 3 { (slow_generations, 2.2) } else { (generations, 1.0) };
            measure(&mut table, index, second, load);
        }
    }
    table
}

/// Guards against taking load for slowness or slowness for load, whichever servers have more generations.
#[test]
fn speeds_are_compared_at_the_same_load() {
    for (slow_generations, generations) in [(1.0, 12.0), (12.0, 3.0), (6.0, 6.0)] {
        let table = measured(slow_generations, generations);
        let speeds = table.service(&service(), 20_000).unwrap();
        let slow = speeds.lasting(&server(0, 1), 19_000);
        let usual = speeds.lasting(&server(5, 1), 19_000);
        assert!((1.9..=2.4).contains(&slow), "{slow} {slow_generations} {generations}");
        assert!((0.9..=1.1).contains(&usual), "{usual} {slow_generations} {generations}");

        // The longest interval includes a prefill and the worst tenth of the slowdowns.
        let expected = interval_ms(generations, 1.0, PASSING);
        let load = generations as u32;
        let longest = speeds.longest_interval_ms(&server(5, 1), load, 19_000).unwrap();
        assert!((expected * 0.85..=expected * 1.15).contains(&longest), "{longest} {expected}");
    }
}

#[test]
fn a_server_that_recovers_is_found_within_seconds() {
    let mut table = measured(5.0, 5.0);
    for second in 20..26 {
        for index in 0..12 {
            let factor = if (1..3).contains(&index) { 2.2 } else { 1.0 };
            measure(&mut table, index, second, (5.0, factor));
        }
    }
    let speeds = table.service(&service(), 25_000).unwrap();
    let recovered = speeds.lasting(&server(0, 1), 25_000);
    assert!(recovered < 1.5, "{recovered}");
    assert!(speeds.lasting(&server(1, 1), 25_000) > 1.9);
}

#[test]
fn an_estimate_ages_and_another_incarnation_starts_as_usual() {
    let mut table = measured(5.0, 5.0);
    table.state(&service(), &incarnation(5), 1.0, 45_000);
    let speeds = table.service(&service(), 49_000).unwrap();
    let lasting = |server, now_ms| speeds.lasting(&server, now_ms);
    assert!(lasting(server(0, 1), 19_000) > lasting(server(0, 1), 34_000));
    assert_eq!(lasting(server(0, 1), 49_000), 1.0);
    assert_eq!(lasting(server(0, 2), 19_000), 1.0, "it restarted");
    assert_eq!(speeds.passing(&server(5, 1), 47_001), 1.0);
    assert!(table.service(&service(), 75_000).is_none(), "no statement for 30 s");
    table.expire(200_000);
    assert!(table.services.is_empty());
}

/// Guards against a statement that makes a fast server slow for long generations, or slow beyond a factor of 4.
#[test]
fn a_wrong_statement_does_not_change_the_lasting_speed() {
    let mut table = measured(5.0, 5.0);
    for at_ms in 0..20 {
        table.state(&service(), &incarnation(5), 90.0, 20_000 + at_ms);
    }
    let speeds = table.service(&service(), 20_019).unwrap();
    assert!((0.9..=1.1).contains(&speeds.lasting(&server(5, 1), 20_019)));
    assert_eq!(speeds.stated(&server(5, 1), 20_019), 4.0);
    assert!(speeds.passing(&server(5, 1), 20_019) <= 4.0);
}

#[test]
fn a_server_is_logged_once_when_it_becomes_slow_and_once_when_it_is_usual_again() {
    let mut table = measured(5.0, 5.0);
    let slow = table.changes(19_000);
    assert_eq!(slow.iter().filter(|change| change.is_slow).count(), 3, "{slow:?}");
    assert!(table.changes(19_100).is_empty());
    let usual = table.changes(49_000);
    assert_eq!(usual.iter().filter(|change| !change.is_slow).count(), 3, "{usual:?}");
}
