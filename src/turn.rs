//! Round-robin schedule for periodic work that one of several hosts has to do.

/// Milliseconds from the wall-clock time `wall_ms` until the next turn of the host with index `rank` of `count`. A turn
/// lasts `slot_ms`. Offsets between the hosts' wall clocks only make the intervals uneven.
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
    // A turn that begins at `wall_ms` counts as already used.
    (turn_ms + cycle_ms - passed_ms - 1) % cycle_ms + 1
}

#[cfg(test)]
mod tests;
