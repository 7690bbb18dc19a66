//! Tests of the limit on open requests.

use super::*;

#[test]
fn each_organisation_has_its_own_limit() {
    let counter = Counter::new();
    let [a, b] = ["a", "b"].map(|name| name::Organisation::new(name).unwrap());

    let first = counter.try_acquire(&a, 2);
    let second = counter.try_acquire(&a, 2);

    assert!(first.is_some() && second.is_some());
    assert!(counter.try_acquire(&a, 2).is_none());
    assert!(counter.try_acquire(&b, 2).is_some());
    drop(first);
    assert!(counter.try_acquire(&a, 2).is_some());
    drop(second);
    assert!(counter.0.lock().unwrap().is_empty());
}
