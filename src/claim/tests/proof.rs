//! At most once, under each failure and under two at a time.

use std::collections::HashMap;
use std::fmt::Write as _;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use super::fixture::{Node, Noise, Platform, fleet, run};
use crate::claim::call::DISPATCH_WINDOW_MS;
use crate::claim::{Call, Completed, Failure, Fingerprint, Key, Reply, Status, Verdict};
use crate::name;

const SEEDS: u64 = 40;
const HOSTS: usize = 4;
const CALLERS: usize = 3;
const TRIES: usize = 6;
const FREEZE: Duration = Duration::from_secs(12);
const DISPATCH: Duration = Duration::from_millis(DISPATCH_WINDOW_MS as u64);

/// When a host is killed or frozen.
#[derive(Clone, Copy, PartialEq)]
enum Point {
    Never,
    BeforeDispatch,
    AfterDispatch,
    AfterReply,
    Owner,
}

#[derive(Clone, Copy)]
struct Fault {
    name: &'static str,
    noise: Noise,
    kill: Point,
    freeze: Point,
    split: bool,
}

const QUIET: Noise = Noise { lost: 0.0, slow_ms: 0, cut: 0.0, down_ms: (0, 0), hangs: false };
const LOST: Noise = Noise { lost: 0.3, ..QUIET };
const SLOW: Noise = Noise { slow_ms: 400, ..QUIET };
const CRAWL: Noise = Noise { slow_ms: 2_500, ..QUIET };
const DOWN: Noise = Noise { down_ms: (5, 3_000), ..QUIET };
const HUNG: Noise = Noise { hangs: true, ..DOWN };
const CUT: Noise = Noise { cut: 0.5, ..QUIET };
const NONE: Fault =
    Fault { name: "none", noise: QUIET, kill: Point::Never, freeze: Point::Never, split: false };

fn faults() -> Vec<Fault> {
    use Point::{AfterDispatch, AfterReply, BeforeDispatch, Owner};
    vec![
        NONE,
        Fault { name: "answers lost", noise: LOST, ..NONE },
        Fault { name: "log slow", noise: SLOW, ..NONE },
        Fault { name: "log very slow", noise: CRAWL, ..NONE },
        Fault { name: "log down", noise: DOWN, ..NONE },
        Fault { name: "log hangs", noise: HUNG, ..NONE },
        Fault { name: "links cut", noise: CUT, ..NONE },
        Fault { name: "two owners", split: true, ..NONE },
        Fault { name: "owner killed", kill: Owner, ..NONE },
        Fault { name: "owner frozen", freeze: Owner, ..NONE },
        Fault { name: "holder killed before dispatch", kill: BeforeDispatch, ..NONE },
        Fault { name: "holder killed after dispatch", kill: AfterDispatch, ..NONE },
        Fault { name: "holder killed after reply", kill: AfterReply, ..NONE },
        Fault { name: "holder frozen before dispatch", freeze: BeforeDispatch, ..NONE },
        Fault { name: "holder frozen after dispatch", freeze: AfterDispatch, ..NONE },
        Fault { name: "two owners, answers lost", noise: LOST, split: true, ..NONE },
        Fault { name: "owner killed, log slow", noise: SLOW, kill: Owner, ..NONE },
        Fault { name: "owner killed, holder frozen", kill: Owner, freeze: BeforeDispatch, ..NONE },
        Fault { name: "holder killed, log down", noise: DOWN, kill: AfterDispatch, ..NONE },
        Fault { name: "holder frozen, log hangs", noise: HUNG, freeze: BeforeDispatch, ..NONE },
        Fault { name: "links cut, log slow", noise: Noise { cut: 0.5, ..SLOW }, ..NONE },
    ]
}

/// A plain service that counts executions by the attempt that caused them.
#[derive(Default)]
struct Backend {
    executions: Mutex<HashMap<usize, u32>>,
    killed: AtomicBool,
    frozen: AtomicBool,
    late: Mutex<u32>,
}

impl Backend {
    fn total(&self) -> u32 {
        self.executions.lock().unwrap().values().sum()
    }

    fn of(&self, attempt: usize) -> u32 {
        self.executions.lock().unwrap().get(&attempt).copied().unwrap_or(0)
    }

    fn execute(&self, attempt: usize, age: Duration) {
        *self.executions.lock().unwrap().entry(attempt).or_default() += 1;
        *self.late.lock().unwrap() += u32::from(age > DISPATCH);
    }

