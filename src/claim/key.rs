//! Idempotency keys.

use std::fmt;
use std::str::FromStr;

use serde::{Deserialize, Serialize};
use uuid::Uuid;

use crate::name;

/// How far the timestamp of a key may be ahead of the clock it is checked against, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// Why an idempotency key failed to parse.
#[derive(Clone, Copy, Debug, thiserror::Error, PartialEq, Eq)]
pub enum Error {
    /// The key is not a UUID.
    #[error("an idempotency key must be a UUID")]
    Malformed,
    /// The UUID is not of version 7 and has no timestamp.
    #[error("an idempotency key must be a UUID of version 7")]
    Version,
}

/// A caller's idempotency key, a UUIDv7.
///
/// ```
/// let key: nutmeghead::claim::Key = "01890a5d-ac96-774b-bcce-b302099a8057".parse()?;
/// assert_eq!(key.time_ms(), 1_688_096_058_518);
/// # Ok::<(), nutmeghead::claim::key::Error>(())
/// ```
#[derive(Clone, Copy, PartialEq, Eq, Hash, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Key(u128);

impl Key {
    /// Creates a key with the timestamp `time_ms` (milliseconds since the Unix epoch) and the given random bits.
    ///
    /// ```
    /// assert_eq!(nutmeghead::claim::Key::new(1_000, 7).time_ms(), 1_000);
    /// ```
    pub fn new(time_ms: u64, random: u128) -> Self {
        let time = u128::from(time_ms & 0xffff_ffff_ffff) << 80;
        let low = random & 0x0fff_3fff_ffff_ffff_ffff;
        Self(time | (0x7 << 76) | (0b10 << 62) | low)
    }

    /// Timestamp of the key by the caller's clock, in milliseconds since the Unix epoch.
    pub fn time_ms(self) -> u64 {
        u64::try_from(self.0 >> 80).unwrap_or(u64::MAX)
    }

    /// Earliest log time at which a claim on this key is accepted, in milliseconds since the Unix epoch.
    pub(crate) fn earliest_claim_ms(self) -> u64 {
        self.time_ms().saturating_sub(MAX_AHEAD_MS)
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let uuid = Uuid::try_parse(text.trim().trim_matches('"')).map_err(|_| Error::Malformed)?;
        if uuid.get_version_num() != 7 {
            return Err(Error::Version);
        }
        Ok(Self(uuid.as_u128()))
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Uuid::from_u128(self.0).fmt(f)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Hash of an idempotency key and its organisation. Claims with the same slot compete.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct Slot(u128);

impl Slot {
    /// Returns the slot of `key` for `organisation`.
    ///
    /// ```
    /// use nutmeghead::{claim::{Key, Slot}, name::Organisation};
    /// let (a, b) = (Organisation::new("a")?, Organisation::new("b")?);
    /// assert_ne!(Slot::new(&a, Key::new(1, 1)), Slot::new(&b, Key::new(1, 1)));
    /// # Ok::<(), nutmeghead::name::Error>(())
    /// ```
    pub fn new(organisation: &name::Organisation, key: Key) -> Self {
        let mut hasher = blake3::Hasher::new();
        hasher.update(&key.0.to_be_bytes());
        hasher.update(organisation.as_str().as_bytes());
        Self(truncate(&hasher.finalize()))
    }

    /// Returns the partition of the slot, out of `partitions` (at least 1).
    pub fn partition(self, partitions: u16) -> u16 {
        u16::try_from(self.0 % u128::from(partitions.max(1))).unwrap_or(0)
    }
}

fn truncate(hash: &blake3::Hash) -> u128 {
    let mut bytes = [0; 16];
    bytes.copy_from_slice(&hash.as_bytes()[..16]);
    u128::from_be_bytes(bytes)
}
