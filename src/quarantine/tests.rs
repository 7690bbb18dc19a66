use super::*;

mod fleet;

/// Time between two crashes of a chain, in milliseconds.
const PACE_MS: u64 = 400;

fn part(name: &str) -> name::Part {
    name::Part::new(name).expect("a valid name")
}

fn parts(names: &[&str]) -> Vec<name::Part> {
    names.iter().map(|name| part(name)).collect()
}

fn server(number: usize) -> name::Server {
    name::Server::new(format!("e-{number}")).expect("a valid name")
}

/// A table after `crashes` crashes under requests with these parts, one each [`PACE_MS`] from time 0.
fn table_after(crashes: usize, names: &[&str]) -> Table {
    let mut table = Table::new();
    for number in 0..crashes {
        table.record_crash(&parts(names), &server(number), number as u64 * PACE_MS);
    }
    table
}

fn is_refused(table: &mut Table, names: &[&str], now_ms: u64) -> bool {
    matches!(table.admit(&parts(names), |_| false, now_ms), Verdict::Refused { .. })
}

#[test]
fn a_part_is_refused_after_crashes_without_a_proof() {
    let mut table = table_after(MIN_CRASHES, &["bad"]);
    assert!(is_refused(&mut table, &["bad"], 2_000));
    assert!(!is_refused(&mut table, &["other"], 2_000));
    assert_eq!(table.take_changes(), [Change::Quarantined(part("bad"))]);
}

#[test]
fn one_crash_less_forbids_only_a_repeat() {
    let mut table = table_after(MIN_CRASHES - 1, &["bad"]);
    assert!(!is_refused(&mut table, &["bad"], 2_000));
    assert!(!table.may_repeat(&parts(&["bad"]), 2_000));
    assert!(table_after(1, &["bad"]).may_repeat(&parts(&["bad"]), 2_000));
}

#[test]
fn crashes_at_the_same_moment_raise_no_suspicion_yet() {
    let mut table = Table::new();
    for number in 0..6 {
        table.record_crash(&parts(&["shared"]), &server(number), 1_000);
    }
    assert!(!is_refused(&mut table, &["shared"], 1_400));
    assert!(table.may_repeat(&parts(&["shared"]), 1_400));
    assert_eq!(table.record_proof(&parts(&["shared"]), 1_400), parts(&["shared"]));
    assert!(!is_refused(&mut table, &["shared"], 60_000));
}

#[test]
fn crashes_one_after_the_other_forbid_a_repeat_at_once() {
    let mut table = Table::new();
    table.record_proof(&parts(&["shared"]), 900);
    for (number, at_ms) in [1_000, 1_010, 1_150].into_iter().enumerate() {
        assert!(table.may_repeat(&parts(&["shared", "bad"]), at_ms));
        table.record_crash(&parts(&["shared", "bad"]), &server(number), at_ms);
    }
    assert!(!table.may_repeat(&parts(&["shared", "bad"]), 1_151));
    assert!(table.may_repeat(&parts(&["shared", "other"]), 1_151));
    assert!(!is_refused(&mut table, &["shared", "bad"], 1_151));
}

#[test]
fn a_proof_between_crashes_starts_the_count_anew() {
    let mut table = table_after(MIN_CRASHES - 1, &["rare"]);
    table.record_proof(&parts(&["rare"]), 1_000);
    table.record_crash(&parts(&["rare"]), &server(7), 2_000);
    table.record_crash(&parts(&["rare"]), &server(8), 3_000);
    assert!(!is_refused(&mut table, &["rare"], 9_000));
}

#[test]
fn one_crash_that_several_hosts_see_counts_once() {
    let mut table = Table::new();
    for at_ms in [0, 3, 700] {
        table.record_crash(&parts(&["p"]), &server(1), at_ms);
    }
    assert_eq!(table.record(&part("p")).map(|record| record.crashes.len()), Some(1));
    table.record_crash(&parts(&["p"]), &server(1), 2_000);
    assert_eq!(table.record(&part("p")).map(|record| record.crashes.len()), Some(2));
}

#[test]
fn of_parts_that_always_occur_together_the_last_one_is_refused() {
    let mut table = table_after(MIN_CRASHES, &["shared", "bad"]);
    assert!(is_refused(&mut table, &["shared", "bad"], 2_000));
    assert!(!is_refused(&mut table, &["shared", "other"], 2_000));
    assert!(table.may_repeat(&parts(&["shared"]), 2_000));
}

