//! Messages between members: probes, flooded changes and exchanges of tables.

use std::collections::BTreeMap;

use super::{Action, IndirectPing, State};
use crate::member::message::{self, Entry, Kind, Message};
use crate::member::record::{Health, Record};
use crate::name;

/// Shortest time between two floods of changes, in milliseconds.
const FLOOD_INTERVAL_MS: u64 = 100;

/// Largest size of the records in one datagram, in bytes.
const MAX_ENTRIES_BYTES: usize = 1_000;

/// Time for which two tables may differ before they are exchanged, in milliseconds.
const MISMATCH_TIMEOUT_MS: u64 = 1_500;

/// Shortest time between two exchanges of tables that this host starts, in milliseconds.
const EXCHANGE_INTERVAL_MS: u64 = 2_000;

/// Largest number of unanswered pings on behalf of other hosts.
const MAX_INDIRECT_PINGS: usize = 256;

impl State {
    /// The whole table, which starts an exchange.
    pub fn table(&self) -> message::Table {
        message::Table {
            document_version: self.document_version,
            entries: self.table.records().map(Entry::from).collect(),
        }
    }

    /// The records that are missing or older in `table`: the response in an exchange.
    pub fn difference(&self, table: &message::Table) -> message::Table {
        let received: BTreeMap<name::Host, Record> = table
            .entries
            .iter()
            .map(|entry| Record::from(entry.clone()))
            .map(|record| (record.host.clone(), record))
            .collect();
        let newer = self.table.records().filter(|record| match received.get(&record.host) {
            Some(other) => record.precedence() > other.precedence(),
            None => record.is_present(),
        });
        message::Table {
            document_version: self.document_version,
            entries: newer.map(Entry::from).collect(),
        }
    }

    pub(super) fn handle_datagram(&mut self, from: &name::Host, message: Message) {
        if *from == self.own.host {
            return;
        }
        if message.document_version > self.document_version {
            self.actions.push(Action::NewerDocument(from.clone(), message.document_version));
        }
        self.handle_kind(from, &message.kind);
        let (present, incarnation) = match self.table.get(from) {
            Some(row) => (row.record.is_present(), row.record.incarnation),
            None => (false, 0),
        };
        let recognised = present && incarnation == message.incarnation;
        for record in message.entries.into_iter().map(Record::from) {
            if recognised || record.host == *from {
                self.merge(record);
            }
        }
        if !recognised {
            return self.handle_unrecognised(from, message.incarnation);
        }
        if message.kind != Kind::Update {
            self.compare_digest(from, message.digest);
        }
    }

    pub(super) fn handle_kind(&mut self, from: &name::Host, kind: &Kind) {
        match kind {
            Kind::Update => {}
            Kind::Ping(number) => self.send(from, Kind::Ack(*number)),
            Kind::Ack(number) => {
                self.probes.record_ack(from, *number, self.now_ms);
                self.forward_ack(from, *number);
            }
            Kind::PingRequest(number, target) => self.ping_indirectly(from, *number, target),
            Kind::IndirectAck(number, target) => {
                self.probes.record_ack(target, *number, self.now_ms)
            }
        }
    }

    /// Pings `target` on behalf of `requester`.
    pub(super) fn ping_indirectly(
        &mut self,
        requester: &name::Host,
        requester_number: u32,
        target: &name::Host,
    ) {
        if !self.table.get(target).is_some_and(|row| row.record.is_present()) {
            return;
        }
        if self.indirect_pings.len() >= MAX_INDIRECT_PINGS {
            self.indirect_pings.remove(0);
        }
        let number = self.probes.next_number();
        let (target, requester) = (target.clone(), requester.clone());
        self.send(&target, Kind::Ping(number));
        self.indirect_pings.push(IndirectPing { number, target, requester, requester_number });
    }

    /// Sends an `IndirectAck` to the host that requested this ping, if there is one.
    pub(super) fn forward_ack(&mut self, from: &name::Host, number: u32) {
        let position = self
            .indirect_pings
            .iter()
            .position(|ping| ping.number == number && ping.target == *from);
        let Some(index) = position else { return };
        let ping = self.indirect_pings.remove(index);
        self.send(&ping.requester, Kind::IndirectAck(ping.requester_number, ping.target));
    }

