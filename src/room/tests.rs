use super::*;

fn brittle(rejections_per_s: u32) -> Room {
    let mut room = Room::default();
    room.state(Some(rejections_per_s));
    room
}

#[test]
fn a_server_that_says_nothing_is_not_limited() {
    let mut room = Room::default();
    assert!(!room.reject(1, 0));
    assert!(room.has_room(1_000, 1));
}

#[test]
fn a_host_sends_its_share_after_a_rejection() {
    let mut room = brittle(10);
    assert!(room.has_room(50, 0));
    assert!(room.reject(3, 0));
    assert!(!room.has_room(0, 99));
    assert!(room.has_room(2, 100) && !room.has_room(3, 100));
}

#[test]
fn a_host_without_a_share_sends_nothing_for_a_while() {
    let mut room = brittle(10);
    room.reject(0, 0);
    assert!(!room.has_room(0, SHARED_MS - 1));
    assert!(room.has_room(0, SHARED_MS));
    assert!(room.has_room(0, 10_000));
}

#[test]
fn rejections_of_one_moment_count_once() {
    let mut room = brittle(10);
    assert!(room.reject(3, 0));
    assert!(!room.reject(1, SAME_MOMENT_MS - 1));
    assert!(room.has_room(2, 100));
    assert!(room.reject(2, SAME_MOMENT_MS));
}

#[test]
fn a_server_that_says_nothing_any_more_has_room() {
    let mut room = brittle(10);
    room.reject(1, 0);
    room.state(None);
    assert!(room.has_room(50, 1));
    assert!(!room.was_full(1));
}

#[test]
fn a_rejection_explains_the_end_of_a_server_for_a_while() {
    let mut room = brittle(10);
    assert!(!room.was_full(0));
    room.reject(1, 1_000);
    assert!(room.was_full(999 + FALL_MS) && !room.was_full(1_000 + FALL_MS));
}

mod fleet;
