//! One host's view of the members, and the owners of keys.

use super::{Member, Status};
use crate::name;

/// One host's view of the members. Views of different hosts can differ for a while, so ownership is only a hint.
///
/// ```
/// let view = nutmeghead::member::View::new(Vec::new());
/// assert!(view.owner("engine.a-1").is_none());
/// ```
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct View {
    members: Vec<Member>,
    /// Hash of the host name and index of each alive member.
    owners: Vec<(u64, usize)>,
}

impl View {
    /// Creates a view of these members.
    pub fn new(mut members: Vec<Member>) -> Self {
        members.sort_by(|a, b| a.host.cmp(&b.host));
        let alive = members.iter().enumerate().filter(|(_, m)| m.status == Status::Alive);
        let owners = alive.map(|(index, m)| (hash(m.host.as_str()), index)).collect();
        Self { members, owners }
    }

    /// All members, by host name.
    ///
    /// ```
    /// assert!(nutmeghead::member::View::default().members().is_empty());
    /// ```
    pub fn members(&self) -> &[Member] {
        &self.members
    }

    /// The member with this host name.
    ///
    /// ```
    /// let host = nutmeghead::name::Host::new("e-1")?;
    /// assert!(nutmeghead::member::View::default().get(&host).is_none());
    /// # Ok::<(), nutmeghead::name::Error>(())
    /// ```
    pub fn get(&self, host: &name::Host) -> Option<&Member> {
        let index = self.members.binary_search_by(|member| member.host.cmp(host)).ok()?;
        Some(&self.members[index])
    }

    /// The alive member that owns `key`, by rendezvous hashing. Linear in the number of members.
    ///
    /// ```
    /// assert!(nutmeghead::member::View::default().owner("claims.3").is_none());
    /// ```
    pub fn owner(&self, key: &str) -> Option<&Member> {
        let key = hash(key);
        let best = self.owners.iter().max_by_key(|(host, _)| mix(key ^ host))?;
        Some(&self.members[best.1])
    }

    /// At most `n` alive members in order of preference for `key`, its owner first.
    ///
    /// ```
    /// assert!(nutmeghead::member::View::default().owners("claims.3", 2).is_empty());
    /// ```
    pub fn owners(&self, key: &str, n: usize) -> Vec<&Member> {
        let key = hash(key);
        let mut scored: Vec<(u64, usize)> =
            self.owners.iter().map(|(host, index)| (mix(key ^ host), *index)).collect();
        scored.sort_unstable_by(|a, b| b.cmp(a));
        scored.iter().take(n).map(|(_, index)| &self.members[*index]).collect()
    }
}

/// Hashes a text. The hash is the same on all hosts.
pub(super) fn hash(text: &str) -> u64 {
    let mut bytes = [0; 8];
    bytes.copy_from_slice(&blake3::hash(text.as_bytes()).as_bytes()[..8]);
    u64::from_le_bytes(bytes)
}

/// Mixes the bits of a number (the finaliser of SplitMix64).
pub(super) fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
