use std::sync::Arc;
use std::sync::atomic::{AtomicU32, Ordering};

use slog::{Discard, o};

use super::*;

fn supervisor() -> Supervisor {
    Supervisor::new(Instruments::new().unwrap(), Logger::root(Discard, o!()))
}

/// Guards against a process that goes on without a task that panicked.
#[tokio::test(start_paused = true)]
async fn a_task_that_panics_is_started_again() {
    let mut supervisor = supervisor();
    let starts = Arc::new(AtomicU32::new(0));
    let count = Arc::clone(&starts);
    supervisor.spawn("test", move || {
        let start = count.fetch_add(1, Ordering::Relaxed);
        async move {
            assert!(start >= 2, "the first two starts panic");
            std::future::pending::<()>().await;
        }
    });
    let ended = tokio::time::timeout(20 * RESTART_DELAY, supervisor.ended()).await;
    assert!(ended.is_err(), "a supervised task has ended");
    assert_eq!(starts.load(Ordering::Relaxed), 3);
    assert_eq!(supervisor.instruments.actions.with_label_values(&["task_panicked"]).get(), 2);
}

/// Guards against a process that goes on without a task that cannot be started again.
#[tokio::test(start_paused = true)]
async fn the_end_of_a_task_that_cannot_be_started_again_is_noticed() {
    let mut supervisor = supervisor();
    supervisor.spawn("test", std::future::pending);
    supervisor.spawn_once(async { panic!("the task fails") });
    tokio::time::timeout(RESTART_DELAY, supervisor.ended()).await.expect("noticed");
}

/// Guards against tasks that outlive the process's shutdown.
#[tokio::test(start_paused = true)]
async fn tasks_end_with_the_supervisor() {
    let (mut supervisor, alive) = (supervisor(), Arc::new(()));
    let held = Arc::clone(&alive);
    supervisor.spawn("test", move || {
        let held = Arc::clone(&held);
        async move {
            let _held = held;
            std::future::pending().await
        }
    });
    tokio::task::yield_now().await;
    supervisor.shut_down().await;
    tokio::task::yield_now().await;
    assert_eq!(Arc::strong_count(&alive), 1);
}
