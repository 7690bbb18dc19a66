//! What members tell each other.

use std::collections::BTreeMap;

use super::{Action, Relay, State};
use crate::member::message::{self, Entry, Kind, Message};
use crate::member::record::{Health, Record};
use crate::name;

/// Least time between two rounds of passing changes on, in milliseconds.
const FLOOD_INTERVAL_MS: u64 = 100;

/// Largest number of bytes of changes in one datagram.
const MAX_ENTRIES_BYTES: usize = 1_000;

/// Time that two tables may differ before they are exchanged, in milliseconds.
const MISMATCH_MS: u64 = 1_500;

/// Least time between two exchanges of tables that this host begins, in milliseconds.
const SYNC_INTERVAL_MS: u64 = 2_000;

/// Largest number of pings open on behalf of others.
const MAX_RELAYS: usize = 256;

impl State {
    /// The whole table, to begin an exchange with.
    pub fn table(&self) -> message::Table {
        message::Table {
            version: self.version,
            entries: self.table.records().map(Entry::from).collect(),
        }
    }

    /// What the sender of `table` lacks, to answer an exchange with.
    pub fn difference(&self, table: &message::Table) -> message::Table {
        let known: BTreeMap<name::Host, Record> = table
            .entries
            .iter()
            .map(|entry| Record::from(entry.clone()))
            .map(|record| (record.host.clone(), record))
            .collect();
        let lacking = self.table.records().filter(|record| match known.get(&record.host) {
            Some(theirs) => record.order() > theirs.order(),
            None => record.is_present(),
        });
        message::Table { version: self.version, entries: lacking.map(Entry::from).collect() }
    }

    pub(super) fn receive(&mut self, from: &name::Host, message: Message) {
        if *from == self.own.host {
            return;
        }
        if message.version > self.version {
            self.actions.push(Action::Newer(from.clone(), message.version));
        }
        self.answer(from, &message.kind);
        let (present, incarnation) = match self.table.get(from) {
            Some(row) => (row.record.is_present(), row.record.incarnation),
            None => (false, 0),
        };
        let trusted = present && incarnation == message.incarnation;
        for record in message.entries.into_iter().map(Record::from) {
            if trusted || record.host == *from {
                self.merge(record);
            }
        }
        if !trusted {
            return self.correct(from, message.incarnation);
        }
        if message.kind != Kind::Update {
            self.compare(from, message.digest);
        }
    }

    pub(super) fn answer(&mut self, from: &name::Host, kind: &Kind) {
        match kind {
            Kind::Update => {}
            Kind::Ping(number) => self.send(from, Kind::Ack(*number)),
            Kind::Ack(number) => {
                self.probes.answer(from, *number, self.now_ms);
                self.answer_relays(from, *number);
            }
            Kind::Check(number, target) => self.relay(from, *number, target),
            Kind::Checked(number, target) => self.probes.answer(target, *number, self.now_ms),
        }
    }

    pub(super) fn relay(&mut self, asker: &name::Host, asker_number: u32, target: &name::Host) {
        if !self.table.get(target).is_some_and(|row| row.record.is_present()) {
            return;
        }
        if self.relays.len() >= MAX_RELAYS {
            self.relays.remove(0);
        }
        let number = self.probes.next_number();
        let (target, asker) = (target.clone(), asker.clone());
        self.send(&target, Kind::Ping(number));
        self.relays.push(Relay { number, target, asker, asker_number });
    }

    pub(super) fn answer_relays(&mut self, from: &name::Host, number: u32) {
        let found = self.relays.iter().position(|r| r.number == number && r.target == *from);
        let Some(index) = found else { return };
        let relay = self.relays.remove(index);
        self.send(&relay.asker, Kind::Checked(relay.asker_number, relay.target));
    }

    /// Tells a sender that is not the member known by its name how it is seen, or asks it who it is.
    pub(super) fn correct(&mut self, from: &name::Host, incarnation: u64) {
        match self.table.get(from).map(|row| row.record.clone()) {
            Some(r) if r.is_present() && r.incarnation == incarnation => {}
            Some(record) if record.incarnation >= incarnation => {
                let message = self.message(Kind::Update, vec![Entry::from(&record)]);
                self.actions.push(Action::Send(from.clone(), message));
            }
            _ => self.exchange(from),
        }
    }

    /// Exchanges tables if the sender's has differed from this host's for a while.
    pub(super) fn compare(&mut self, from: &name::Host, digest: u64) {
        if digest == self.table.digest() {
            self.mismatches.remove(from);
            return;
        }
        let since_ms = *self.mismatches.entry(from.clone()).or_insert(self.now_ms);
        // A suspect may have spoken up unheard, and its time is short.
        let waits_ms = if self.has_suspects() { MISMATCH_MS / 5 } else { MISMATCH_MS };
        if self.now_ms >= since_ms + waits_ms {
            self.exchange(from);
        }
    }

    pub(super) fn exchange(&mut self, host: &name::Host) {
        if self.now_ms < self.sync_ms {
            return;
        }
        self.sync_ms = self.now_ms + SYNC_INTERVAL_MS;
        self.counts.exchanges += 1;
        self.actions.push(Action::Exchange(host.clone()));
    }

    pub(super) fn exchanged(&mut self, from: &name::Host, table: message::Table) {
        if *from == self.own.host {
            return;
        }
        if table.version > self.version {
            self.actions.push(Action::Newer(from.clone(), table.version));
        }
        self.mismatches.remove(from);
        let alone = self.view.members().len() <= 1;
        table.entries.into_iter().map(Record::from).for_each(|record| self.merge(record));
        // A host that joins has no news but itself.
        if alone {
            self.changed.retain(|host| *host == self.own.host);
        }
    }

    /// Passes changes on to all neighbours.
    pub(super) fn flood(&mut self) {
        if !self.flood_due || self.now_ms < self.flood_ms {
            return;
        }
        self.flood_due = false;
        self.flood_ms = self.now_ms + FLOOD_INTERVAL_MS;
        let changed = std::mem::take(&mut self.changed);
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
        let suspect = self.table.get(to).filter(|row| row.record.health != Health::Alive);
        let entries = suspect.map(|row| Entry::from(&row.record)).into_iter().collect();
        let message = self.message(kind, entries);
        self.actions.push(Action::Send(to.clone(), message));
    }

    pub(super) fn message(&self, kind: Kind, entries: Vec<Entry>) -> Message {
        Message {
            incarnation: self.own.incarnation,
            kind,
            digest: self.table.digest(),
            version: self.version,
            entries,
        }
    }
}

/// Splits records so that each part fits a datagram.
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
