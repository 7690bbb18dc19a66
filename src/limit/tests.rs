use super::*;

#[test]
fn counts_each_organisation_separately() {
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
