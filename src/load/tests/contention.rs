//! Simulates requests that wait at many hosts for the same free capacity. Guards against all of them using the capacity of one
//! engine before the hosts have learned of each other's requests.

use std::collections::{HashMap, HashSet};
use std::sync::Arc;

use super::{CAPACITY, host, requirement, servers};
use crate::directory::Server;
use crate::load::{
    Class, Goal, Load, Preference, REMOTE_DOMAIN_COST, REQUEST_JITTER, Report, Reporter,
    SETTLE_TIME, Tracker,
};
use crate::name;

/// Delay of a datagram between two failure domains, in milliseconds.
const DATAGRAM_MS: u64 = 2;

/// Interval at which a waiting request retries the choice, in milliseconds.
const RETRY_MS: u64 = 25;

const PROMPT_TOKENS: u64 = 3_200;

struct Host {
    tracker: Tracker,
    reporter: Reporter,
    waits: bool,
    retry_phase_ms: u64,
    /// The engine at which it has reserved a place, and when it confirms the place.
    reserved: Option<(Arc<Server>, u64)>,
}

/// Hosts and the datagrams in flight between them.
struct Fleet {
    hosts: Vec<Host>,
    engines: Vec<Arc<Server>>,
    /// Arrival time, sender and report.
    messages: Vec<(u64, usize, Report)>,
}

impl Fleet {
    /// `count` hosts and 40 engines that are four fifths full; every third host has a request that waits.
    fn new(count: usize) -> Self {
        let engines = servers(40);
        let host = |index: usize| Host {
            tracker: Tracker::new(),
            reporter: Reporter::new(index as u64),
            waits: index % 3 == 1,
            retry_phase_ms: (index as u64 * 7) % RETRY_MS,
            reserved: None,
        };
        let mut fleet = Self { hosts: (0..count).map(host).collect(), engines, messages: vec![] };
        for (index, engine) in fleet.engines.clone().iter().enumerate() {
            let owner = &mut fleet.hosts[index % count];
            owner.tracker.begin(&engine.entry.id, 17_500, 0);
        }
        fleet
    }

    fn send(&mut self, from: usize, report: Option<Report>, now_ms: u64) {
        self.messages.extend(report.map(|report| (now_ms + DATAGRAM_MS, from, report)));
    }

    fn send_partial_report(&mut self, index: usize, engine: &name::Server, now_ms: u64) {
        let Host { tracker, reporter, .. } = &mut self.hosts[index];
        let report = reporter.partial_report(tracker.local(), HashSet::from([engine.clone()]));
        self.send(index, Some(report), now_ms);
    }

    fn deliver(&mut self, now_ms: u64) {
        let (due, later) =
            std::mem::take(&mut self.messages).into_iter().partition(|m| m.0 <= now_ms);
        self.messages = later;
        let due: Vec<(u64, usize, Report)> = due;
        for (_, from, report) in due {
            for (index, receiver) in self.hosts.iter_mut().enumerate() {
                if index != from {
                    receiver.tracker.apply_report(host(from), report.clone(), now_ms);
                }
            }
        }
    }

    fn send_full_reports(&mut self, now_ms: u64) {
        let peers = self.hosts.len() - 1;
        for index in 0..self.hosts.len() {
            let Host { tracker, reporter, .. } = &mut self.hosts[index];
            if reporter.due_ms() <= now_ms {
                let report = reporter.full_report(tracker.local(), peers, now_ms);
                self.send(index, report, now_ms);
            }
        }
    }

    fn place_waiting(&mut self, now_ms: u64) {
        let domain = name::Domain::new("a").expect("a valid name");
        for index in 0..self.hosts.len() {
            let waiting = &mut self.hosts[index];
            if !waiting.waits || now_ms % RETRY_MS != waiting.retry_phase_ms {
                continue;
            }
            let preference = Preference {
                domain: &domain,
                remote_cost: REMOTE_DOMAIN_COST,
                jitter: REQUEST_JITTER,
                max_candidates: usize::MAX,
                seed: now_ms * 97 + index as u64,
            };
            let tracker = &mut waiting.tracker;
            let choice = tracker.choose(
                &self.engines,
                &[],
                |_| CAPACITY,
                requirement(PROMPT_TOKENS, Class::Long),
                preference,
                now_ms,
            );
            let choice = choice.expect("an engine");
            if choice.fits {
                let engine = choice.server.entry.id.clone();
                tracker.begin(&engine, PROMPT_TOKENS, PROMPT_TOKENS - 200);
                waiting.waits = false;
                let due_ms = now_ms + SETTLE_TIME.as_millis() as u64;
                waiting.reserved = Some((choice.server, due_ms));
                self.send_partial_report(index, &engine, now_ms);
            }
        }
    }

    /// Hosts whose reserved places are due keep those that still fit, and give the others up.
    fn confirm_places(&mut self, now_ms: u64) {
        for index in 0..self.hosts.len() {
            let host = &mut self.hosts[index];
            let Some((engine, _)) = host.reserved.take_if(|(_, due_ms)| *due_ms <= now_ms) else {
                continue;
            };
            let long = requirement(PROMPT_TOKENS, Class::Long);
            if !host.tracker.still_fits(&engine, CAPACITY, long, now_ms) {
                host.tracker.end(&engine.entry.id, PROMPT_TOKENS, PROMPT_TOKENS - 200);
                host.waits = true;
                host.retry_phase_ms = (now_ms * 13 + index as u64 * 7) % RETRY_MS;
                self.send_partial_report(index, &engine.entry.id.clone(), now_ms);
            }
        }
    }

