//! Tests of the round-robin schedule.

use super::until_next;

#[test]
fn turns_are_evenly_spaced_if_hosts_share_a_clock() {
    for count in [1, 2, 9, 80] {
        let mut turns: Vec<u64> = Vec::new();
        for index in 0..count {
            let mut now = 5_003;
            while now < 5_003 + 20 * 110 * count as u64 {
                now += until_next(index, count, 110, now);
                turns.push(now);
            }
        }
        turns.sort_unstable();
        let gaps = turns.windows(2).map(|pair| pair[1] - pair[0]);
        assert!(gaps.clone().all(|gap| gap == 110), "{count} hosts: {:?}", gaps.max());
    }
}

#[test]
fn the_next_turn_is_never_immediate_and_at_most_one_cycle_later() {
    for wall_ms in 0..1_000 {
        let pause = until_next(3, 9, 50, wall_ms);
        assert!((1..=450).contains(&pause), "{wall_ms}: {pause}");
    }
}
