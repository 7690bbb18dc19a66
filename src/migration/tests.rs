//! Tests of migration plans.

use std::time::Duration;

use super::{Failure, Notice, Plan, Step};

mod evacuation;

#[test]
fn a_generation_stops_once_the_links_are_idle() {
    // The full copy and the first incremental copy queue behind copies of other generations; the next one does not.
    let mut plan = Plan::new(Notice::default(), 0);
    assert_eq!(plan.copy_succeeded(600, 600), Step::Copy { after_ms: 0 });
    assert_eq!(plan.copy_succeeded(130, 830), Step::Copy { after_ms: 0 });
    assert_eq!(plan.copy_succeeded(12, 842), Step::Stop);
}

#[test]
fn a_generation_stops_before_its_engine_shuts_down_however_busy_the_links_are() {
    let mut plan = Plan::new(Notice::default(), 0);
    plan.set_shutdown(Duration::from_millis(900), 550);
    assert_eq!(plan.copy_succeeded(150, 900), Step::Copy { after_ms: 0 });
    assert_eq!(plan.copy_succeeded(100, 1_100), Step::Stop);
}

#[test]
fn a_copy_that_would_last_until_the_engine_shuts_down_is_not_started() {
    // Regression: the second copy of a generation was still queued when its engine shut down, 1.7 s after the notice.
    let mut plan = Plan::new(Notice::default(), 0);
    plan.set_shutdown(Duration::from_millis(1_150), 550);
    assert_eq!(plan.copy_succeeded(985, 1_130), Step::Stop);
}

#[test]
fn copies_continue_until_the_links_are_idle_if_the_engine_shuts_down_late() {
    let mut plan = Plan::new(Notice::default(), 0);
    plan.set_shutdown(Duration::from_millis(5_000), 550);
    assert_eq!(plan.copy_succeeded(400, 2_000), Step::Copy { after_ms: 0 });
}

#[test]
fn a_copy_that_is_not_possible_yet_is_retried() {
    let mut plan = Plan::new(Notice::default(), 0);
    for failure in [Failure::NotRunning, Failure::Busy] {
        assert!(matches!(plan.copy_failed(&failure, 300), Step::Copy { after_ms: 1.. }));
    }
}

#[test]
fn targets_without_room_are_retried_after_a_pause() {
    // Regression: four engines refused within 20 ms, and the migration was aborted 1.2 s before the engine shut down.
    let mut plan = Plan::new(Notice::default(), 0);
    let failure = Failure::NoRoom { handle: None };
    let steps: Vec<_> = (0..6).map(|index| plan.copy_failed(&failure, 570 + index * 5)).collect();
    assert!(steps.iter().all(|step| matches!(step, Step::Retarget { .. })));
    assert!(steps.iter().any(|step| matches!(step, Step::Retarget { after_ms: 1.. })));
}

#[test]
fn an_engine_that_is_unreachable_or_shut_down_aborts_the_migration() {
    assert_eq!(
        Plan::new(Notice::default(), 0).copy_failed(&Failure::Unreachable, 100),
        Step::Abort
    );
    let mut plan = Plan::new(Notice::default(), 0);
    assert_eq!(plan.copy_failed(&Failure::NotRunning, 60_000), Step::Abort);
}

/// Guards against a generation of an evacuated domain that is stopped, or copied again and again, while links are busy.
#[test]
fn a_generation_without_deadline_stays_if_the_links_are_busy_or_no_engine_has_room() {
    let mut plan = Plan::without_deadline();
    let steps: Vec<_> = (0..4).map(|copy| plan.copy_succeeded(400, 400 * copy)).collect();
    assert_eq!(steps[..3], [Step::Copy { after_ms: 0 }; 3]);
    assert_eq!(steps[3], Step::Abort);
    let no_room = Failure::NoRoom { handle: None };
    assert_eq!(Plan::without_deadline().copy_failed(&no_room, 10), Step::Abort);
    assert_eq!(Plan::without_deadline().copy_succeeded(20, 90_000), Step::Stop);
}
