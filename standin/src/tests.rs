use super::commands;

#[test]
fn flags_are_consistent() {
    commands().check_invariants(false);
}

#[test]
fn commands_accept_only_valid_flags() {
    let cases = [
        (vec!["log", "--append-rate", "300"], true),
        (
            vec![
                "engine",
                "--count",
                "2",
                "--listen",
                "127.0.0.1:0",
                "--model",
                "a",
                "--model",
                "b",
            ],
            true,
        ),
        (vec!["engine", "--jitter-permille", "1000"], false),
        (vec!["hosts", "--host", "engine,g-1,127.0.0.1:9,a"], true),
        (vec!["hosts", "--host", "g-1"], false),
        (vec!["relay", "--seconds", "61"], false),
        (vec!["weights", "--rate", "fast"], false),
        (vec![], false),
    ];
    for (arguments, accepted) in cases {
        assert_eq!(commands().run_inner(arguments.as_slice()).is_ok(), accepted, "{arguments:?}");
    }
}
