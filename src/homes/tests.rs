//! Tests of the sets of regions and of the announced regions.

use super::{Hosts, Regions, Set, announcement_interval_ms};
use crate::name;

fn region(name: &str) -> name::Region {
    name::Region::new(name).unwrap()
}

fn set(names: &[&str]) -> Set {
    Set::new(names.iter().map(|name| region(name)))
}

/// Guards against an intersection that widens either set: without a restriction of the one, or without a common region.
#[test]
fn an_intersection_allows_what_both_sets_allow() {
    let cases = [
        (Set::any(), Set::any(), [true, true]),
        (Set::any(), set(&["north"]), [true, false]),
        (set(&["south"]), Set::any(), [false, true]),
        (set(&["north", "south"]), set(&["south", "west"]), [false, true]),
        (set(&["north"]), set(&["south"]), [false, false]),
    ];
    for (first, second, expected) in cases {
        let both = first.intersection(&second);
        let allowed = ["north", "south"].map(|name| both.allows(Some(&region(name))));
        assert_eq!(allowed, expected, "{first:?} and {second:?}");
    }
}

/// Guards against requests with homes that reach servers whose failure domain has no known region.
#[test]
fn an_unknown_region_is_outside_every_set_of_homes() {
    let regions = Regions::new([(name::Domain::new("a").unwrap(), region("north"))]);
    let unlisted = regions.of(&name::Domain::new("b").unwrap());
    assert!(Set::any().allows(unlisted));
    assert!(!set(&["north"]).allows(unlisted));
    assert!(!set(&["north"]).intersection(&set(&["south"])).allows(unlisted));
}

/// Guards against a host that asks another process which has taken over an address, in a region that it does not know.
#[test]
fn an_announced_region_is_forgotten() {
    for hosts in [2, 9, 300] {
        let address = ([10, 0, 0, 1], 7_200).into();
        let mut known = Hosts::new();
        known.put(address, region("north"), 0);
        let interval_ms = announcement_interval_ms(hosts);
        assert!(known.region(address, hosts, 3 * interval_ms).is_some(), "{hosts}");
        assert!(known.region(address, hosts, 5 * interval_ms).is_none(), "{hosts}");
        known.remove(address);
        assert!(known.region(address, hosts, 0).is_none(), "{hosts}");
    }
}