    /// Handles a sender that was not present in the table with this incarnation. If its message has just added its
    /// record, does nothing. If the table has a later incarnation of the sender, or this one as dead or left, sends it
    /// that record. Otherwise starts an exchange.
    pub(super) fn handle_unrecognised(&mut self, from: &name::Host, incarnation: u64) {
        match self.table.get(from).map(|row| row.record.clone()) {
            Some(r) if r.is_present() && r.incarnation == incarnation => {}
            Some(record) if record.incarnation >= incarnation => {
                let message = self.message(Kind::Update, vec![Entry::from(&record)]);
                self.actions.push(Action::Send(from.clone(), message));
            }
            _ => self.begin_exchange(from),
        }
    }

    /// Starts an exchange if the sender's table has differed from this host's for too long.
    pub(super) fn compare_digest(&mut self, from: &name::Host, digest: u64) {
        if digest == self.table.digest() {
            self.mismatches.remove(from);
            return;
        }
        let since_ms = *self.mismatches.entry(from.clone()).or_insert(self.now_ms);
        // If there are suspects, a refutation may have been lost, and the suspicion times out soon.
        let timeout_ms =
            if self.has_suspects() { MISMATCH_TIMEOUT_MS / 5 } else { MISMATCH_TIMEOUT_MS };
        if self.now_ms >= since_ms + timeout_ms {
            self.begin_exchange(from);
        }
    }

    pub(super) fn begin_exchange(&mut self, host: &name::Host) {
        if self.now_ms < self.next_exchange_ms {
            return;
        }
        self.next_exchange_ms = self.now_ms + EXCHANGE_INTERVAL_MS;
        self.counts.exchanges += 1;
        self.actions.push(Action::Exchange(host.clone()));
    }

    pub(super) fn handle_table(&mut self, from: &name::Host, table: message::Table) {
        if *from == self.own.host {
            return;
        }
        if table.document_version > self.document_version {
            self.actions.push(Action::NewerDocument(from.clone(), table.document_version));
        }
        self.mismatches.remove(from);
        let alone = self.view.members().len() <= 1;
        table.entries.into_iter().map(Record::from).for_each(|record| self.merge(record));
        // The other hosts already have the records that a joining host receives. It floods only its own.
        if alone {
            self.changed_hosts.retain(|host| *host == self.own.host);
        }
    }

    /// Sends changed records to all neighbours.
    pub(super) fn flood(&mut self) {
        if !self.flood_pending || self.now_ms < self.next_flood_ms {
            return;
        }
        self.flood_pending = false;
        self.next_flood_ms = self.now_ms + FLOOD_INTERVAL_MS;
        let changed = std::mem::take(&mut self.changed_hosts);
        let rows = changed.iter().filter_map(|host| self.table.get(host));
        let parts = split(rows.map(|row| row.record.clone()));
        for host in self.neighbours.all.clone() {
            for part in &parts {
                let message = self.message(Kind::Update, part.clone());
                self.actions.push(Action::Send(host.clone(), message));
            }
        }
    }

    pub(super) fn send(&mut self, to: &name::Host, kind: Kind) {
        // A receiver that is not alive in the table is sent this record, so that it can refute it.
        let not_alive = self.table.get(to).filter(|row| row.record.health != Health::Alive);
        let entries = not_alive.map(|row| Entry::from(&row.record)).into_iter().collect();
        let message = self.message(kind, entries);
        self.actions.push(Action::Send(to.clone(), message));
    }

    pub(super) fn message(&self, kind: Kind, entries: Vec<Entry>) -> Message {
        Message {
            incarnation: self.own.incarnation,
            kind,
            digest: self.table.digest(),
            document_version: self.document_version,
            entries,
        }
    }
}

/// Splits records into parts that each fit a datagram. At least one part, which may be empty.
fn split(records: impl Iterator<Item = Record>) -> Vec<Vec<Entry>> {
    let mut parts = vec![Vec::new()];
    let mut size = 0;
    for record in records {
        let entry = Entry::from(&record);
        size += entry.max_bytes();
        if size > MAX_ENTRIES_BYTES {
            size = entry.max_bytes();
            parts.push(Vec::new());
        }
        if let Some(part) = parts.last_mut() {
            part.push(entry);
        }
    }
    parts
}
