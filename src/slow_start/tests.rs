//! Tests of slow start, and replays of the requests that several hosts send to one server.

use rand::rngs::StdRng;
use rand::{RngExt as _, SeedableRng as _};

use super::*;

const SLOTS: u32 = 24;

/// Time until a response of a server without load, in milliseconds.
const RESPONSE_MS: u64 = 200;

/// Objective of the requests, in milliseconds.
const OBJECTIVE_MS: u64 = 600;

/// The window of the host with `rank` of `hosts`, for a server that began at 1,000 ms.
fn window(rank: usize, hosts: usize) -> Window {
    let mut window = Window::new();
    window.begin(SLOTS, 1_000);
    window.set_position(rank, hosts, 1_000);
    window
}

/// The requests that the host may send to a server with other requests.
fn room(window: &Window) -> usize {
    let mut window = *window;
    let may_send = |_: &usize| {
        let has_room = window.has_room(false, 1_000);
        window.enter();
        has_room
    };
    (0..100).take_while(may_send).count()
}

/// Guards against hosts that each send a first request, or none.
#[test]
fn a_few_hosts_have_a_part_of_the_window_at_its_start() {
    for hosts in [1, 3, 9, 72, 300] {
        let rooms: Vec<_> = (0..hosts).map(|rank| room(&window(rank, hosts))).collect();
        assert_eq!(rooms.iter().sum::<usize>(), hosts.min(4), "{hosts} hosts");
    }
}

/// Guards against an idle server that no host with requests may use, and against all hosts finding it idle together.
#[test]
fn a_host_without_a_part_uses_an_idle_server_in_its_turn() {
    let window = window(30, 72);
    assert!(!window.has_room(false, 60_000) && !window.has_room(true, 1_599));
    assert!(window.has_room(true, 1_600));
    let last = self::window(299, 300);
    assert!(last.has_room(true, 1_000 + MAX_TURN_MS));
}

/// Guards against a window that grows, shrinks or ends with time alone, which would flood a server after a quiet hour.
#[test]
fn a_window_does_not_change_without_responses() {
    let mut window = window(0, 1);
    window.record(Outcome::Good, SLOTS, 1_000, 1_200);
    let before = window.requests();
    window.set_position(0, 1, 3_600_000);
    assert!(window.is_active());
    assert_eq!((window.requests(), room(&window)), (before, 2));
}

/// Guards against requests that were sent together and end the window when they fail together.
#[test]
fn a_bad_response_halves_the_window_once_per_round() {
    let mut window = window(0, 1);
    for _ in 0..9 {
        window.record(Outcome::Good, SLOTS, 1_100, 1_200);
    }
    assert_eq!(window.record(Outcome::Bad, SLOTS, 1_300, 1_400), Some(Change::Reduced(5)));
    assert_eq!(window.record(Outcome::Bad, SLOTS, 1_310, 1_410), None);
    assert_eq!(window.record(Outcome::Bad, SLOTS, 1_400, 1_500), Some(Change::Reduced(2)));
    for at_ms in [1_600, 1_700, 1_800] {
        window.record(Outcome::Bad, SLOTS, at_ms, at_ms);
    }
    assert_eq!(window.requests(), Some(1));
}

/// Guards against a server that recovers into a flood, and against one that fails again in its window.
#[test]
fn a_server_that_answers_after_failures_begins_again() {
    let mut window = Window::new();
    window.note_score(1.0);
    assert_eq!(window.record(Outcome::Good, SLOTS, 0, 10), None, "one failure is none");
    window.note_score(1.9);
    assert!(!window.is_active() && window.record(Outcome::Bad, SLOTS, 0, 20).is_none());
    assert_eq!(window.record(Outcome::Good, SLOTS, 30, 40), Some(Change::Began));
    window.set_position(0, 1, 50);
    window.record(Outcome::Good, SLOTS, 50, 60);
    window.note_score(1.5);
    assert_eq!(window.record(Outcome::Bad, SLOTS, 60, 70), Some(Change::Reduced(1)));
    assert_eq!(window.record(Outcome::Good, SLOTS, 80, 90), Some(Change::Began));
}

/// Guards against a host that restarts and sends without a limit, and against implausible messages.
#[test]
fn a_host_takes_its_share_of_a_window_that_it_was_told() {
    let mut window = Window::new();
    assert!(window.hear(Change::Grown(12), SLOTS, 10_000));
    window.set_position(5, 6, 10_000);
    assert_eq!(room(&window), 2);
    window.hear(Change::Reduced(0), SLOTS, 10_100);
    assert_eq!(window.requests(), Some(1));
    assert!(window.hear(Change::Grown(u32::MAX), SLOTS, 10_200) && !window.is_active());
    window.hear(Change::Reduced(3), SLOTS, 10_300);
    assert!(!window.is_active(), "sent before the end");
}

