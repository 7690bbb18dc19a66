//! Operator commands of the real binary.

use std::process::{Command, Output};

use standin::{fleet, log};
use tempfile::TempDir;

use crate::testenv::{Event, TestEnv};

fn run(arguments: &[&str]) -> Output {
    let binary = env!("CARGO_BIN_EXE_nutmeghead");
    Command::new(binary).args(arguments).env("NO_COLOR", "1").output().expect("the command runs")
}

fn stdout(output: &Output) -> String {
    String::from_utf8_lossy(&output.stdout).into_owned()
}

/// A directory with a valid document `good.toml` and an invalid one, `bad.toml`.
fn documents(text: &str) -> TempDir {
    let directory = tempfile::tempdir().expect("a directory");
    std::fs::write(directory.path().join("good.toml"), text).expect("written");
    let bad = text.replace("priority = 2", "priority = 12");
    std::fs::write(directory.path().join("bad.toml"), bad).expect("written");
    directory
}

fn path(directory: &TempDir, name: &str) -> String {
    directory.path().join(name).to_string_lossy().into_owned()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_document_is_submitted_shown_and_promoted_unchanged() {
    let env = TestEnv::start_standins(0, &fleet::Settings::default());
    let text = env.fleet.document();
    let directory = documents(&text);
    let (good, bad) = (path(&directory, "good.toml"), path(&directory, "bad.toml"));
    let log = env.fleet.log.address().to_string();
    let run_on_log = |arguments: &[&str]| {
        let (command, rest) = arguments.split_at(2);
        run(&[command, &["--log-address", &log], rest].concat())
    };
    let submit = |file: &str| run_on_log(&["config", "submit", "--environment", "trial", file]);

    assert!(run(&["config", "check", &good]).status.success());
    let checked = run(&["config", "check", &bad]);
    assert_eq!(checked.status.code(), Some(3));
    assert!(String::from_utf8_lossy(&checked.stderr).contains("12"));

    assert_eq!(submit(&bad).status.code(), Some(3));
    assert!(submit(&good).status.success());
    let stale = run_on_log(&["config", "submit", "--environment", "trial", "--base", "9", &good]);
    assert_eq!(stale.status.code(), Some(4), "{}", String::from_utf8_lossy(&stale.stderr));
    assert!(
        run_on_log(&["config", "promote", "--from", "trial", "--to", "production"])
            .status
            .success()
    );

    let shown = run_on_log(&["config", "show", "--environment", "production"]);
    let (header, document) =
        stdout(&shown).split_once('\n').map(|(a, b)| (a.to_owned(), b.to_owned())).unwrap();
    assert!(header.contains("version"));
    assert_eq!(document.trim_end(), text.trim_end());
}

#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_concurrent_submissions_succeeds_and_the_others_conflict() {
    let env = TestEnv::start_standins(0, &fleet::Settings::default());
    let directory = documents(&env.fleet.document());
    let good = path(&directory, "good.toml");
    let log = env.fleet.log.address().to_string();
    env.fleet.log.control(log::Change { slow_ms: Some(100), ..Default::default() });

    let submissions: Vec<_> = (0..4)
        .map(|number| {
            let (log, good) = (log.clone(), good.clone());
            std::thread::spawn(move || {
                let author = format!("operator-{number}");
                let target = ["--log-address", &log, "--environment", "trial"];
                let rest = ["--base", "0", "--author", &author, &good];
                run(&[&["config", "submit"][..], &target, &rest].concat()).status.code()
            })
        })
        .collect();
    let mut codes: Vec<_> = tokio::task::spawn_blocking(move || {
        submissions.into_iter().map(|submission| submission.join().expect("joined")).collect()
    })
    .await
    .expect("joined");
    codes.sort();

    assert_eq!(codes, [Some(0), Some(4), Some(4), Some(4)]);
}

#[tokio::test(flavor = "multi_thread")]
async fn the_report_sums_over_the_entry_hosts() {
    let objective = "\n[[objectives]]\nworkload = \"rebuild\"\nmeasure = \"between_tokens\"\n\
                     target_ms = 10000\nratio = 0.95\n";
    let mut env = TestEnv::start_standins(2, &fleet::Settings::default());
    let text = env.fleet.document() + objective;
    env.fleet.submit(0, &text).unwrap();
    for node in 0..2 {
        env.spawn(node);
        env.wait_ready(node).await;
        let mut stream = env.stream(node, "len=11", &[]).await;
        assert_eq!(stream.read_to_end().await.1, Event::Done);
    }
    let nodes = [0, 1].map(|node| env.nodes[node].operator_address.to_string());
    let directory = tempfile::tempdir().unwrap();
    let html = path(&directory, "burn.html");

    let report =
        run(&["report", "--node", &nodes[0], "--node", &nodes[1], "--json", "--html", &html]);
    let report: serde_json::Value = serde_json::from_slice(&report.stdout).unwrap();

    assert_eq!(report["nodes"], 2);
    assert_eq!(report["rows"][0]["samples"], 20);
    assert_eq!(report["rows"][0]["burn"][0], 0.0);
    assert!(std::fs::read_to_string(html).unwrap().contains("<svg"));
    assert_eq!(run(&["report"]).status.code(), Some(1));
}

#[test]
fn command_line_errors_name_their_cause() {
    let valid = "serve --name n --region r --domain d --environment e --caller-address 127.0.0.1:0 \
                 --operator-address 127.0.0.1:0 --peer-address 127.0.0.1:0 --log-address 127.0.0.1:1 \
                 --fleet-key 07";
    let cases = [
        (valid.replace("--name n", "--name n/a"), "n/a"),
        (valid.replace("--caller-address 127.0.0.1:0", "--caller-address nowhere"), "nowhere"),
        (valid.replace("--log-address 127.0.0.1:1", ""), "--log-address"),
        (valid.to_owned(), "--fleet-key"),
        ("unheard-of".to_owned(), "unheard-of"),
    ];
    for (arguments, expected) in cases {
        let output = run(&arguments.split_whitespace().collect::<Vec<_>>());
        assert_eq!(output.status.code(), Some(2), "{arguments}");
        assert!(
            String::from_utf8_lossy(&output.stderr).contains(expected),
            "{arguments:?} {output:?}"
        );
    }
}
