//! Seeded random numbers and hashes.

/// The splitmix64 generator.
#[derive(Clone, Debug)]
pub(crate) struct Random(u64);

impl Random {
    pub fn new(seed: u64) -> Self {
        Self(seed)
    }

    /// A number from 0 to 1, 1 excluded.
    pub fn unit(&mut self) -> f64 {
        self.below(1 << 24) as f64 / f64::from(1 << 24)
    }

    /// A number below `bound`, which must not be 0.
    pub fn below(&mut self, bound: usize) -> usize {
        self.0 = self.0.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.0) % bound as u64) as usize
    }
}

/// Spreads the bits of `value` over the whole word.
pub(super) fn mix(value: u64) -> u64 {
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}

/// The FNV-1a hash of a name.
pub(super) fn hash(name: &str) -> u64 {
    name.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x100_0000_01b3)
    })
}
