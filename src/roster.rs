//! The known entry hosts, and which of them poll the platform's store and forward its changes.
//!
//! Calls to the store are billed and rate-limited across all hosts, and a message from one host to all others occupies
//! a host's link for as long as there are hosts. The hosts are therefore divided into a bounded number of groups, by
//! the order of their names. The first live host of each group is its reader: it polls the store, and forwards what
//! changed to the other readers and to its own group. Everyone else queries the readers.
//!
//! Hosts never agree exactly on which others are live. The groups depend only on the list of hosts, which all read from
//! the store, so a wrong belief about one host affects the readers of one group only.

use std::net::SocketAddr;

use crate::cold::Standing;
use crate::name;

#[cfg(test)]
mod tests;

/// Largest number of groups: several readers in each failure domain, so that one of them can fail.
const MAX_GROUPS: usize = 9;

/// An entry host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Its name.
    pub host: name::Host,
    /// Its address for messages of other hosts.
    pub address: SocketAddr,
}

/// The known entry hosts, sorted by name.
#[derive(Clone, Debug, Default)]
pub struct Roster {
    members: Vec<Member>,
}

impl Roster {
    /// A roster without hosts.
    ///
    /// ```
    /// assert!(nutmeghead::roster::Roster::new().members().is_empty());
    /// ```
    pub fn new() -> Self {
        Self::default()
    }

    /// Adds a host or updates its address. Returns whether the roster changed.
    pub fn put(&mut self, host: name::Host, address: SocketAddr) -> bool {
        match self.members.binary_search_by(|member| member.host.cmp(&host)) {
            Ok(index) if self.members[index].address == address => false,
            Ok(index) => {
                self.members[index].address = address;
                true
            }
            Err(index) => {
                self.members.insert(index, Member { host, address });
                true
            }
        }
    }

    /// All known hosts, sorted by name.
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The other hosts that keep a fact about `key`, at most `count`, live ones first, by rendezvous hashing. Hosts that
    /// agree on which hosts are live derive the same ones.
    pub fn keepers(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
        key: &str,
        count: usize,
    ) -> Vec<SocketAddr> {
        let others = self.members.iter().filter(|member| member.host != *own);
        let ranked =
            others.map(|member| (!is_live(&member.host), rank(&member.host, key), member.address));
        let mut ranked: Vec<_> = ranked.collect();
        ranked.sort_unstable();
        ranked.into_iter().take(count).map(|(_, _, address)| address).collect()
    }

    /// Whether `own` is among the first `count` live hosts that keep a fact about `key`.
    pub fn is_keeper(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
        key: &str,
        count: usize,
    ) -> bool {
        let own_rank = rank(own, key);
        let others = self.members.iter().filter(|member| member.host != *own);
        let live = others.filter(|member| is_live(&member.host));
        live.filter(|member| rank(&member.host, key) < own_rank).count() < count
    }

    /// The position of `own` among the hosts that keep a fact about `key`. Of the first `candidates` hosts, live or not, it
    /// counts the live ones. The own host is always live.
    pub fn standing(
        &self,
        own: &name::Host,
        is_live: impl Fn(&name::Host) -> bool,
        key: &str,
        candidates: usize,
    ) -> Standing {
        let own_rank = rank(own, key);
        let others = self.members.iter().filter(|member| member.host != *own);
        let mut ranked: Vec<_> =
            others.map(|member| (rank(&member.host, key), is_live(&member.host))).collect();
        ranked.push((own_rank, true));
        ranked.sort_unstable();
        let before = ranked.iter().take_while(|(rank, _)| *rank < own_rank);
        Standing {
            rank: before.clone().count(),
            live_rank: before.filter(|(_, live)| *live).count(),
            listed: ranked.len(),
            live: ranked.iter().take(candidates).filter(|(_, live)| *live).count(),
        }
    }

