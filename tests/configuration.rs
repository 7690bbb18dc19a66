//! Concurrent operators and configuration watches over HTTP, against a log that loses responses, is unavailable and expires
//! records.

#![allow(clippy::unwrap_used)]

use std::time::Duration;

use bytes::Bytes;
use nutmeghead::config::{Error, Operator, Receipt, Renewal, Watch};
use nutmeghead::log::Http;
use nutmeghead::metrics::Instruments;
use nutmeghead::peer::{self, Link, Protocol};
use nutmeghead::{document, name};
use standin::log::{Change, Server, Settings};
use tokio::sync::watch;
use tokio::task::JoinSet;
use tokio::time::timeout;

/// Upper bound on the time until a document is in force.
const IN_FORCE_TIMEOUT: Duration = Duration::from_secs(60);

const OPERATORS: u64 = 5;

/// A link on which every call fails.
#[derive(Clone)]
struct Broken;

impl Link for Broken {
    async fn call(&self, host: &name::Host, _: Protocol, _: Bytes) -> Result<Bytes, peer::Error> {
        Err(peer::Error::Unreachable(host.clone()))
    }
}

fn document_text(seed: u64) -> String {
    let key = document::key_sha256("key");
    format!(
        "# {seed}\n[[organisations]]\nname = \"north\"\nkey_sha256 = [\"{key}\"]\n[[workloads]]\nname = \"rebuild\"\n\
         priority = 0\n"
    )
}

fn trial() -> name::Environment {
    name::Environment::new("trial").unwrap()
}

fn log_client(server: &Server) -> Http {
    Http::new(server.address()).with_timeout(Duration::from_millis(300))
}

fn start_watch(server: &Server) -> Watch<Http, Broken> {
    let watch = Watch::new(
        trial(),
        log_client(server),
        Broken,
        watch::channel(Vec::new()).1,
        Instruments::new().unwrap(),
        Renewal { after_ms: 3_600_000, spread_ms: 0 },
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    let running = watch.clone();
    tokio::spawn(async move { running.run().await });
    watch
}

/// Waits for the document of `receipt` and returns its text.
async fn wait_in_force(watch: &Watch<Http, Broken>, receipt: Receipt) -> String {
    let mut documents = watch.documents();
    let newer = documents.wait_for(|d| d.as_ref().is_some_and(|d| d.version() >= receipt.version));
    let document = timeout(IN_FORCE_TIMEOUT, newer).await.unwrap().unwrap().clone().unwrap();
    assert_eq!(document.version(), receipt.version);
    document.text().to_string()
}

/// Has all operators submit on `base` at the same time. Returns the operator whose document was accepted.
async fn submit_concurrently(server: &Server, base: u64, round: u64) -> (u64, Receipt) {
    let mut submissions = JoinSet::new();
    for operator in 0..OPERATORS {
        let log = log_client(server);
        submissions.spawn(async move {
            let document = document_text(10 * round + operator);
            let author = format!("operator-{operator}");
            let result = Operator::new(log, &author).submit(&trial(), Some(base), &document).await;
            (operator, result)
        });
    }
    let mut accepted = Vec::new();
    for (operator, result) in submissions.join_all().await {
        match result {
            Ok(receipt) => accepted.push((operator, receipt)),
            Err(Error::Conflict { .. }) => {}
            Err(error) => panic!("round {round}, operator {operator}: {error:?}"),
        }
    }
    assert_eq!(accepted.len(), 1, "round {round}");
    accepted[0]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_several_concurrent_submissions_is_in_force_on_every_host() {
    let server = Server::start(Settings { retention_records: 24, ..Settings::default() }).unwrap();
    let hosts = [start_watch(&server), start_watch(&server), start_watch(&server)];
    let mut base = 0;
    for round in 0..6 {
        server.control(Change {
            lose: Some(round % 3),
            refuse: Some(round % 2),
            ..Change::default()
        });

        (0..5).for_each(|_| _ = server.append("config.trial", "damaged".into()));

        let (operator, receipt) = submit_concurrently(&server, base, round).await;

        for host in &hosts {
            assert_eq!(wait_in_force(host, receipt).await, document_text(10 * round + operator));
        }
        base = receipt.version;
    }
    assert!(server.records("config.trial")[0].offset > 0, "no record expired");
    // In four of the six rounds the first append that is not refused loses its response. How many more do depends on the
    // order of the appends.
    assert!(server.state().lost >= 4);

    let new_host = start_watch(&server);

    wait_in_force(&new_host, Receipt { version: base, id: uuid::Uuid::nil() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn submissions_fail_during_a_log_outage_and_hosts_recover_after_it() {
    let server = Server::start(Settings::default()).unwrap();
    let host = start_watch(&server);
    let operator = Operator::new(log_client(&server), "ada").with_backoff(Duration::from_millis(1));
    let first = operator.submit(&trial(), None, &document_text(1)).await.unwrap();
    wait_in_force(&host, first).await;

    server.control(Change { down: Some(true), ..Change::default() });
    let refused = operator.submit(&trial(), Some(first.version), &document_text(2)).await;
    server.control(Change { down: Some(false), ..Change::default() });
    let second = operator.submit(&trial(), Some(first.version), &document_text(3)).await.unwrap();

    assert!(matches!(refused, Err(Error::Log(_))), "{refused:?}");
    assert_eq!(wait_in_force(&host, second).await, document_text(3));
}
