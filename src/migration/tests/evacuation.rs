//! Replays the evacuation of one engine: all its generations are copied over one link, which serves one copy after
//! another, and the engine shuts down 1.5 s after its notice.

use std::time::Duration;

use crate::migration::{Link, Plan, Run, Step, start_delay};

const LINK: Link = Link { token_bytes: 18_432, megabits_per_s: 2_700.0 };

/// Time from the notice until the engine shuts down, in milliseconds.
const NOTICE_MS: u64 = 1_500;

/// Time of a call to the engine, and of the set-up of a copy, in milliseconds.
const CALL_MS: u64 = 2;

/// Tokens that a running generation produces per second.
const TOKENS_PER_S: u64 = 250;

/// Longest pause that callers accept, in milliseconds.
const MAX_PAUSE_MS: u64 = 180;

/// Time from the end of the last copy until the first event of the target, in milliseconds.
const CONTINUATION_MS: u64 = 40;

/// What became of a generation.
#[derive(Debug, PartialEq, Eq)]
enum Outcome {
    Lost,
    Moved { pause_ms: u64 },
}

/// The migration of one generation.
struct Migration {
    plan: Plan,
    /// When its next copy is requested, in milliseconds after the notice.
    at_ms: u64,
    /// Tokens that no copy includes yet.
    uncopied: u64,
    stop: bool,
    outcome: Option<Outcome>,
}

fn run(index: usize, tokens: u64) -> Run {
    Run { id: format!("r-{index}").into(), tokens, events: 40 }
}

/// Migrates all `runs`, the first copy of each starting after its delay.
fn evacuate(runs: &[Run], delay: impl Fn(&Run) -> Duration) -> Vec<Outcome> {
    let mut link_free_ms = 0;
    let mut migrations: Vec<_> = runs
        .iter()
        .map(|run| Migration {
            plan: Plan::new(0),
            at_ms: CALL_MS + delay(run).as_millis() as u64,
            uncopied: run.tokens,
            stop: false,
            outcome: None,
        })
        .collect();
    while let Some(next) =
        migrations.iter_mut().filter(|m| m.outcome.is_none()).min_by_key(|m| m.at_ms)
    {
        let copy_ms = LINK.copy_time(next.uncopied).as_millis() as u64 + CALL_MS;
        let done_ms = next.at_ms.max(link_free_ms) + copy_ms;
        link_free_ms = done_ms;
        let took_ms = done_ms - next.at_ms;
        if done_ms > NOTICE_MS {
            next.outcome = Some(Outcome::Lost);
        } else if next.stop {
            next.outcome = Some(Outcome::Moved { pause_ms: took_ms + CONTINUATION_MS });
        } else {
            next.uncopied = took_ms * TOKENS_PER_S / 1_000 + 1;
            next.stop = next.plan.copy_succeeded(took_ms, done_ms) == Step::Stop;
            next.at_ms = done_ms + CALL_MS;
        }
    }
    migrations.into_iter().filter_map(|m| m.outcome).collect()
}

fn in_time(outcomes: &[Outcome]) -> usize {
    let in_time =
        |o: &&Outcome| matches!(o, Outcome::Moved { pause_ms } if *pause_ms <= MAX_PAUSE_MS);
    outcomes.iter().filter(in_time).count()
}

/// Engines with six generations of 2,100 to 6,400 tokens, as on days on which generations were lost.
fn engines() -> Vec<Vec<Run>> {
    let sizes = [
        [2_103, 3_890, 3_337, 4_646, 4_918, 4_783],
        [3_324, 4_783, 4_102, 2_400, 3_800, 3_100],
        [3_797, 2_662, 3_176, 6_000, 2_900, 3_400],
        [6_400, 3_700, 2_300, 2_800, 4_280, 2_500],
    ];
    sizes
        .iter()
        .map(|sizes| (0..).zip(sizes).map(|(i, tokens)| run(i, *tokens)).collect())
        .collect()
}

#[test]
fn generations_of_a_leaving_engine_are_copied_one_after_another() {
    for runs in engines() {
        let total: u64 = runs.iter().map(|run| run.tokens).sum();
        let at_once = evacuate(&runs, |_| Duration::ZERO);
        let in_order = evacuate(&runs, |run| start_delay(&runs, &run.id, LINK));

        // The link carries 27,000 tokens until the engine shuts down.
        let fitting = if total <= 22_000 { 6 } else { 5 };
        assert!(in_time(&in_order) >= fitting, "{total} tokens: {in_order:?}");
        assert!(in_time(&in_order) > in_time(&at_once), "{at_once:?}, {in_order:?}");
    }
}

#[test]
fn copies_start_in_the_same_order_at_all_hosts_and_do_not_overlap() {
    for runs in engines() {
        let mut turns: Vec<_> = runs
            .iter()
            .map(|run| (start_delay(&runs, &run.id, LINK), LINK.copy_time(run.tokens)))
            .collect();
        turns.sort_unstable();
        assert_eq!(turns[0].0, Duration::ZERO, "the link is used at once");
        for pair in turns.windows(2) {
            let idle = pair[1].0 - (pair[0].0 + pair[0].1);
            assert!(
                idle >= 10 * Duration::from_millis(CALL_MS) && idle < Duration::from_millis(60),
                "{turns:?}"
            );
        }
    }
}

#[test]
fn short_generations_delay_no_other_and_an_unlisted_one_comes_last() {
    let mut runs = vec![run(0, 3_000), run(1, 4_000)];
    runs.push(Run { events: 1, ..run(2, 2_500) });

    let delay = |id: &str| start_delay(&runs, id, LINK);

    assert_eq!(delay("r-0"), Duration::ZERO);
    assert!(delay("r-1") < LINK.copy_time(3_000 + 2_500), "only r-0 comes before it");
    assert!(delay("r-9") > delay("r-1") && delay("r-2") > delay("r-1"));
}

#[test]
fn an_unknown_bandwidth_causes_no_delay() {
    let link = Link { megabits_per_s: 0.0, ..LINK };
    assert_eq!(start_delay(&engines()[0], "r-3", link), Duration::ZERO);
}
