//! The list of entry hosts in the platform's store: writes this host's address and reads those of the others.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::context::Context;
use super::watch_store::{Consumer, Scope, follow};
use crate::name;
use crate::platform::store::{self, Client, Error, Record};

/// Time between two reads of the hosts' addresses. A host that starts later sends its load report to every host in the
/// list, so a read is needed only if all of its reports were lost.
const INTERVAL: Duration = Duration::from_secs(60);

/// Delay after a failed read of the hosts' addresses.
const RETRY_DELAY: Duration = Duration::from_secs(2);

/// Longest time for which the first read of the hosts' addresses waits until the own one is written. Of two hosts that
/// start together, the one that wrote later then reads the address of the other.
const ANNOUNCE_TIMEOUT: Duration = Duration::from_secs(4);

/// Time over which the hosts spread their writes after the store has come back from an older copy.
const REWRITE_SPREAD: Duration = Duration::from_millis(1_500);

/// Delay before another try to write this host's address.
const ANNOUNCE_RETRY_DELAY: Duration = Duration::from_secs(1);

/// Consumes the addresses of entry hosts.
pub(crate) struct Hosts {
    pub(crate) context: Arc<Context>,
}

impl Consumer for Hosts {
    const TOPIC: &'static str = store::HOSTS_TOPIC;
    const MAX_QUEUE: Duration = store::MAX_APPEND_QUEUE;

    fn poll_timeout(&self) -> Duration {
        Duration::ZERO
    }

    async fn until_next_read(&self, elapsed: Duration) -> Scope {
        tokio::time::sleep(INTERVAL.saturating_sub(elapsed)).await;
        Scope::New
    }

    fn retry_delay(&self) -> Duration {
        RETRY_DELAY
    }

    fn apply(&mut self, records: Vec<Record>, _: bool) {
        let Context { settings, cache, logger, .. } = &*self.context;
        let count = records.len();
        for record in records {
            match parse_host(&record) {
                // An earlier process of this host may have had another address.
                Some((host, _)) if host == settings.host => {}
                Some((host, address)) => {
                    cache.put_host(host, address);
                }
                None => {
                    warn!(logger, "host entry rejected; expected a host name and IP:PORT"; "key" => record.key)
                }
            }
        }
        cache.put_host(settings.host.clone(), settings.peer_address);
        cache.mark_hosts_listed();
        info!(logger, "host addresses read"; "count" => count);
    }

    fn on_store_lost(&mut self, error: Error) {
        warn!(self.context.logger, "store unreachable"; "topic" => Self::TOPIC, "error" => error.to_string());
    }
}

fn parse_host(record: &Record) -> Option<(name::Host, SocketAddr)> {
    let host = name::Host::new(&record.key).ok()?;
    let address = std::str::from_utf8(record.value.as_ref()?).ok()?.parse().ok()?;
    Some((host, address))
}

/// Writes this host's address to the store, and retries until that succeeds. Then sends `true` to `announced`, and writes
/// the address again each time the store has come back from an older copy.
pub(crate) async fn announce_host(
    client: Client,
    host: name::Host,
    address: SocketAddr,
    logger: Logger,
    announced: watch::Sender<bool>,
) {
    let value = address.to_string();
    let mut era = client.era();
    loop {
        let written_in = write_address(&client, &host, &value, &logger).await;
        announced.send_replace(true);
        // The client knows the era for as long as this task runs, so the wait cannot fail.
        let _ = era.wait_for(|era| *era > written_in).await;
        // The hosts do not all write in the same instant.
        tokio::time::sleep(REWRITE_SPREAD.mul_f64(rand::random())).await;
    }
}

/// Writes `value` as the address of `host`, and retries until that succeeds. Returns the era of the store.
async fn write_address(
    client: &Client,
    host: &name::Host,
    value: &str,
    logger: &Logger,
) -> Option<u64> {
    loop {
        match client.append(store::HOSTS_TOPIC, host.as_str(), value.as_bytes()).await {
            Ok(era) => return era,
            Err(error) => {
                warn!(logger, "cannot write this host's address to the store; retrying"; "error" => error.to_string())
            }
        }
        tokio::time::sleep(ANNOUNCE_RETRY_DELAY).await;
    }
}

/// Reads the entry hosts' addresses until the task is dropped, first when this host's own address is written.
pub(crate) async fn follow_hosts(
    client: Client,
    hosts: Hosts,
    mut announced: watch::Receiver<bool>,
) {
    // While the store accepts no writes, the list is read without the own address in it.
    let _ = tokio::time::timeout(ANNOUNCE_TIMEOUT, announced.wait_for(|done| *done)).await;
    follow(client, hosts).await;
}