    /// The groups and their readers, as seen by `own`, which is always live.
    ///
    /// ```
    /// use nutmeghead::{name, roster::Roster};
    /// let mut roster = Roster::new();
    /// for host in ["h-1", "h-2"] {
    ///     roster.put(name::Host::new(host)?, ([127, 0, 0, 1], 7000).into());
    /// }
    /// let view = roster.view(&name::Host::new("h-2")?, |_| true);
    /// assert_eq!(view.turn(), Some(1));
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn view(&self, own: &name::Host, is_live: impl Fn(&name::Host) -> bool) -> View {
        let group_size = self.members.len().div_ceil(MAX_GROUPS).max(1);
        let mut view = View { group_size, turn: None, readers: Vec::new(), group: Vec::new() };
        for group in self.members.chunks(group_size) {
            let reader = group.iter().find(|member| member.host == *own || is_live(&member.host));
            if let Some(reader) = reader {
                if reader.host == *own {
                    view.turn = Some(view.readers.len());
                }
                view.readers.push(reader.clone());
            }
            if group.iter().any(|member| member.host == *own) {
                view.group = group.iter().filter(|member| member.host != *own).cloned().collect();
            }
        }
        view
    }
}

/// Position of a host in the order in which hosts keep a fact about `key`. The same in all builds of this program.
fn rank(host: &name::Host, key: &str) -> [u8; 16] {
    let mut hasher = blake3::Hasher::new();
    hasher.update(host.as_str().as_bytes()).update(&[0]).update(key.as_bytes());
    let mut rank = [0; 16];
    hasher.finalize_xof().fill(&mut rank);
    rank
}

/// The groups of a [`Roster`] and their readers, as seen by one host.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct View {
    group_size: usize,
    turn: Option<usize>,
    readers: Vec<Member>,
    /// The other hosts of the own group.
    group: Vec<Member>,
}

impl View {
    /// Index of this host among the readers; `None` if it is not a reader.
    pub fn turn(&self) -> Option<usize> {
        self.turn
    }

    /// Number of turns in which the readers poll. With groups of several hosts it does not shrink with the number of
    /// readers: a host that has not yet heard of the others would otherwise poll in every turn, as would all others.
    pub fn turns(&self) -> usize {
        if self.group_size == 1 { self.readers.len().max(1) } else { MAX_GROUPS }
    }

    /// A reader other than this host, selected by the random number `sample`.
    pub fn pick_reader(&self, sample: u64) -> Option<&Member> {
        let others = self.readers.len() - usize::from(self.turn.is_some());
        let index = sample.checked_rem(others as u64)? as usize;
        self.other_readers().nth(index)
    }

    /// Receivers of a change that this host found in the store: the other readers and its own group. A host that is not
    /// a reader forwards nothing.
    pub fn receivers(&self) -> Vec<SocketAddr> {
        if self.turn.is_none() {
            return Vec::new();
        }
        let mut receivers: Vec<_> = self.other_readers().map(|reader| reader.address).collect();
        receivers.extend(self.group_addresses());
        receivers
    }

    /// Receivers of a change that this host learnt from a server: the other readers, which forward it to their groups, and
    /// its own group if it is a reader itself.
    pub fn witness_receivers(&self) -> Vec<SocketAddr> {
        let readers = self.other_readers().map(|reader| reader.address);
        readers.chain(self.forward_receivers()).collect()
    }

    /// Receivers of a change that another reader found: the own group, if this host is its reader.
    pub fn forward_receivers(&self) -> Vec<SocketAddr> {
        self.turn.map(|_| self.group_addresses().collect()).unwrap_or_default()
    }

    fn group_addresses(&self) -> impl Iterator<Item = SocketAddr> {
        self.group.iter().map(|member| member.address)
    }

    fn other_readers(&self) -> impl Iterator<Item = &Member> {
        let own = self.turn;
        self.readers.iter().enumerate().filter(move |(i, _)| Some(*i) != own).map(|(_, r)| r)
    }
}
