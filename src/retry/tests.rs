use super::*;

#[test]
fn retries_stay_a_fifth_of_the_requests_when_all_fail() {
    let budget = Budget::new();
    let mut retries = 0;
    for _ in 0..1_000 {
        budget.earn();
        for _ in 0..3 {
            retries += u32::from(budget.spend());
        }
    }
    assert!((200..=220).contains(&retries), "{retries}");
}

#[test]
fn all_hosts_together_keep_the_budget_in_any_window() {
    // Arrange: nine hosts with uneven load, each failing all it can.
    let (share, allowance, window_ms) = (0.2, 58.0, 10_000);
    let mut hosts: Vec<Window> = (0..9).map(|_| Window::new(share, allowance, window_ms)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();

    // Act
    for now_ms in (0..60_000).step_by(20) {
        for (index, host) in hosts.iter_mut().enumerate() {
            if (now_ms / 20) % (index as u64 + 1) == 0 {
                host.earn(now_ms);
                requests.push(now_ms);
            }
            if host.spend(now_ms, Some(9)) {
                retries.push(now_ms);
            }
        }
    }

    // Assert
    let count = |times: &[u64], from: u64| {
        times.iter().filter(|time| (from..from + window_ms).contains(*time)).count() as f64
    };
    for from in (0..50_000).step_by(250) {
        let budget = share * count(&requests, from) + allowance;
        let spent = count(&retries, from);
        assert!(spent <= budget, "{spent} of {budget} from {from} ms");
    }
    assert!(retries.len() > 600, "the budget is used: {}", retries.len());
}

#[test]
fn a_host_that_knows_no_others_spends_its_share_only() {
    let mut window = Window::new(0.5, 100.0, 1_000);
    assert!(!window.spend(0, None));
    for _ in 0..5 {
        window.earn(0);
    }
    assert!(window.spend(0, None) && window.spend(0, None));
    assert!(!window.spend(0, None));
}

#[test]
fn attempts_that_are_made_in_any_case_use_the_budget_up() {
    let mut window = Window::new(0.0, 5.0, 1_000);
    for _ in 0..4 {
        window.charge(10);
    }
    assert!(!window.spend(10, Some(1)));
    assert!(window.spend(2_000, Some(1)), "an old attempt leaves the window");
}
