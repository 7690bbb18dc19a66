//! Round-robin schedule for periodic work that several hosts share, such as reads of the store.

/// Milliseconds from the wall-clock time `wall_ms` until the next turn of host `index` of `count`. A turn starts every
/// `slot_ms`. Offsets between the hosts' wall clocks only make the intervals uneven.
///
/// ```
/// use nutmeghead::turn::until_next;
/// assert_eq!(until_next(1, 3, 100, 1_030), 270);
/// assert_eq!(until_next(0, 1, 100, 1_030), 70);
/// ```
pub fn until_next(index: usize, count: usize, slot_ms: u64, wall_ms: u64) -> u64 {
    let cycle_ms = (count.max(1) as u64) * slot_ms.max(1);
    let turn_ms = index as u64 * slot_ms % cycle_ms;
    let elapsed_ms = wall_ms % cycle_ms;
    // A turn that begins at `wall_ms` counts as already used.
    (turn_ms + cycle_ms - elapsed_ms - 1) % cycle_ms + 1
}

#[cfg(test)]
mod tests;
