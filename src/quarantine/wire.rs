//! Messages between hosts about parts of prompts. Times are ages, as clocks differ between hosts.

use serde::{Deserialize, Serialize};

use super::{Crash, Merge, Quarantine, Record, Table};
use crate::name;

/// What a host tells others about parts.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub enum Message {
    /// Parts under which servers crashed.
    Records(Vec<PartRecord>),
    /// Parts under which a server did not crash.
    Sound(Vec<name::Part>),
    /// Parts with crashes that were proven sound before them, and the milliseconds since.
    EarlierProofs(Vec<(name::Part, u64)>),
}

/// What a host knows of a part.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct PartRecord {
    part: name::Part,
    depth: u32,
    /// Servers that crashed, and the milliseconds since.
    crashes: Vec<(name::Server, u64)>,
    quarantine: Option<PartQuarantine>,
}

#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct PartQuarantine {
    age_ms: u64,
    trials: u32,
    next_trial_in_ms: u64,
}

/// What to send on after a message was applied.
#[derive(Debug, Default)]
pub struct Applied {
    /// For hosts that the sender does not reach: what was new to this host.
    pub forward: Option<Message>,
    /// For the sender and all others: what the sender did not know.
    pub reply: Option<Message>,
}

impl PartRecord {
    fn new(part: &name::Part, record: &Record, now_ms: u64) -> Self {
        let age_ms = |at_ms: u64| now_ms.saturating_sub(at_ms);
        let crashes = record.crashes.iter();
        let quarantine = record.quarantine.map(|quarantine| PartQuarantine {
            age_ms: age_ms(quarantine.since_ms),
            trials: quarantine.trials,
            next_trial_in_ms: quarantine.next_trial_ms.saturating_sub(now_ms),
        });
        Self {
            part: part.clone(),
            depth: u32::try_from(record.depth).unwrap_or(u32::MAX),
            crashes: crashes.map(|crash| (crash.server.clone(), age_ms(crash.at_ms))).collect(),
            quarantine,
        }
    }

    fn into_record(self, now_ms: u64) -> (name::Part, Record) {
        let at_ms = |age_ms: u64| now_ms.saturating_sub(age_ms);
        let crashes = self.crashes.into_iter();
        let crashes = crashes.map(|(server, age_ms)| Crash { server, at_ms: at_ms(age_ms) });
        let quarantine = self.quarantine.map(|quarantine| Quarantine {
            since_ms: at_ms(quarantine.age_ms),
            trials: quarantine.trials,
            next_trial_ms: now_ms.saturating_add(quarantine.next_trial_in_ms),
        });
        (self.part, Record::new(self.depth as usize, crashes.collect(), quarantine))
    }
}

impl Message {
    /// What `table` knows of `parts`; `None` if nothing.
    pub fn records<'a>(
        table: &Table,
        parts: impl IntoIterator<Item = &'a name::Part>,
        now_ms: u64,
    ) -> Option<Self> {
        let known = parts.into_iter().filter_map(|part| Some((part, table.record(part)?)));
        let records = known.map(|(part, record)| PartRecord::new(part, record, now_ms));
        let records: Vec<_> = records.collect();
        (!records.is_empty()).then_some(Self::Records(records))
    }

    /// That `parts` do not crash engines; `None` without parts.
    pub fn sound(parts: Vec<name::Part>) -> Option<Self> {
        (!parts.is_empty()).then_some(Self::Sound(parts))
    }

    /// That parts were proven sound before their crashes, at these times; `None` without parts.
    pub fn earlier_proofs(proofs: Vec<(name::Part, u64)>, now_ms: u64) -> Option<Self> {
        let proofs = proofs.into_iter().map(|(part, at_ms)| (part, now_ms.saturating_sub(at_ms)));
        let proofs: Vec<_> = proofs.collect();
        (!proofs.is_empty()).then_some(Self::EarlierProofs(proofs))
    }

    /// Applies the message to `table`.
    pub fn apply(self, table: &mut Table, now_ms: u64) -> Applied {
        match self {
            Self::Sound(parts) => {
                let forward = Self::sound(table.record_proof(&parts, now_ms));
                Applied { forward, reply: None }
            }
            Self::Records(records) => Self::apply_records(records, table, now_ms),
            Self::EarlierProofs(mut proofs) => {
                proofs.retain(|(part, age_ms)| {
                    table.record_earlier_proof(part, now_ms.saturating_sub(*age_ms))
                });
                let forward = (!proofs.is_empty()).then_some(Self::EarlierProofs(proofs));
                Applied { forward, reply: None }
            }
        }
    }

    fn apply_records(records: Vec<PartRecord>, table: &mut Table, now_ms: u64) -> Applied {
        let (mut new, mut disproved) = (Vec::new(), Vec::new());
        for record in records {
            let (part, known) = record.clone().into_record(now_ms);
            match table.merge(&part, &known, now_ms) {
                Merge::Known => {}
                Merge::New => new.push(record),
                Merge::Disproved => disproved.push(part),
            }
        }
        let forward = (!new.is_empty()).then_some(Self::Records(new));
        Applied { forward, reply: Self::sound(disproved) }
    }
}
