//! Whose turn it is to do what one of several hosts has to do again and again.

/// Milliseconds from `wall_ms` until the next turn of the host that is number `rank` of `count`, if a turn comes every
/// `slot_ms` for one of them. Hosts take turns by their wall clocks; clocks that differ cost evenness only.
///
/// ```
/// use nutmeghead::turn::until_next;
/// assert_eq!(until_next(1, 3, 100, 1_030), 270);
/// assert_eq!(until_next(0, 1, 100, 1_030), 70);
/// ```
pub fn until_next(rank: usize, count: usize, slot_ms: u64, wall_ms: u64) -> u64 {
    let cycle_ms = (count.max(1) as u64) * slot_ms.max(1);
    let turn_ms = rank as u64 * slot_ms % cycle_ms;
    let passed_ms = wall_ms % cycle_ms;
    // A turn that is just now was taken already.
    (turn_ms + cycle_ms - passed_ms - 1) % cycle_ms + 1
}

#[cfg(test)]
mod tests;