#[test]
fn of_parts_that_always_occur_together_one_that_was_never_proven_is_refused() {
    let mut table = Table::new();
    table.record_proof(&parts(&["shared"]), 1);
    for number in 0..MIN_CRASHES {
        table.record_crash(
            &parts(&["bad", "shared"]),
            &server(number),
            500 + number as u64 * PACE_MS,
        );
    }
    assert!(is_refused(&mut table, &["bad"], 3_000));
    assert!(!is_refused(&mut table, &["shared"], 3_000));
}

#[test]
fn a_bad_part_before_others_is_found() {
    let mut table = Table::new();
    for (number, own) in ["x", "y", "z"].iter().enumerate() {
        table.record_crash(&parts(&["bad", own]), &server(number), number as u64 * PACE_MS);
    }
    assert!(is_refused(&mut table, &["bad", "new"], 2_000));
    assert!(!is_refused(&mut table, &["other", "x"], 2_000));
}

#[test]
fn requests_that_cannot_be_told_apart_are_refused_together() {
    let mut table = table_after(MIN_CRASHES, &["one"]);
    for number in 0..MIN_CRASHES {
        table.record_crash(&parts(&["other"]), &server(number), number as u64 * PACE_MS + 5);
    }
    assert!(is_refused(&mut table, &["one"], 2_000));
    assert!(is_refused(&mut table, &["other"], 2_000));
}

#[test]
fn a_request_that_was_sound_before_is_sent_once_more() {
    let mut table = Table::new();
    table.record_proof(&parts(&["frequent"]), 100);
    for number in 0..MIN_CRASHES {
        let at_ms = 1_000 + number as u64 * PACE_MS;
        table.record_crash(&parts(&["frequent"]), &server(number), at_ms);
    }
    assert!(!is_refused(&mut table, &["frequent"], 9_000));
    assert!(!table.may_repeat(&parts(&["frequent"]), 9_000));
    table.record_crash(&parts(&["frequent"]), &server(7), 10_000);
    assert!(is_refused(&mut table, &["frequent"], 10_001));
}

#[test]
fn a_quarantine_of_a_request_that_was_sound_before_is_not_taken_over() {
    let mut table = Table::new();
    table.record_proof(&parts(&["frequent"]), 100);
    let mut other = Table::new();
    for number in 0..MIN_CRASHES {
        let at_ms = 1_000 + number as u64 * PACE_MS;
        other.record_crash(&parts(&["frequent"]), &server(number), at_ms);
    }
    assert!(is_refused(&mut other, &["frequent"], 3_000));
    let record = other.record(&part("frequent")).cloned().expect("a record");
    assert_eq!(table.merge(&part("frequent"), &record, 3_000), Merge::New);
    assert!(!is_refused(&mut table, &["frequent"], 3_000));
}

#[test]
fn an_earlier_proof_is_told_once_and_heeded() {
    let mut table = Table::new();
    table.record_proof(&parts(&["frequent"]), 100);
    let mut other = Table::new();
    for number in 0..MIN_CRASHES {
        let at_ms = 1_000 + number as u64 * PACE_MS;
        table.record_crash(&parts(&["frequent"]), &server(number), at_ms);
        other.record_crash(&parts(&["frequent"]), &server(number), at_ms);
    }
    assert_eq!(table.take_earlier_proofs(|_| true), [(part("frequent"), 100)]);
    assert_eq!(table.take_earlier_proofs(|_| true), []);
    assert_eq!(other.take_earlier_proofs(|_| true), []);
    assert!(other.record_earlier_proof(&part("frequent"), 100));
    assert!(!other.record_earlier_proof(&part("frequent"), 100));
    assert!(!is_refused(&mut other, &["frequent"], 3_000));
}

#[test]
fn new_crashes_are_recorded_however_many_there_were() {
    let mut table = table_after(MIN_CRASHES, &["bad"]);
    for number in 0..2 * MAX_RECORDS {
        table.record_crash(&parts(&[&format!("p-{number}")]), &server(100 + number), 1_500);
    }
    assert!(table.record(&part(&format!("p-{}", 2 * MAX_RECORDS - 1))).is_some());
    assert!(is_refused(&mut table, &["bad"], 2_000));
    assert!(table.records().count() <= MAX_RECORDS);
}

