//! The quarantine at a node: decides for requests, and exchanges with the other hosts what servers show.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use slog::{Logger, info, warn};
use tokio::sync::watch;

use super::wire::Message;
use super::{Change, Table, VOUCHING_HOSTS, Verdict};
use crate::clock::boot_ms;
use crate::member::View;
use crate::peer::{Link, Protocol};
use crate::{connect, name, wire};

/// Hosts that send the records to a host that has started.
const INFORMANTS: usize = 3;

/// Records in one message: about one datagram.
const MAX_MESSAGE_RECORDS: usize = 4;

/// The quarantine at a node. Cheap to clone.
pub struct Service<L>(Arc<Shared<L>>);

impl<L> Clone for Service<L> {
    fn clone(&self) -> Self {
        Self(Arc::clone(&self.0))
    }
}

struct Shared<L> {
    host: name::Host,
    link: L,
    view: watch::Receiver<Arc<View>>,
    neighbours: watch::Receiver<Vec<name::Host>>,
    table: Mutex<Table>,
    logger: Logger,
}

impl<L: Link> Service<L> {
    /// The quarantine at `host`, which floods what it learns to its `neighbours` over `link`.
    pub fn new(
        host: name::Host,
        link: L,
        view: watch::Receiver<Arc<View>>,
        neighbours: watch::Receiver<Vec<name::Host>>,
        logger: Logger,
    ) -> Self {
        Self(Arc::new(Shared { host, link, view, neighbours, table: Mutex::default(), logger }))
    }

    /// Whether a new request with these parts may be sent to servers.
    pub fn admit(&self, parts: &[name::Part]) -> Verdict {
        let may_try = |part: &name::Part| self.is_among_owners(part.as_str(), 1);
        let verdict = self.table().admit(parts, may_try, boot_ms());
        let mut changed = self.log_changes();
        if verdict == Verdict::Trial {
            changed.extend_from_slice(parts);
        }
        self.share(&changed);
        verdict
    }

    /// Whether a request with these parts that failed at one server may be sent to another one.
    pub fn may_repeat(&self, parts: &[name::Part]) -> bool {
        self.table().may_repeat(parts, boot_ms())
    }

    /// Finds out whether the server with this name that broke off a request with these parts, which it had just begun, has
    /// ended, and if so records that the request may be the cause. Returns whether it has ended.
    pub async fn check(&self, parts: &[name::Part], server: &str, address: SocketAddr) -> bool {
        let ended = connect::is_refused(address).await;
        let texts: Vec<_> = parts.iter().map(name::Part::as_str).collect();
        info!(self.0.logger, "server broke off a request"; "server" => server,
            "ended" => ended, "content" => texts.join(","));
        if let (true, Ok(server)) = (ended, name::Server::new(server)) {
            let parts = self.table().record_crash(parts, &server, boot_ms());
            self.share(&parts);
            self.vouch();
        }
        ended
    }

    /// Records that a server processed a request with these parts without crashing.
    pub fn prove(&self, parts: &[name::Part]) {
        let parts = self.table().record_proof(parts, boot_ms());
        self.log_changes();
        self.flood(Message::sound(parts));
    }

    /// Applies a message of another host.
    pub fn handle(&self, body: &[u8]) {
        let Ok(message) = wire::decode::<Message>(body) else { return };
        let applied = message.apply(&mut self.table(), boot_ms());
        self.log_changes();
        self.flood(applied.forward);
        self.flood(applied.reply);
        self.vouch();
    }

    /// Tells the other hosts which suspected parts were sound at this host before. A few of the hosts do so.
    fn vouch(&self) {
        let may_vouch = |part: &name::Part| self.is_among_owners(part.as_str(), VOUCHING_HOSTS);
        let proofs = self.table().take_earlier_proofs(may_vouch);
        self.flood(Message::earlier_proofs(proofs, boot_ms()));
    }

    /// Sends the records to hosts that start, and removes old ones, until the task is dropped.
    pub async fn run(&self) {
        let mut view = self.0.view.clone();
        let mut known: HashMap<name::Host, u64> = HashMap::new();
        loop {
            self.table().expire(boot_ms());
            let current = Arc::clone(&view.borrow_and_update());
            for member in current.members() {
                let incarnation = known.insert(member.host.clone(), member.incarnation);
                if incarnation != Some(member.incarnation) {
                    self.inform(&member.host).await;
                }
            }
            if view.changed().await.is_err() {
                return;
            }
        }
    }

    async fn inform(&self, host: &name::Host) {
        let parts: Vec<_> = self.table().records().map(|(part, _)| part.clone()).collect();
        if *host == self.0.host || !self.is_among_owners(host.as_str(), INFORMANTS) {
            return;
        }
        for parts in parts.chunks(MAX_MESSAGE_RECORDS) {
            let message = Message::records(&self.table(), parts, boot_ms());
            let encoded = message.and_then(|message| wire::encode(&message).ok());
            if let Some(body) = encoded {
                self.0.link.notify(host, Protocol::Quarantine, body).await;
            }
        }
    }

    fn table(&self) -> MutexGuard<'_, Table> {
        self.0.table.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this host is among the first `count` owners of `key` other than the one that `key` names.
    fn is_among_owners(&self, key: &str, count: usize) -> bool {
        let view = self.0.view.borrow();
        let owners = view.owners(key, count + 1);
        let mut others = owners.iter().filter(|member| member.host.as_str() != key).take(count);
        others.any(|member| member.host == self.0.host)
    }

    fn share(&self, parts: &[name::Part]) {
        let message = Message::records(&self.table(), parts, boot_ms());
        self.flood(message);
    }

    /// Sends a message to the neighbours, which send on what is new to them.
    fn flood(&self, message: Option<Message>) {
        let Some(Ok(body)) = message.map(|message| wire::encode(&message)) else { return };
        let neighbours = self.0.neighbours.borrow().clone();
        let shared = Arc::clone(&self.0);
        tokio::spawn(async move {
            for host in neighbours {
                shared.link.notify(&host, Protocol::Quarantine, body.clone()).await;
            }
        });
    }

    /// Logs the changes of parts, and returns those that this host has quarantined.
    fn log_changes(&self) -> Vec<name::Part> {
        let changes = self.table().take_changes();
        let mut quarantined = Vec::new();
        for change in changes {
            match change {
                Change::Quarantined(part) => {
                    warn!(self.0.logger, "content quarantined"; "part" => part.as_str());
                    quarantined.push(part);
                }
                Change::Released(part) => {
                    info!(self.0.logger, "content released"; "part" => part.as_str());
                }
            }
        }
        quarantined
    }
}