    /// Brings about the fault on the first host that reaches `point`.
    async fn strike(&self, fault: Fault, point: Point, node: &Node) {
        if fault.freeze == point && !self.frozen.swap(true, Ordering::Relaxed) {
            node.health.freeze(FREEZE);
        }
        if fault.kill == point && !self.killed.swap(true, Ordering::Relaxed) {
            node.health.kill();
        }
        node.health.gate().await;
    }
}

struct Case {
    fault: Fault,
    platform: Arc<Platform>,
    nodes: Vec<Node>,
    backend: Arc<Backend>,
    key: Key,
}

fn organisation() -> name::Organisation {
    name::Organisation::new("rumbo").unwrap()
}

fn reply(attempt: usize) -> Reply {
    Reply::new(200, [], Bytes::from(format!("by {attempt}")))
}

impl Case {
    fn new(seed: u64, fault: Fault) -> Arc<Self> {
        let platform = Platform::new(seed, fault.noise);
        let nodes = fleet(&platform, HOSTS, fault.split);
        let key = Key::new(platform.now_ms(), u128::from(seed));
        Arc::new(Self { fault, platform, nodes, backend: Arc::default(), key })
    }

    /// One request at one host; `None` if no answer came in time.
    async fn send(self: &Arc<Self>, attempt: usize, host: usize) -> Option<Verdict<usize>> {
        timeout(Duration::from_secs(7), self.clone().enter(attempt, host)).await.ok()
    }

    async fn enter(self: Arc<Self>, attempt: usize, host: usize) -> Verdict<usize> {
        let node = self.nodes[host].clone();
        let call = Call {
            organisation: organisation(),
            key: self.key,
            fingerprint: Fingerprint::new("POST", "/swap", b"one"),
            timeout_ms: 2_000,
        };
        let case = self.clone();
        node.health.gate().await;
        let sent = Instant::now();
        let dispatch = {
            let node = node.clone();
            move |permit: crate::claim::Permit<_>| async move {
                case.backend.strike(case.fault, Point::BeforeDispatch, &node).await;
                if !permit.is_valid() {
                    return Err(Failure::NotSent);
                }
                case.backend.execute(attempt, sent.elapsed());
                sleep(Duration::from_millis(20 + case.platform.draw(200))).await;
                case.backend.strike(case.fault, Point::AfterDispatch, &node).await;
                if case.fault.kill == Point::AfterReply {
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(30)).await;
                        node.health.kill();
                    });
                }
                Ok(Completed { response: attempt, reply: reply(attempt) })
            }
        };
        let verdict = node.claims.run(call, dispatch).await;
        node.health.gate().await;
        verdict
    }

    /// A caller that repeats at other hosts until it has a final answer; all its answers.
    async fn call(self: Arc<Self>, caller: usize) -> Vec<(usize, Verdict<usize>)> {
        let mut verdicts = Vec::new();
        for number in 0..TRIES {
            let attempt = caller * TRIES + number;
            sleep(Duration::from_millis(self.platform.draw(30))).await;
            let Some(verdict) = self.send(attempt, self.host(attempt)).await else { continue };
            let retry_after_s = verdict.retry_after_s();
            verdicts.push((attempt, verdict));
            let Some(retry_after_s) = retry_after_s else { break };
            sleep(Duration::from_secs(retry_after_s)).await;
        }
        verdicts
    }

    /// Where an attempt enters: not at an owner that is to fail, so that the holder lives.
    fn host(&self, attempt: usize) -> usize {
        if self.fault.kill == Point::Owner || self.fault.freeze == Point::Owner {
            return 1 + attempt % (HOSTS - 1);
        }
        attempt % HOSTS
    }

    async fn disturb(self: Arc<Self>) {
        sleep(Duration::from_millis(self.platform.draw(300))).await;
        if self.fault.kill == Point::Owner {
            self.nodes[0].health.kill();
        }
        if self.fault.freeze == Point::Owner {
            self.nodes[0].health.freeze(FREEZE);
        }
    }

    fn check(&self, verdicts: &[(usize, Verdict<usize>)], label: &str) {
        assert!(self.backend.total() <= 1, "{label}: ran {} times", self.backend.total());
        assert_eq!(*self.backend.late.lock().unwrap(), 0, "{label}: dispatched late");
        for (attempt, verdict) in verdicts {
            let ran = self.backend.of(*attempt);
            match verdict {
                Verdict::Ran(by) => assert_eq!((*by, ran), (*attempt, 1), "{label}"),
                Verdict::Recorded(recorded) => assert_eq!(*recorded, self.recorded(), "{label}"),
                Verdict::Unknown { .. } => {}
                other => assert_eq!(ran, 0, "{label}: {other:?}"),
            }
            let final_answer =
                matches!(verdict, Verdict::Ran(_) | Verdict::Recorded(_) | Verdict::Conflict);
            assert_eq!(verdict.retry_after_s().is_none(), final_answer, "{label}");
        }
    }

    fn recorded(&self) -> Reply {
        reply(*self.backend.executions.lock().unwrap().keys().next().unwrap())
    }

    async fn status(&self) -> Status {
        let living = self.nodes.iter().rfind(|node| !node.health.is_dead()).unwrap();
        living.claims.outcome(&organisation(), self.key).await
    }

    fn check_status(&self, status: &Status, label: &str) {
        match status {
            Status::Done(recorded) => assert_eq!(*recorded, self.recorded(), "{label}"),
            Status::NotRun => assert_eq!(self.backend.total(), 0, "{label}"),
            Status::Unknown => {}
            other => panic!("{label}: {other:?}"),
        }
    }
}