#[test]
fn requests_beside_the_crashing_one_are_cleared_with_it() {
    let mut table = table_after(MIN_CRASHES, &["shared", "bad"]);
    for number in 0..MIN_CRASHES {
        let beside = format!("beside-{number}");
        let at_ms = number as u64 * PACE_MS + 5;
        table.record_crash(&parts(&["shared", &beside]), &server(number), at_ms);
    }
    assert!(is_refused(&mut table, &["bad"], 2_000));
    table.record_crash(&parts(&["shared", "bad"]), &server(9), 3_000);
    table.record_crash(&parts(&["shared", "beside"]), &server(9), 3_004);
    assert!(!is_refused(&mut table, &["shared", "beside"], 9_000));
    for name in ["beside", "beside-0"] {
        let record = table.record(&part(name));
        assert!(record.is_none_or(|record| record.crashes.is_empty()), "{name}");
    }
}

#[test]
fn a_crash_of_a_sound_part_that_arrives_first_is_cleared_later() {
    let mut table = table_after(MIN_CRASHES, &["bad"]);
    assert!(is_refused(&mut table, &["bad"], 2_000));
    for number in 10..10 + MIN_CRASHES {
        let at_ms = number as u64 * 1_000;
        table.record_crash(&parts(&["beside"]), &server(number), at_ms);
        let crash = Crash { server: server(number), at_ms: at_ms + 2 };
        table.merge(&part("bad"), &Record::new(0, vec![crash], None), at_ms + 3);
    }
    assert!(!is_refused(&mut table, &["beside"], 30_000));
}

#[test]
fn trials_are_made_by_one_host_and_become_rare() {
    let mut table = table_after(MIN_CRASHES, &["bad"]);
    let bad = parts(&["bad"]);
    let mut trials = Vec::new();
    for now_ms in (1_000..700_000).step_by(100) {
        assert!(!matches!(table.admit(&bad, |_| false, now_ms), Verdict::Trial));
        if table.admit(&bad, |_| true, now_ms) == Verdict::Trial {
            table.record_crash(&bad, &server(trials.len() + 20), now_ms + 50);
            trials.push(now_ms / 1_000);
        }
    }
    assert_eq!(trials, [61, 181, 421]);
}

#[test]
fn a_trial_that_succeeds_releases_the_part() {
    let mut table = table_after(MIN_CRASHES, &["bad"]);
    assert!(is_refused(&mut table, &["bad"], 1_000));
    assert_eq!(table.admit(&parts(&["bad"]), |_| true, 70_000), Verdict::Trial);
    assert_eq!(table.record_proof(&parts(&["bad"]), 71_000), parts(&["bad"]));
    assert_eq!(table.admit(&parts(&["bad"]), |_| false, 71_100), Verdict::Allowed);
    assert!(table.take_changes().contains(&Change::Released(part("bad"))));
}

#[test]
fn records_of_other_hosts_are_new_once() {
    let mut table = Table::new();
    let mut other = table_after(MIN_CRASHES, &["bad"]);
    assert!(is_refused(&mut other, &["bad"], 1_000));
    let record = other.record(&part("bad")).cloned().expect("a record");
    assert_eq!(table.merge(&part("bad"), &record, 1_010), Merge::New);
    assert_eq!(table.merge(&part("bad"), &record, 1_010), Merge::Known);
    assert!(is_refused(&mut table, &["bad"], 1_011));
}

#[test]
fn what_another_host_knew_before_a_proof_is_ignored() {
    let mut other = table_after(MIN_CRASHES, &["p"]);
    assert!(is_refused(&mut other, &["p"], 1_000));
    let record = other.record(&part("p")).cloned().expect("a record");
    let mut table = table_after(1, &["p"]);
    table.record_proof(&parts(&["p"]), 1_500);
    assert_eq!(table.merge(&part("p"), &record, 1_600), Merge::Disproved);
    assert!(!is_refused(&mut table, &["p"], 9_000));
}

#[test]
fn a_quarantine_lasts_while_requests_come() {
    let mut table = table_after(MIN_CRASHES, &["bad"]);
    for now_ms in (1_000..2 * MAX_TRIAL_MS).step_by(60_000) {
        table.expire(now_ms);
        assert!(is_refused(&mut table, &["bad"], now_ms));
    }
    table.expire(4 * MAX_TRIAL_MS);
    assert!(!is_refused(&mut table, &["bad"], 4 * MAX_TRIAL_MS));
}

#[test]
fn old_crashes_do_not_count() {
    let mut table = table_after(MIN_CRASHES - 1, &["p"]);
    table.expire(2 * CRASH_RETENTION_MS);
    table.record_crash(&parts(&["p"]), &server(9), 2 * CRASH_RETENTION_MS);
    assert!(!is_refused(&mut table, &["p"], 3 * CRASH_RETENTION_MS));
}
