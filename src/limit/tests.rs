use super::*;

#[test]
fn counts_each_organisation_apart() {
    let open = Open::new();
    let [a, b] = ["a", "b"].map(|name| name::Organisation::new(name).unwrap());

    let first = open.begin(&a, 2);
    let second = open.begin(&a, 2);

    assert!(first.is_some() && second.is_some());
    assert!(open.begin(&a, 2).is_none());
    assert!(open.begin(&b, 2).is_some());
    drop(first);
    assert!(open.begin(&a, 2).is_some());
    drop(second);
    assert!(open.0.lock().unwrap().is_empty());
}