/// Several hosts, and one server that runs `capacity` requests at the usual speed and takes longer with more.
struct Fleet {
    windows: Vec<Window>,
    capacity: usize,
    /// When each response arrives, its host and when its request was sent.
    running: Vec<(u64, usize, u64)>,
    /// When each message arrives, its receiver and the change.
    messages: Vec<(u64, usize, Change)>,
    random: StdRng,
    /// Most requests at the server at the same time.
    most: usize,
    /// When the last host ended slow start.
    ended_ms: Option<u64>,
}

impl Fleet {
    /// A server that joins at 0 ms.
    fn new(hosts: usize, capacity: usize) -> Self {
        let new = |rank| {
            let mut window = Window::new();
            window.begin(SLOTS, 0);
            window.set_position(rank, hosts, 0);
            window
        };
        Self {
            windows: (0..hosts).map(new).collect(),
            capacity,
            running: Vec::new(),
            messages: Vec::new(),
            random: StdRng::seed_from_u64(hosts as u64),
            most: 0,
            ended_ms: None,
        }
    }

    /// Requests for the server arrive at random hosts, `per_ms` of them in each millisecond, until slow start has ended.
    fn run(&mut self, per_ms: usize, (from_ms, to_ms): (u64, u64)) {
        for now_ms in from_ms..to_ms {
            self.deliver(now_ms);
            for _ in 0..per_ms {
                let host = self.random.random_range(0..self.windows.len());
                // Other hosts learn of a request some milliseconds later.
                let known = self.running.iter().filter(|(_, _, sent_ms)| sent_ms + 5 < now_ms);
                let is_idle = known.count() == 0;
                let window = &mut self.windows[host];
                if window.is_active() && window.has_room(is_idle, now_ms) {
                    window.enter();
                    let rounds =
                        1.0_f64.max((self.running.len() + 1) as f64 / self.capacity as f64);
                    let due_ms = now_ms + (RESPONSE_MS as f64 * rounds) as u64;
                    self.running.push((due_ms, host, now_ms));
                }
            }
            self.most = self.most.max(self.running.len());
            if self.ended_ms.is_none() && self.windows.iter().all(|window| !window.is_active()) {
                self.ended_ms = Some(now_ms);
            }
        }
    }

    fn deliver(&mut self, now_ms: u64) {
        let is_due = |at_ms: u64| at_ms <= now_ms;
        for (_, host, change) in self.messages.extract_if(.., |message| is_due(message.0)) {
            self.windows[host].hear(change, SLOTS, now_ms);
        }
        let done: Vec<_> = self.running.extract_if(.., |request| is_due(request.0)).collect();
        for (_, host, sent_ms) in done {
            let outcome = Outcome::new(now_ms - sent_ms, OBJECTIVE_MS);
            self.windows[host].leave();
            let Some(change) = self.windows[host].record(outcome, SLOTS, sent_ms, now_ms) else {
                continue;
            };
            for other in (0..self.windows.len()).filter(|other| *other != host) {
                if !self.random.random_bool(0.02) {
                    self.messages.push((now_ms + 3, other, change));
                }
            }
        }
    }
}

/// Guards against hosts that flood a server which joins at peak load, and against one that is left idle, with few hosts
/// and many. The servers of a domain that returns are each such a server.
#[test]
fn a_server_that_joins_at_peak_load_is_neither_flooded_nor_left_idle() {
    for hosts in [1, 9, 72, 300] {
        let mut fleet = Fleet::new(hosts, SLOTS as usize);
        fleet.run(2, (0, 100));
        assert!((1..=6).contains(&fleet.most), "{hosts} hosts: {}", fleet.most);
        fleet.run(2, (100, 4_000));
        assert!(fleet.most <= 2 * SLOTS as usize, "{hosts} hosts: {}", fleet.most);
        let most_ended = fleet.windows.iter().filter(|window| !window.is_active()).count();
        assert!(most_ended * 10 >= hosts * 9, "{hosts} hosts: {most_ended}");
    }
}

/// Guards against a slow server that is held at its start, or driven beyond what it does within the objective.
#[test]
fn a_slow_server_gets_what_it_does_within_the_objective() {
    for hosts in [9, 72] {
        let mut fleet = Fleet::new(hosts, 4);
        fleet.run(2, (0, 10_000));
        let windows = fleet.windows.iter().filter_map(Window::requests);
        let most = windows.max().unwrap_or(u32::MAX);
        assert!((2..SLOTS).contains(&most), "{hosts} hosts: {most}");
        assert!(fleet.most <= 20, "{hosts} hosts: {}", fleet.most);
    }
}
