//! Tests of the account of bytes held.

use std::sync::Arc;

use bytes::Bytes;

use super::{Account, Connection, Full, Hold};

/// Memory of the smallest hosts, in bytes: 28.8 MB for the account, 3.6 MB of them for small requests.
const MEMORY: usize = 88_000_000;

const LARGE: usize = 4 << 20;
const SMALL: usize = 2 << 10;

fn account(memory: Option<usize>) -> Arc<Account> {
    Arc::new(Account::new(memory))
}

/// Admits requests of `bytes` until one is refused, each on its own connection.
fn fill(account: &Arc<Account>, bytes: usize) -> Vec<Hold> {
    let admit = || account.admit(&Arc::default(), bytes).ok();
    std::iter::from_fn(admit).take(100_000).collect()
}

/// Guards against large requests that leave no room for small ones, and against small ones without a bound.
#[test]
fn small_requests_are_admitted_while_large_ones_fill_the_account() {
    let account = account(Some(MEMORY));
    let large = fill(&account, LARGE);
    assert_eq!(large.len(), 6);
    assert_eq!(account.admit(&Arc::default(), LARGE).unwrap_err(), Full);
    let small = fill(&account, SMALL);
    assert!(small.len() > 1_500 && account.held() <= 28_800_000, "{}", small.len());
    drop((large, small));
    assert_eq!(account.held(), 0);
}

/// Guards against one connection, which may carry a thousand requests at a time, that takes the room of all others.
#[test]
fn one_connection_gets_a_part_of_the_account() {
    let account = account(Some(MEMORY));
    let connection = Arc::new(Connection::default());
    let holds: Vec<_> = (0..100).map(|_| account.admit(&connection, LARGE / 4)).collect();
    assert_eq!(holds.iter().filter(|hold| hold.is_ok()).count(), 6);
    assert!(account.admit(&Arc::default(), LARGE).is_ok());
}

/// Guards against bodies of unknown length that grow beyond the account because each part is small.
#[test]
fn a_growing_request_is_large_as_a_whole() {
    let account = account(Some(MEMORY));
    let _large = fill(&account, LARGE);
    let mut hold = account.admit(&Arc::default(), 0).unwrap();
    let parts = (0..1_000).take_while(|_| hold.grow_request(SMALL).is_ok()).count();
    let room = account.bounds.unwrap().total - account.bounds.unwrap().reserve;
    assert!(account.held() <= room + 32 * 1_024, "{parts}");
}

/// Guards against responses of requests that already ran and are lost because of a full account.
#[test]
fn small_responses_are_held_by_a_full_account_and_large_ones_are_not() {
    for memory in [Some(MEMORY), None] {
        let account = account(memory);
        let mut full = account.hold(None);
        while full.grow_response(LARGE).is_ok() {}
        let mut response = account.hold(None);
        assert_eq!(response.grow_response(SMALL), Ok(()), "{memory:?}");
        assert_eq!(response.grow_response(LARGE), Err(Full), "{memory:?}");
    }
}

/// Guards against hosts without a limit of memory that refuse what they served before.
#[test]
fn an_account_without_a_bound_admits_all_requests() {
    let account = account(None);
    let connection = Arc::new(Connection::default());
    let holds: Vec<_> = (0..1_000).map(|_| account.admit(&connection, LARGE)).collect();
    assert!(holds.iter().all(Result::is_ok));
    assert!(account.may_queue(&connection, LARGE));
}

/// Guards against bytes that are given back while a retry or the connection still uses them.
#[test]
fn bytes_are_held_until_their_last_copy_is_dropped() {
    let account = account(Some(MEMORY));
    let mut hold = account.admit(&Arc::default(), SMALL).unwrap();
    hold.shrink_to(4);
    let body = hold.around(Bytes::from_static(b"body"));
    let copy = body.clone();
    drop(body);
    assert_eq!((account.held(), &copy[..]), (4, &b"body"[..]));
    drop(copy);
    assert_eq!(account.held(), 0);
}

/// Guards against a log line for each refused request.
#[test]
fn changes_between_full_and_room_are_reported_once() {
    let account = account(Some(MEMORY));
    assert!(!account.mark_room());
    let holds = fill(&account, LARGE);
    assert_eq!(
        [account.mark_full(), account.mark_full(), account.mark_room()],
        [true, false, false]
    );
    drop(holds);
    assert_eq!([account.mark_room(), account.mark_room()], [true, false]);
}
