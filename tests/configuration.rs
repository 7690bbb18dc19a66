//! Racing operators and running entry hosts over HTTP, against a log that loses answers, goes down and expires records.

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

/// Generous time for a condition to hold.
const LIMIT: Duration = Duration::from_secs(60);

const OPERATORS: u64 = 5;

/// A link on which no host can be reached.
#[derive(Clone)]
struct Cut;

impl Link for Cut {
    async fn call(&self, host: &name::Host, _: Protocol, _: Bytes) -> Result<Bytes, peer::Error> {
        Err(peer::Error::Unreachable(host.clone()))
    }
}

fn text(seed: u64) -> String {
    let key = document::key_sha256("key");
    format!(
        "# {seed}\n[[organisations]]\nname = \"north\"\nkey_sha256 = [\"{key}\"]\n[[workloads]]\nname = \"rebuild\"\n\
         priority = 0\n"
    )
}

fn trial() -> name::Environment {
    name::Environment::new("trial").unwrap()
}

fn log(server: &Server) -> Http {
    Http::new(server.address()).with_timeout(Duration::from_millis(300))
}

fn start(server: &Server) -> Watch<Http, Cut> {
    let watch = Watch::new(
        trial(),
        log(server),
        Cut,
        watch::channel(Vec::new()).1,
        Instruments::new().unwrap(),
        Renewal { after_ms: 3_600_000, spread_ms: 0 },
        slog::Logger::root(slog::Discard, slog::o!()),
    );
    let running = watch.clone();
    tokio::spawn(async move { running.run().await });
    watch
}

async fn in_force(watch: &Watch<Http, Cut>, receipt: Receipt) -> String {
    let mut documents = watch.documents();
    let newer = documents.wait_for(|d| d.as_ref().is_some_and(|d| d.version() >= receipt.version));
    let document = timeout(LIMIT, newer).await.unwrap().unwrap().clone().unwrap();
    assert_eq!(document.version(), receipt.version);
    document.text().to_string()
}

/// All operators submit on `base`; returns the one who won.
async fn race(server: &Server, base: u64, round: u64) -> (u64, Receipt) {
    let mut racers = JoinSet::new();
    for operator in 0..OPERATORS {
        let log = log(server);
        racers.spawn(async move {
            let document = text(10 * round + operator);
            let author = format!("operator-{operator}");
            let result = Operator::new(log, &author).submit(&trial(), Some(base), &document).await;
            (operator, result)
        });
    }
    let mut winners = Vec::new();
    for (operator, result) in racers.join_all().await {
        match result {
            Ok(receipt) => winners.push((operator, receipt)),
            Err(Error::Conflict { .. }) => {}
            Err(error) => panic!("round {round}, operator {operator}: {error:?}"),
        }
    }
    assert_eq!(winners.len(), 1, "round {round}");
    winners[0]
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn one_of_several_operators_wins_and_every_host_obeys() {
    let server = Server::start(Settings { retention_records: 24, ..Settings::default() }).unwrap();
    let hosts = [start(&server), start(&server), start(&server)];
    let mut base = 0;
    for round in 0..6 {
        server.control(Change {
            lose: Some(round % 3),
            refuse: Some(round % 2),
            ..Change::default()
        });

        (0..5).for_each(|_| _ = server.append("config.trial", "damaged".into()));

        let (winner, receipt) = race(&server, base, round).await;

        for host in &hosts {
            assert_eq!(in_force(host, receipt).await, text(10 * round + winner));
        }
        base = receipt.version;
    }
    assert!(server.records("config.trial")[0].offset > 0, "nothing expired");
    // In four of the rounds the first append that is not refused gets no answer; how many follow depends on the race.
    assert!(server.state().lost >= 4);

    let starter = start(&server);

    in_force(&starter, Receipt { version: base, id: uuid::Uuid::nil() }).await;
}

#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn an_outage_changes_nothing_and_hosts_go_on_after_it() {
    let server = Server::start(Settings::default()).unwrap();
    let host = start(&server);
    let ada = Operator::new(log(&server), "ada").with_backoff(Duration::from_millis(1));
    let first = ada.submit(&trial(), None, &text(1)).await.unwrap();
    in_force(&host, first).await;

    server.control(Change { down: Some(true), ..Change::default() });
    let refused = ada.submit(&trial(), Some(first.version), &text(2)).await;
    server.control(Change { down: Some(false), ..Change::default() });
    let second = ada.submit(&trial(), Some(first.version), &text(3)).await.unwrap();

    assert!(matches!(refused, Err(Error::Log(_))), "{refused:?}");
    assert_eq!(in_force(&host, second).await, text(3));
}
