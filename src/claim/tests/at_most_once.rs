//! Calls run at most once under single, paired and random failures.

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

use super::fixture::{Faults, Simulation, TestHost, run, start_hosts};
use crate::claim::call::DISPATCH_WINDOW_MS;
use crate::claim::{Call, Completed, Failure, Key, Reply, Status, Verdict};
use crate::fingerprint::Fingerprint;
use crate::name;

const SEEDS: u64 = 40;
const HOSTS: usize = 4;
const CALLERS: usize = 3;
const ATTEMPTS_PER_CALLER: usize = 6;
const FREEZE_TIME: Duration = Duration::from_secs(12);
const DISPATCH_WINDOW: Duration = Duration::from_millis(DISPATCH_WINDOW_MS as u64);

/// When a host is killed or frozen.
#[derive(Clone, Copy, PartialEq)]
enum FailurePoint {
    Never,
    BeforeDispatch,
    AfterDispatch,
    AfterReply,
    Owner,
}

#[derive(Clone, Copy)]
struct Scenario {
    name: &'static str,
    faults: Faults,
    kill: FailurePoint,
    freeze: FailurePoint,
    split_ownership: bool,
}

const NO_FAULTS: Faults = Faults {
    lost_probability: 0.0,
    extra_delay_ms: 0,
    unreachable_probability: 0.0,
    outage_ms: (0, 0),
    outage_hangs: false,
};
const LOST: Faults = Faults { lost_probability: 0.3, ..NO_FAULTS };
const SLOW: Faults = Faults { extra_delay_ms: 400, ..NO_FAULTS };
const VERY_SLOW: Faults = Faults { extra_delay_ms: 2_500, ..NO_FAULTS };
const DOWN: Faults = Faults { outage_ms: (5, 3_000), ..NO_FAULTS };
const HANGING: Faults = Faults { outage_hangs: true, ..DOWN };
const UNREACHABLE: Faults = Faults { unreachable_probability: 0.5, ..NO_FAULTS };
const NO_FAILURE: Scenario = Scenario {
    name: "none",
    faults: NO_FAULTS,
    kill: FailurePoint::Never,
    freeze: FailurePoint::Never,
    split_ownership: false,
};

fn scenarios() -> Vec<Scenario> {
    use FailurePoint::{AfterDispatch, AfterReply, BeforeDispatch, Owner};
    vec![
        NO_FAILURE,
        Scenario { name: "answers lost", faults: LOST, ..NO_FAILURE },
        Scenario { name: "log slow", faults: SLOW, ..NO_FAILURE },
        Scenario { name: "log very slow", faults: VERY_SLOW, ..NO_FAILURE },
        Scenario { name: "log down", faults: DOWN, ..NO_FAILURE },
        Scenario { name: "log hangs", faults: HANGING, ..NO_FAILURE },
        Scenario { name: "links cut", faults: UNREACHABLE, ..NO_FAILURE },
        Scenario { name: "two owners", split_ownership: true, ..NO_FAILURE },
        Scenario { name: "owner killed", kill: Owner, ..NO_FAILURE },
        Scenario { name: "owner frozen", freeze: Owner, ..NO_FAILURE },
        Scenario { name: "holder killed before dispatch", kill: BeforeDispatch, ..NO_FAILURE },
        Scenario { name: "holder killed after dispatch", kill: AfterDispatch, ..NO_FAILURE },
        Scenario { name: "holder killed after reply", kill: AfterReply, ..NO_FAILURE },
        Scenario { name: "holder frozen before dispatch", freeze: BeforeDispatch, ..NO_FAILURE },
        Scenario { name: "holder frozen after dispatch", freeze: AfterDispatch, ..NO_FAILURE },
        Scenario {
            name: "two owners, answers lost",
            faults: LOST,
            split_ownership: true,
            ..NO_FAILURE
        },
        Scenario { name: "owner killed, log slow", faults: SLOW, kill: Owner, ..NO_FAILURE },
        Scenario {
            name: "owner killed, holder frozen",
            kill: Owner,
            freeze: BeforeDispatch,
            ..NO_FAILURE
        },
        Scenario {
            name: "holder killed, log down",
            faults: DOWN,
            kill: AfterDispatch,
            ..NO_FAILURE
        },
        Scenario {
            name: "holder frozen, log hangs",
            faults: HANGING,
            freeze: BeforeDispatch,
            ..NO_FAILURE
        },
        Scenario {
            name: "links cut, log slow",
            faults: Faults { unreachable_probability: 0.5, ..SLOW },
            ..NO_FAILURE
        },
    ]
}

