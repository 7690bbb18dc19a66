//! Figures of engines that are learnt: engines of a quarter to twice the usual speed and output are served as well.

use super::{CAPACITY, Profile};
use crate::load::{Class, Outputs, Rate};
use crate::migration::Notice;

/// Prompts in a replay. Most end within their expected time, some wait for memory.
const PROMPTS: u64 = 400;

/// Time until the first event of prompts at engines that prefill `tokens_per_ms`.
fn learn_rate(tokens_per_ms: f64) -> Rate {
    let mut rate = Rate::default();
    for index in 0..PROMPTS {
        let tokens = 1_000 + index * 37 % 4_000;
        let prefill_ms = tokens as f64 / tokens_per_ms * (0.8 + (index % 5) as f64 * 0.1);
        let waiting_ms = if index % 20 == 0 { 6_000 } else { 0 };
        rate.record(tokens, prefill_ms as u64 + waiting_ms);
    }
    rate
}

#[test]
fn the_prefill_rate_of_slower_and_faster_engines_is_learnt() {
    for factor in [0.25, 0.5, 1.0, 2.0] {
        let tokens_per_ms = 7.0 * factor;
        let expected_ms = 3_000.0 / tokens_per_ms;
        let learnt_ms = learn_rate(tokens_per_ms).time_ms(3_000) as f64;
        assert!((0.85..1.2).contains(&(learnt_ms / expected_ms)), "{factor}: {learnt_ms}");
    }
}

#[test]
fn short_prompts_and_implausible_times_do_not_matter() {
    let mut rate = Rate::default();
    (0..PROMPTS).for_each(|_| rate.record(100, 900));
    assert_eq!(rate, Rate::default());
    (0..PROMPTS).for_each(|_| rate.record(3_000, 0));
    assert!(rate.time_ms(3_000) > 0);
    (0..PROMPTS).for_each(|_| rate.record(3_000, u64::MAX));
    assert!(rate.time_ms(3_000) <= 60_000);
}

/// Simulates engines that are filled with generations of exponential length up to the learnt occupancy. Returns how often in
/// 1,000 tries their memory is used up before one of them ends.
fn overflows(mean: f64, memory_tokens: u64) -> u32 {
    let mut outputs = Outputs::default();
    let mut seed = 9;
    for _ in 0..1_000 {
        outputs.record(exponential(mean, &mut seed) as u64);
    }
    let room = (1.0 - outputs.max_occupancy(memory_tokens)) * memory_tokens as f64;
    let ends_late = |seed: &mut u64| {
        let count = 2 + *seed % 5;
        let first = (0..count).map(|_| exponential(mean, seed)).fold(f64::MAX, f64::min);
        first * count as f64 > room
    };
    (0..1_000).filter(|_| ends_late(&mut seed)).count() as u32
}

fn exponential(mean: f64, seed: &mut u64) -> f64 {
    *seed = seed.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
    -mean * (((*seed >> 33) as f64 + 1.0) / (u32::MAX >> 1) as f64).ln()
}

/// Guards against preemption: a full engine preempts running generations.
#[test]
fn memory_is_rarely_used_up_before_a_generation_ends() {
    for mean in [230.0, 460.0, 930.0, 1_860.0] {
        let overflows = overflows(mean, CAPACITY.tokens);
        assert!(overflows <= 40, "{mean}: {overflows} of 1,000");
    }
}

#[test]
fn a_few_outputs_change_little_and_long_ones_leave_room_for_some_generations() {
    let mut profile = Profile::default();
    profile.outputs.record(1);
    assert!(!profile.fits(Class::Long, CAPACITY.tokens, 0.87, 0, 1_500));
    (0..PROMPTS).for_each(|_| profile.outputs.record(100_000));
    assert!(profile.fits(Class::Long, CAPACITY.tokens, 0.6, 0, 1_500));
}

#[test]
fn the_notice_follows_shorter_ones_at_once_and_longer_ones_slowly() {
    for factor in [0.25, 2.0] {
        let mut notice = Notice::default();
        let ms = (1_450.0 * factor) as u64;
        (0..100).for_each(|_| notice.record(ms));
        assert!(notice.expected_ms().abs_diff(ms) < 50, "{factor}: {}", notice.expected_ms());
        notice.record(300);
        assert_eq!(notice.expected_ms(), 300);
    }
}