/// How a run ended: the answers and the final status.
struct Ending {
    status: Status,
    unknown_answers: usize,
    executions: u32,
}

fn play(seed: u64, fault: Fault) -> Ending {
    let label = format!("{} seed {seed}", fault.name);
    run(async {
        let case = Case::new(seed, fault);
        let mut callers = JoinSet::new();
        tokio::spawn(case.clone().disturb());
        for caller in 0..CALLERS {
            callers.spawn(case.clone().call(caller));
        }
        let verdicts = callers.join_all().await.concat();
        sleep(Duration::from_secs(40)).await;
        *case.platform.noise.lock().unwrap() = QUIET;
        sleep(Duration::from_secs(20)).await;
        case.check(&verdicts, &label);
        let status = case.status().await;
        case.check_status(&status, &label);
        let unknown = verdicts.iter().filter(|(_, v)| matches!(v, Verdict::Unknown { .. })).count();
        Ending { status, unknown_answers: unknown, executions: case.backend.total() }
    })
}

#[test]
fn at_most_once_under_failures() {
    let mut table = String::from("runs, ran, done, not run, unknown at last, unknown answers\n");
    for fault in faults() {
        let endings: Vec<Ending> = (0..SEEDS).map(|seed| play(seed, fault)).collect();
        let count = |test: fn(&Ending) -> bool| endings.iter().filter(|e| test(e)).count();
        let ran = count(|e| e.executions == 1);
        let done = count(|e| matches!(e.status, Status::Done(_)));
        let not_run = count(|e| e.status == Status::NotRun);
        let unknown = count(|e| e.status == Status::Unknown);
        let answers: usize = endings.iter().map(|e| e.unknown_answers).sum();
        let name = fault.name;
        writeln!(table, "{name}: {SEEDS}, {ran}, {done}, {not_run}, {unknown}, {answers}").unwrap();
    }
    insta::assert_snapshot!(table);
}

/// Several faults at once, drawn from `seed`.
fn random_fault(seed: u64) -> Fault {
    use Point::{AfterDispatch, AfterReply, BeforeDispatch, Never, Owner};
    let mut random = StdRng::seed_from_u64(seed);
    let points = [Never, BeforeDispatch, AfterDispatch, AfterReply, Owner];
    let from_ms = random.random_range(0..3_000);
    let noise = Noise {
        lost: random.random_range(0.0..0.5),
        slow_ms: random.random_range(0..800),
        cut: random.random_range(0.0..0.6),
        down_ms: (from_ms, from_ms + random.random_range(0..10_000)),
        hangs: random.random(),
    };
    let kill = points[random.random_range(0..points.len())];
    let freeze = points[random.random_range(0..points.len())];
    Fault { name: "several", noise, kill, freeze, split: random.random() }
}

#[test]
fn at_most_once_under_several_failures() {
    let endings: Vec<Ending> = (0..400).map(|seed| play(seed, random_fault(seed))).collect();
    let ran = endings.iter().filter(|ending| ending.executions == 1).count();
    assert!(ran > 100, "only {ran} ran");
}
