use super::*;

#[test]
fn responses_share_the_memory_and_release_it() {
    let total = Total::default();
    let mut first = total.hold();
    let mut second = total.hold();

    assert!(first.grow(MAX_BYTES - 1) && second.grow(1));
    assert!(!second.grow(1));
    drop(first);
    assert!(second.grow(MAX_BYTES - 2));
    drop(second);
    assert!(total.hold().grow(MAX_BYTES));
}