    /// Open requests at an engine, from all hosts.
    fn requests(&self, engine: usize) -> u32 {
        let id = &self.engines[engine].entry.id;
        let at = |host: &Host| host.tracker.local().get(id).copied().unwrap_or_default().requests;
        self.hosts.iter().map(at).sum()
    }
}

#[test]
fn freed_capacity_for_three_is_not_used_by_all_waiting_requests() {
    for count in [9, 76] {
        let mut fleet = Fleet::new(count);
        let freed = fleet.engines[0].entry.id.clone();
        for now_ms in 0..500 {
            fleet.deliver(now_ms);
            fleet.send_full_reports(now_ms);
            // Act: long generations end at one engine, which then has free capacity for three others.
            if now_ms == 100 {
                let tracker = &mut fleet.hosts[0].tracker;
                tracker.end(&freed, 17_500, 0);
                tracker.begin(&freed, 7_000, 0);
                fleet.send_partial_report(0, &freed, now_ms);
            }
            if now_ms > 50 {
                fleet.place_waiting(now_ms);
            }
        }

        // Assert: the remaining one, three that fit, and at most one chosen before the reports arrived.
        let requests = fleet.requests(0);
        assert!((4..=5).contains(&requests), "{count} hosts: {requests}");
    }
}

/// Requests at an engine that becomes empty while requests at many hosts wait and look for room in the same instant.
fn requests_after_a_rush(confirms: bool) -> (u32, u32) {
    let mut fleet = Fleet::new(76);
    fleet.hosts.iter_mut().for_each(|host| host.retry_phase_ms = 0);
    let (freed, mut most) = (fleet.engines[0].entry.id.clone(), 0);
    for now_ms in 0..500 {
        fleet.deliver(now_ms);
        fleet.send_full_reports(now_ms);
        if now_ms == 90 {
            fleet.hosts[0].tracker.end(&freed, 17_500, 0);
            fleet.send_partial_report(0, &freed, now_ms);
        }
        if confirms {
            fleet.confirm_places(now_ms);
        }
        if now_ms > 50 {
            fleet.place_waiting(now_ms);
        }
        let confirmed = |host: &&Host| !confirms || host.reserved.is_none();
        let id = &fleet.engines[0].entry.id;
        let held = fleet.hosts.iter().filter(confirmed);
        let held = held.map(|host| host.tracker.own_requests(id)).sum::<u32>();
        most = most.max(held);
    }
    (most, fleet.requests(0))
}

/// Guards against prompts that queue for seconds at one engine, since each host saw it empty.
#[test]
fn hosts_that_choose_an_empty_engine_in_the_same_instant_confirm_their_places() {
    let (rushed, _) = requests_after_a_rush(false);
    assert!(rushed > 12, "without a confirmation, most of the 25 that wait: {rushed}");

    let (most, settled) = requests_after_a_rush(true);
    assert!(most <= 5, "prompts that are prefilled within the objective: {most}");
    assert!(settled >= 1, "the engine is used: {settled}");
}

/// Guards against refused callers that return in the same instant, or when their objective cannot be met any more.
#[test]
fn refused_callers_return_spread_while_their_objective_can_be_met() {
    let goal = Goal { objective_ms: 1_800, elapsed_ms: 230, service_ms: 430 };
    let returns = |goal: Goal| (0..1_000).map(move |sample| goal.return_ms(sample * 7_919));
    assert!(returns(goal).all(|ms| ms >= 100 && 230 + ms + 430 < 1_800));
    let most = (0..1_000).map(|from| returns(goal).filter(|ms| ms / 50 == from).count()).max();
    assert!(most <= Some(150), "within 50 ms: {most:?}");

    let late = Goal { elapsed_ms: 1_500, ..goal };
    assert!(returns(late).all(|ms| (900..=1_800).contains(&ms)), "after the others");
    let call = Goal { objective_ms: 150, elapsed_ms: 1, service_ms: 0 };
    assert!(returns(call).all(|ms| (100..=150).contains(&ms)));
}

#[test]
fn full_reports_make_up_for_growth_and_lost_datagrams() {
    let id = servers(1)[0].entry.id.clone();
    let load = |tokens| Load { requests: 1, tokens, prefill_tokens: 0 };
    let mut reporter = Reporter::new(1);
    let local = HashMap::from([(id.clone(), load(3_000))]);
    let begun = reporter.partial_report(&local, HashSet::from([id.clone()]));
    assert_eq!((begun.full, begun.loads.get(&id)), (false, Some(&load(3_000))));

    assert_eq!(reporter.full_report(&local, 75, 100), None, "everything was reported");
    assert_eq!(reporter.due_ms(), 475, "200 datagrams a second to 75 hosts");
    let grown = HashMap::from([(id.clone(), load(3_100))]);
    let report = reporter.full_report(&grown, 75, 475).expect("a report");
    assert!(report.full && report.stamp.supersedes(begun.stamp));
    assert!(reporter.full_report(&grown, 75, 1_000).is_some(), "the report is repeated");
}
