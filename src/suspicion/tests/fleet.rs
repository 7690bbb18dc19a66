//! Many hosts that choose the servers with the fewest open requests, some of which break off what they are sent.

use std::collections::VecDeque;

use super::*;
use crate::placement::Random;

/// Time until a message of another host arrives, in milliseconds.
const MESSAGE_MS: u64 = 3;

/// Time of a request at a server that serves it, in milliseconds.
const SERVICE_MS: u64 = 150;

/// Time until a server breaks off a request, in milliseconds.
const BREAK_MS: u64 = 10;

/// Requests that servers may lose while three of them break off requests for 8 s: the users' target.
const MAX_LOST: usize = 30;

/// How long servers break off requests, in milliseconds.
const FAULT_MS: u64 = 8_000;

enum Event {
    /// A request of `host` to `server` that was sent at `sent_ms` ends.
    Ended { host: usize, server: usize, sent_ms: u64, may_repeat: bool },
    /// What `host` has seen of `server` arrives at the others.
    Heard { host: usize, server: usize, breaks: u32 },
}

struct Fleet {
    /// By host and server.
    states: Vec<Vec<State>>,
    /// Open requests at each server, as all hosts know them.
    open: Vec<u32>,
    events: VecDeque<(u64, Event)>,
    random: Random,
    now_ms: u64,
    /// Requests that must not be repeated and were broken off.
    lost: usize,
    /// Requests that each server was sent.
    sent: Vec<usize>,
}

impl Fleet {
    fn new(hosts: usize, servers: usize, seed: u64) -> Self {
        Self {
            states: vec![vec![State::new(); servers]; hosts],
            open: vec![0; servers],
            events: VecDeque::new(),
            random: Random::new(seed),
            now_ms: 0,
            lost: 0,
            sent: vec![0; servers],
        }
    }

    /// Plays until `until_ms` with one request in each interval. `is_broken` says whether the server breaks off a request of
    /// the host.
    fn run(&mut self, until_ms: u64, interval_ms: u64, is_broken: impl Fn(usize, usize) -> bool) {
        while self.now_ms < until_ms {
            while let Some(index) = self.events.iter().position(|(at, _)| *at <= self.now_ms) {
                let (_, event) = self.events.remove(index).expect("an event");
                self.apply(event, &is_broken);
            }
            if self.now_ms.is_multiple_of(interval_ms) {
                self.send(&is_broken);
            }
            self.now_ms += 1;
        }
    }

    fn send(&mut self, is_broken: impl Fn(usize, usize) -> bool) {
        let host = self.random.below(self.states.len());
        let may_repeat = self.random.below(2) == 0;
        let states = &self.states[host];
        let suspected = states.iter().filter(|state| state.is_suspected()).count();
        let is_ignored = suspected > max_set_aside(states.len());
        let is_allowed =
            |server: &usize| is_ignored || !states[*server].is_set_aside(may_repeat, self.now_ms);
        let start = self.random.below(states.len());
        let servers = (0..states.len()).map(|index| (start + index) % states.len());
        let server = servers.filter(is_allowed).min_by_key(|server| self.open[*server]);
        let server = server.expect("a server that is not set aside");
        self.states[host][server].record_sent(self.now_ms);
        self.open[server] += 1;
        self.sent[server] += 1;
        let ends_ms = if is_broken(host, server) { BREAK_MS } else { SERVICE_MS };
        let ended = Event::Ended { host, server, sent_ms: self.now_ms, may_repeat };
        self.events.push_back((self.now_ms + ends_ms, ended));
    }

    fn apply(&mut self, event: Event, is_broken: impl Fn(usize, usize) -> bool) {
        match event {
            Event::Ended { host, server, sent_ms, may_repeat } => {
                self.open[server] -= 1;
                let state = &mut self.states[host][server];
                let news = if is_broken(host, server) {
                    self.lost += usize::from(!may_repeat);
                    Some(state.record_break(host, self.now_ms))
                } else {
                    state.record_response(sent_ms).then_some(0)
                };
                if let Some(breaks) = news {
                    let heard = Event::Heard { host, server, breaks };
                    self.events.push_back((self.now_ms + MESSAGE_MS, heard));
                }
            }
            Event::Heard { host, server, breaks } => {
                for (other, states) in self.states.iter_mut().enumerate() {
                    let state = &mut states[server];
                    if other != host && breaks == 0 {
                        state.hear_response();
                    } else if other != host {
                        state.hear_break(&super::host(host), breaks, other, self.now_ms);
                    }
                }
            }
        }
    }
}

/// A request every 6 ms is what the users' 76 hosts get.
#[test]
fn servers_that_break_off_all_requests_lose_few() {
    for (hosts, servers, seed) in [(9, 11, 1), (61, 45, 2), (76, 60, 3), (300, 122, 4)] {
        let mut fleet = Fleet::new(hosts, servers, seed);
        fleet.run(FAULT_MS, 6, |_, server| server < 3);
        assert!(fleet.lost <= MAX_LOST, "{hosts} hosts: {} lost", fleet.lost);
    }
}

#[test]
fn a_server_that_recovers_is_used_again() {
    for hosts in [9, 61, 300] {
        let mut fleet = Fleet::new(hosts, 11, 5);
        fleet.run(FAULT_MS, 6, |_, server| server == 0);
        let longest_pause_ms = FIRST_INTERVAL_MS << MAX_DOUBLINGS;
        fleet.run(FAULT_MS + 2 * longest_pause_ms, 6, |_, _| false);
        assert!(fleet.states.iter().all(|states| states[0].is_clear()), "{hosts} hosts");
    }
}

#[test]
fn all_servers_are_used_if_all_break_off_requests() {
    let mut fleet = Fleet::new(61, 45, 6);
    fleet.run(FAULT_MS, 6, |_, _| true);
    assert!(fleet.sent.iter().all(|sent| *sent > 0));
    let sent: usize = fleet.sent.iter().sum();
    assert!(fleet.sent.iter().all(|server| *server < sent / 10), "{:?}", fleet.sent);
}

#[test]
fn one_host_with_broken_links_sets_no_server_aside_for_others() {
    let mut fleet = Fleet::new(9, 11, 7);
    fleet.run(FAULT_MS, 6, |host, _| host == 0);
    let suspected = fleet.states[1..].iter().flatten().filter(|state| state.is_suspected());
    assert_eq!(suspected.count(), 0);
}