/// A backend service that counts executions per attempt.
#[derive(Default)]
struct Backend {
    executions: Mutex<HashMap<usize, u32>>,
    killed: AtomicBool,
    frozen: AtomicBool,
    late_dispatches: Mutex<u32>,
}

impl Backend {
    fn total(&self) -> u32 {
        self.executions.lock().unwrap().values().sum()
    }

    fn executions_of(&self, attempt: usize) -> u32 {
        self.executions.lock().unwrap().get(&attempt).copied().unwrap_or(0)
    }

    fn execute(&self, attempt: usize, age: Duration) {
        *self.executions.lock().unwrap().entry(attempt).or_default() += 1;
        *self.late_dispatches.lock().unwrap() += u32::from(age > DISPATCH_WINDOW);
    }

    /// Kills or freezes the first host that reaches `point`, as `scenario` says.
    async fn inject_fault(&self, scenario: Scenario, point: FailurePoint, host: &TestHost) {
        if scenario.freeze == point && !self.frozen.swap(true, Ordering::Relaxed) {
            host.health.freeze(FREEZE_TIME);
        }
        if scenario.kill == point && !self.killed.swap(true, Ordering::Relaxed) {
            host.health.kill();
        }
        host.health.wait_until_running().await;
    }
}

struct Case {
    scenario: Scenario,
    simulation: Arc<Simulation>,
    hosts: Vec<TestHost>,
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
    fn new(seed: u64, scenario: Scenario) -> Arc<Self> {
        let simulation = Simulation::new(seed, scenario.faults);
        let hosts = start_hosts(&simulation, HOSTS, scenario.split_ownership);
        let key = Key::new(simulation.now_ms(), u128::from(seed));
        Arc::new(Self { scenario, simulation, hosts, backend: Arc::default(), key })
    }

    /// Sends one request through one host; `None` if no response arrived in time.
    async fn send(self: &Arc<Self>, attempt: usize, host: usize) -> Option<Verdict<usize>> {
        timeout(Duration::from_secs(7), self.clone().run_call(attempt, host)).await.ok()
    }

    async fn run_call(self: Arc<Self>, attempt: usize, host: usize) -> Verdict<usize> {
        let host = self.hosts[host].clone();
        let call = Call {
            organisation: organisation(),
            key: self.key,
            fingerprint: Fingerprint::new("POST", "/swap", b"one"),
            timeout_ms: 2_000,
        };
        let case = self.clone();
        host.health.wait_until_running().await;
        let sent = Instant::now();
        let dispatch = {
            let host = host.clone();
            move |window: crate::claim::DispatchWindow<_>| async move {
                case.backend.inject_fault(case.scenario, FailurePoint::BeforeDispatch, &host).await;
                if !window.is_open() {
                    return Err(Failure::NotSent);
                }
                case.backend.execute(attempt, sent.elapsed());
                sleep(Duration::from_millis(20 + case.simulation.random_below(200))).await;
                case.backend.inject_fault(case.scenario, FailurePoint::AfterDispatch, &host).await;
                if case.scenario.kill == FailurePoint::AfterReply {
                    tokio::spawn(async move {
                        sleep(Duration::from_millis(30)).await;
                        host.health.kill();
                    });
                }
                Ok(Completed { response: attempt, reply: reply(attempt) })
            }
        };
        let verdict = host.claims.run(call, dispatch).await;
        host.health.wait_until_running().await;
        verdict
    }

    /// Retries at other hosts until a verdict is final, and returns all verdicts.
    async fn call(self: Arc<Self>, caller: usize) -> Vec<(usize, Verdict<usize>)> {
        let mut verdicts = Vec::new();
        for number in 0..ATTEMPTS_PER_CALLER {
            let attempt = caller * ATTEMPTS_PER_CALLER + number;
            sleep(Duration::from_millis(self.simulation.random_below(30))).await;
            let Some(verdict) = self.send(attempt, self.entry_host(attempt)).await else {
                continue;
            };
            let retry_after_s = verdict.retry_after_s();
            verdicts.push((attempt, verdict));
            let Some(retry_after_s) = retry_after_s else { break };
            sleep(Duration::from_secs(retry_after_s)).await;
        }
        verdicts
    }

    /// Index of the host that receives an attempt. Skips an owner that is to fail, so that the holder survives.
    fn entry_host(&self, attempt: usize) -> usize {
        if self.scenario.kill == FailurePoint::Owner || self.scenario.freeze == FailurePoint::Owner
        {
            return 1 + attempt % (HOSTS - 1);
        }
        attempt % HOSTS
    }

    async fn fail_owner(self: Arc<Self>) {
        sleep(Duration::from_millis(self.simulation.random_below(300))).await;
        if self.scenario.kill == FailurePoint::Owner {
            self.hosts[0].health.kill();
        }
        if self.scenario.freeze == FailurePoint::Owner {
            self.hosts[0].health.freeze(FREEZE_TIME);
        }
    }

