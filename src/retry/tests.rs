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
