//! Which hosts read the platform's store, and what the others may conclude from what those say.
//!
//! Load: each call to the store is paid for and limited over all hosts together, and 80 hosts that each follow it alone
//! make 80 calls a second on a calm day. A few hosts follow it; the others ask them.
//!
//! An answer states how old the answering host's belief was. The host that asked counts that age back from the moment of
//! its question, on its own clock, so neither clocks that differ nor slow or repeated datagrams make a belief look
//! younger than it is.

use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::directory::Incarnation;

#[cfg(test)]
mod tests;

/// Hosts that follow the store if all hear each other: several in each failure domain, so that a lost one is not missed.
const READERS: usize = 9;

/// Age of a belief from which another host is asked, in milliseconds: less than the time between two reads of a reader.
const ASK_AGE_MS: u64 = 700;

/// Time between two questions of one host.
pub const ASK_INTERVAL: Duration = Duration::from_millis(400);

/// Part of the time until a leaving server gets no new work for which a host relies on what it knows of servers. The rest
/// is for a read of its own.
const SERVERS_PART: f64 = 0.65;

/// Part of the time until a document is in force for which a host relies on its document. Routes and keys are denied
/// up to 1.4 of that time, so the rest is for a read of its own.
const DOCUMENT_PART: f64 = 1.1;

/// Time for which a leaving server is named in answers, in milliseconds: several times the longest age of a belief.
pub const RECENT_MS: u64 = 10_000;

/// Answers in a row that name other servers than this host knows, after which it reads the store itself: a change that is
/// on its way explains one.
const DIFFERENT_ANSWERS: u32 = 2;

/// The place of a host among those that hear each other.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rank {
    /// Hosts before it, by name.
    pub before: usize,
    /// Hosts in all.
    pub count: usize,
}

impl Rank {
    /// Every how many hosts one reads the store.
    fn stride(self) -> usize {
        self.count.div_ceil(READERS).max(1)
    }

    /// The place among the hosts that read the store, and their number; `None` if this host does not.
    ///
    /// ```
    /// use nutmeghead::proof::Rank;
    /// assert_eq!(Rank { before: 3, count: 9 }.reader(), Some((3, 9)));
    /// assert_eq!(Rank { before: 18, count: 76 }.reader(), Some((2, 9)));
    /// assert_eq!(Rank { before: 19, count: 76 }.reader(), None);
    /// ```
    pub fn reader(self) -> Option<(usize, usize)> {
        let stride = self.stride();
        let readers = self.count.div_ceil(stride).max(1);
        (self.before % stride == 0).then_some((self.before / stride, readers))
    }

    /// Where, among all hosts by name, the reader is found that `sample` picks.
    pub fn pick(self, sample: u64) -> usize {
        let stride = self.stride();
        let readers = self.count.div_ceil(stride).max(1) as u64;
        (sample % readers) as usize * stride
    }
}

/// What a host says of its beliefs.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Statement {
    /// The version of its document.
    pub version: u64,
    /// Time since that was the newest, in milliseconds.
    pub document_age_ms: u64,
    /// Time since it knew all entries of servers, in milliseconds.
    pub servers_age_ms: u64,
    /// Servers that were found to leave within [`RECENT_MS`].
    pub left: Vec<Incarnation>,
    /// Stands for the names of all servers that take work.
    pub digest: u64,
}

/// Times up to which a host knows everything, in its own milliseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Known {
    /// Its document was the newest then.
    pub document_ms: u64,
    /// It knew all entries of servers then.
    pub servers_ms: u64,
}

/// What follows from a statement.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Conclusion {
    /// What is known now.
    pub known: Known,
    /// Whether there is a newer document to read.
    pub newer_document: bool,
}

impl Known {
    /// Whether to ask another host.
    pub fn is_old(self, now_ms: u64) -> bool {
        now_ms.saturating_sub(self.document_ms.min(self.servers_ms)) > ASK_AGE_MS
    }

    /// What follows from a statement that answers a question of `asked_ms`, for a host whose document has `version`.
    ///
    /// ```
    /// use nutmeghead::proof::{Known, Statement};
    /// let known = Known { document_ms: 1_000, servers_ms: 1_000 };
    /// let statement = Statement {
    ///     version: 7,
    ///     document_age_ms: 300,
    ///     servers_age_ms: 200,
    ///     left: Vec::new(),
    ///     digest: 0,
    /// };
    /// let concluded = known.conclude(&statement, 7, 2_000).known;
    /// assert_eq!(concluded, Known { document_ms: 1_700, servers_ms: 1_800 });
    /// ```
    pub fn conclude(self, statement: &Statement, version: u64, asked_ms: u64) -> Conclusion {
        let mut known = self;
        if statement.version == version {
            let proven_ms = asked_ms.saturating_sub(statement.document_age_ms);
            known.document_ms = known.document_ms.max(proven_ms);
        }
        // Whatever left before the oldest that the statement can name must be known already.
        if asked_ms.saturating_sub(self.servers_ms) < RECENT_MS {
            let proven_ms = asked_ms.saturating_sub(statement.servers_age_ms);
            known.servers_ms = known.servers_ms.max(proven_ms);
        }
        Conclusion { known, newer_document: statement.version > version }
    }
}

/// When a host that relies on others reads the store itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    document_ms: u64,
    servers_ms: u64,
}

impl Limits {
    /// Limits that leave time for a read before a belief is too old: a leaving server gets no new work after `leaving`,
    /// and a document is in force after `configuration`.
    ///
    /// ```
    /// use std::time::Duration;
    /// use nutmeghead::proof::Limits;
    /// let limits = Limits::new(Duration::from_secs(2), Duration::from_secs(2));
    /// assert_eq!((limits.document_due_ms(1_000), limits.servers_due_ms(1_000)), (3_200, 2_300));
    /// ```
    pub fn new(leaving: Duration, configuration: Duration) -> Self {
        let part = |whole: Duration, part: f64| whole.mul_f64(part).as_millis() as u64;
        Self {
            document_ms: part(configuration, DOCUMENT_PART),
            servers_ms: part(leaving, SERVERS_PART),
        }
    }

    /// When the document has to be read again that was proven at `proven_ms`.
    pub fn document_due_ms(self, proven_ms: u64) -> u64 {
        proven_ms + self.document_ms
    }

    /// When the entries have to be read again that were proven at `proven_ms`.
    pub fn servers_due_ms(self, proven_ms: u64) -> u64 {
        proven_ms + self.servers_ms
    }
}

/// Compares the servers that other hosts name with those that this host knows.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Comparison {
    different: u32,
}

impl Comparison {
    /// Notes an answer. Returns whether this host misses something that it has to read in the store.
    pub fn note(&mut self, same: bool) -> bool {
        self.different = if same { 0 } else { self.different + 1 };
        if self.different < DIFFERENT_ANSWERS {
            return false;
        }
        self.different = 0;
        true
    }
}
