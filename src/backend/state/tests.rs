use std::collections::HashSet;

use super::*;

fn server(name: &str, intent: Intent) -> Server {
    Server {
        name: name::Server::new(name).unwrap(),
        address: ([127, 0, 0, 1], 1).into(),
        domain: name::Domain::new("a").unwrap(),
        intent,
    }
}

fn servers() -> Vec<Server> {
    vec![server("a", Intent::Serve), server("b", Intent::Serve), server("c", Intent::Leave)]
}

fn picks(state: &mut State, now_ms: u64, tried: &[name::Server], leaving: &str) -> HashSet<String> {
    let servers = servers();
    let pick = |state: &mut State| state.choose(now_ms, &servers, tried, |name| name == leaving);
    (0..100).filter_map(|_| pick(state).map(|server| server.name.to_string())).collect()
}

#[test]
fn excludes_leaving_and_tried_servers() {
    let mut state = State::new(1);
    let tried = [servers()[0].name.clone()];

    assert_eq!(picks(&mut state, 0, &[], ""), ["a", "b"].map(String::from).into());
    assert_eq!(picks(&mut state, 0, &[], "a"), ["b"].map(String::from).into());
    assert_eq!(picks(&mut state, 0, &tried, ""), ["b"].map(String::from).into());
    assert!(picks(&mut state, 0, &tried, "b").is_empty());
}

#[test]
fn ejects_a_failing_server_until_the_ejection_time_is_over() {
    let mut state = State::new(2);
    let failing = servers()[0].name.clone();
    for _ in 0..MAX_FAILURES {
        state.begin(&failing);
        state.end(1_000, &failing, false);
    }

    assert_eq!(picks(&mut state, 1_001, &[], ""), ["b"].map(String::from).into());
    assert_eq!(picks(&mut state, 1_001, &[], "b"), ["a"].map(String::from).into());
    assert_eq!(picks(&mut state, 1_000 + EJECTION_MS, &[], "").len(), 2);
}
