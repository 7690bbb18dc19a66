//! Merging of received records into the table.

use super::{Action, State};
use crate::member::record::{Health, Record};

impl State {
    /// Merges a record from another host if it is newer than the known one.
    pub(super) fn merge(&mut self, mut record: Record) {
        if record.host == self.own.host {
            return self.merge_own(record);
        }
        let Some(old) = self.table.get(&record.host).map(|row| &row.record) else {
            if record.is_present() && !self.table.is_full() {
                self.put(record);
            }
            return;
        };
        // A member that is present here becomes suspect first, so that it has time to refute. Otherwise the parts of a
        // healed partition would declare each other's members dead.
        if record.health == Health::Dead && old.is_present() {
            record.health = Health::Suspect;
        }
        if record.precedence() <= old.precedence() {
            return;
        }
        self.put(record);
    }

    /// Refutes a suspicion or death of this host, or lets a later process with the same host name supersede this one.
    pub(super) fn merge_own(&mut self, record: Record) {
        let later = record.incarnation > self.own.incarnation;
        if later && record.is_present() && record.address != self.own.address {
            if !self.superseded {
                self.superseded = true;
                self.actions.push(Action::Superseded);
            }
            return self.put(record);
        }
        if record.precedence() <= self.own.precedence() {
            return;
        }
        self.counts.refutations += 1;
        self.superseded = false;
        self.update_own(|own| {
            if later {
                own.incarnation = record.incarnation.saturating_add(1);
            }
            own.revision = own.revision.max(record.revision);
        });
    }

    /// Changes this host's own record and queues it to be flooded.
    pub(super) fn update_own(&mut self, change: impl FnOnce(&mut Record)) {
        change(&mut self.own);
        self.own.revision = self.own.revision.saturating_add(1);
        if !self.superseded {
            self.put(self.own.clone());
        }
    }

    /// Puts a record into the table, queues it to be flooded and marks what depends on the table as stale.
    pub(super) fn put(&mut self, record: Record) {
        let (host, address, present) = (record.host.clone(), record.address, record.is_present());
        let old = self.table.put(record, self.now_ms);
        self.changed_hosts.insert(host.clone());
        self.flood_pending = true;
        self.view_current = false;
        let was_present = old.as_ref().is_some_and(Record::is_present);
        let same_address = old.is_some_and(|old| old.address == address);
        self.neighbours_stale |= was_present != present || !same_address;
        if host == self.own.host {
            return;
        }
        if was_present && (!present || !same_address) {
            self.actions.push(Action::RemoveAddress(host.clone()));
        }
        if present && (!was_present || !same_address) {
            self.actions.push(Action::SetAddress(host, address));
        }
    }
}
