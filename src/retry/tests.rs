//! Tests of retry budgets.

use super::*;

#[test]
fn retries_are_limited_to_a_fifth_of_the_requests_when_all_fail() {
    let budget = Budget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.count_request();
        for _ in 0..3 {
            retries += u32::from(budget.try_retry());
        }
    }
    assert!((200..=220).contains(&retries), "{retries}");
}

#[test]
fn all_hosts_together_stay_within_the_budget_in_any_window() {
    // Arrange: nine hosts with uneven load; each uses all retries that it can.
    let (ratio, slack, window_ms) = (0.2, 58.0, 10_000);
    let mut hosts: Vec<SharedBudget> =
        (0..9).map(|_| SharedBudget::new(ratio, slack, window_ms)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();

    // Act
    for now_ms in (0..60_000).step_by(20) {
        for (index, host) in hosts.iter_mut().enumerate() {
            if (now_ms / 20) % (index as u64 + 1) == 0 {
                host.count_request(now_ms);
                requests.push(now_ms);
            }
            if host.try_retry(now_ms, Some(9)) {
                retries.push(now_ms);
            }
        }
    }

    // Assert
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|time| (from..from + window_ms).contains(*time)).count() as f64
    };
    for from in (0..50_000).step_by(250) {
        let budget = ratio * count(&requests, from) + slack;
        let spent = count(&retries, from);
        assert!(spent <= budget, "{spent} of {budget} from {from} ms");
    }
    assert!(retries.len() > 600, "the budget is used: {}", retries.len());
}

#[test]
fn a_host_without_a_known_host_count_uses_only_the_ratio() {
    let mut budget = SharedBudget::new(0.5, 100.0, 1_000);
    assert!(!budget.try_retry(0, None));
    for _ in 0..5 {
        budget.count_request(0);
    }
    assert!(budget.try_retry(0, None) && budget.try_retry(0, None));
    assert!(!budget.try_retry(0, None));
}

#[test]
fn retries_made_regardless_of_the_budget_use_it_up() {
    let mut budget = SharedBudget::new(0.0, 5.0, 1_000);
    for _ in 0..4 {
        budget.count_retry(10);
    }
    assert!(!budget.try_retry(10, Some(1)));
    assert!(budget.try_retry(2_000, Some(1)), "old retries leave the window");
}