    fn check(&self, verdicts: &[(usize, Verdict<usize>)], label: &str) {
        assert!(self.backend.total() <= 1, "{label}: ran {} times", self.backend.total());
        assert_eq!(*self.backend.late_dispatches.lock().unwrap(), 0, "{label}: dispatched late");
        for (attempt, verdict) in verdicts {
            let ran = self.backend.executions_of(*attempt);
            match verdict {
                Verdict::Ran(response) => assert_eq!((*response, ran), (*attempt, 1), "{label}"),
                Verdict::Recorded(recorded) => assert_eq!(*recorded, self.recorded(), "{label}"),
                Verdict::Unknown { .. } => {}
                other => assert_eq!(ran, 0, "{label}: {other:?}"),
            }
            let is_final =
                matches!(verdict, Verdict::Ran(_) | Verdict::Recorded(_) | Verdict::Conflict);
            assert_eq!(verdict.retry_after_s().is_none(), is_final, "{label}");
        }
    }

    fn recorded(&self) -> Reply {
        reply(*self.backend.executions.lock().unwrap().keys().next().unwrap())
    }

    async fn status(&self) -> Status {
        let running = self.hosts.iter().rfind(|host| !host.health.is_dead()).unwrap();
        running.claims.outcome(&organisation(), self.key).await
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

/// The final status and the counts of one simulated run.
struct RunResult {
    status: Status,
    unknown_verdicts: usize,
    executions: u32,
}

fn run_scenario(seed: u64, scenario: Scenario) -> RunResult {
    let label = format!("{} seed {seed}", scenario.name);
    run(async {
        let case = Case::new(seed, scenario);
        let mut callers = JoinSet::new();
        tokio::spawn(case.clone().fail_owner());
        for caller in 0..CALLERS {
            callers.spawn(case.clone().call(caller));
        }
        let verdicts = callers.join_all().await.concat();
        sleep(Duration::from_secs(40)).await;
        *case.simulation.faults.lock().unwrap() = NO_FAULTS;
        sleep(Duration::from_secs(20)).await;
        case.check(&verdicts, &label);
        let status = case.status().await;
        case.check_status(&status, &label);
        let unknown = verdicts.iter().filter(|(_, v)| matches!(v, Verdict::Unknown { .. })).count();
        RunResult { status, unknown_verdicts: unknown, executions: case.backend.total() }
    })
}

#[test]
fn at_most_once_under_failures() {
    let mut table = String::from("runs, ran, done, not run, final unknown, unknown verdicts\n");
    for scenario in scenarios() {
        let results: Vec<RunResult> = (0..SEEDS).map(|seed| run_scenario(seed, scenario)).collect();
        let count = |test: fn(&RunResult) -> bool| results.iter().filter(|e| test(e)).count();
        let ran = count(|e| e.executions == 1);
        let done = count(|e| matches!(e.status, Status::Done(_)));
        let not_run = count(|e| e.status == Status::NotRun);
        let unknown = count(|e| e.status == Status::Unknown);
        let unknown_verdicts: usize = results.iter().map(|e| e.unknown_verdicts).sum();
        let name = scenario.name;
        writeln!(table, "{name}: {SEEDS}, {ran}, {done}, {not_run}, {unknown}, {unknown_verdicts}")
            .unwrap();
    }
    insta::assert_snapshot!(table);
}

/// A scenario of several faults drawn from `seed`.
fn random_scenario(seed: u64) -> Scenario {
    use FailurePoint::{AfterDispatch, AfterReply, BeforeDispatch, Never, Owner};
    let mut random = StdRng::seed_from_u64(seed);
    let points = [Never, BeforeDispatch, AfterDispatch, AfterReply, Owner];
    let from_ms = random.random_range(0..3_000);
    let faults = Faults {
        lost_probability: random.random_range(0.0..0.5),
        extra_delay_ms: random.random_range(0..800),
        unreachable_probability: random.random_range(0.0..0.6),
        outage_ms: (from_ms, from_ms + random.random_range(0..10_000)),
        outage_hangs: random.random(),
    };
    let kill = points[random.random_range(0..points.len())];
    let freeze = points[random.random_range(0..points.len())];
    Scenario { name: "several", faults, kill, freeze, split_ownership: random.random() }
}

#[test]
fn at_most_once_under_several_failures() {
    let results: Vec<RunResult> =
        (0..400).map(|seed| run_scenario(seed, random_scenario(seed))).collect();
    let ran = results.iter().filter(|result| result.executions == 1).count();
    assert!(ran > 100, "only {ran} ran");
}
