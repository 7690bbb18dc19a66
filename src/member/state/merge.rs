//! Which of two statements about a member counts.

use super::{Action, State};
use crate::member::record::{Health, Record};

impl State {
    /// Takes in what another host says of a member, if it is newer than what is known.
    pub(super) fn merge(&mut self, mut record: Record) {
        if record.host == self.own.host {
            return self.merge_own(record);
        }
        let Some(old) = self.table.get(&record.host).map(|row| &row.record) else {
            if record.is_present() && !self.table.is_full() {
                self.accept(record);
            }
            return;
        };
        // A member present here is not dead before it had time to speak up here too, so that parts of the fleet that
        // were cut off from each other do not declare each other's members dead when they meet again.
        if record.health == Health::Dead && old.is_present() {
            record.health = Health::Suspect;
        }
        if record.order() <= old.order() {
            return;
        }
        self.accept(record);
    }

    /// Speaks up against a suspicion, or makes way for a later process of this host.
    pub(super) fn merge_own(&mut self, record: Record) {
        let later = record.incarnation > self.own.incarnation;
        if later && record.is_present() && record.address != self.own.address {
            if !self.superseded {
                self.superseded = true;
                self.actions.push(Action::Superseded);
            }
            return self.accept(record);
        }
        if record.order() <= self.own.order() {
            return;
        }
        self.counts.refutations += 1;
        self.superseded = false;
        self.declare(|own| {
            if later {
                own.incarnation = record.incarnation.saturating_add(1);
            }
            own.revision = own.revision.max(record.revision);
        });
    }

    /// Changes what this host says of itself, and tells the others.
    pub(super) fn declare(&mut self, change: impl FnOnce(&mut Record)) {
        change(&mut self.own);
        self.own.revision = self.own.revision.saturating_add(1);
        if !self.superseded {
            self.accept(self.own.clone());
        }
    }

    pub(super) fn accept(&mut self, record: Record) {
        let (host, address, present) = (record.host.clone(), record.address, record.is_present());
        let old = self.table.put(record, self.now_ms);
        self.changed.insert(host.clone());
        self.flood_due = true;
        self.reviewed = false;
        let was_present = old.as_ref().is_some_and(Record::is_present);
        let same_address = old.is_some_and(|old| old.address == address);
        self.regroup |= was_present != present || !same_address;
        if host == self.own.host {
            return;
        }
        if was_present && (!present || !same_address) {
            self.actions.push(Action::Forget(host.clone()));
        }
        if present && (!was_present || !same_address) {
            self.actions.push(Action::Address(host, address));
        }
    }
}
