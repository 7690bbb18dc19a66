//! Finds where to start reading a log stream.

use std::time::Duration;

use tokio::time::timeout;

use crate::log::{Batch, Error, Log};

/// Longest wait for the log's answer to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Allowance for a log whose time steps back, in milliseconds.
const STEP_BACK_MS: u64 = 10_000;

/// From when on a reader misses nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Complete {
    /// From the stream's beginning.
    Always,
    /// From this time of the log on, in milliseconds since the Unix epoch.
    From(u64),
    /// From the next record on; all earlier ones are gone.
    Next,
}

/// Where to start.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// The offset to read from.
    pub offset: u64,
    /// From when on a reader that starts there misses nothing.
    pub complete: Complete,
}

/// Reads records from offset `from` on, without waiting for one.
///
/// # Errors
///
/// Any [`Error`]; [`Error::Lost`] also when no answer came in time.
pub async fn read<L: Log>(log: &L, stream: &str, from: u64) -> Result<Batch, Error> {
    timeout(READ_TIMEOUT, log.read(stream, from, 0)).await.unwrap_or(Err(Error::Lost))
}

/// Finds an offset from which every retained record of time `from_ms` or later comes, in a few dozen reads.
///
/// # Errors
///
/// Any [`Error`].
pub async fn seek<L: Log>(log: &L, stream: &str, from_ms: u64) -> Result<Start, Error> {
    let time_ms = from_ms.saturating_sub(STEP_BACK_MS);
    let head = read(log, stream, 0).await?;
    let Some(oldest) = head.records.first() else {
        let complete =
            if head.first == 0 && head.next == 0 { Complete::Always } else { Complete::Next };
        return Ok(Start { offset: head.next, complete });
    };
    if oldest.time_ms >= time_ms {
        let complete = match oldest.offset {
            0 => Complete::Always,
            _ => Complete::From(oldest.time_ms.saturating_add(1)),
        };
        return Ok(Start { offset: oldest.offset, complete });
    }
    let offset = search(log, stream, head, time_ms).await?;
    Ok(Start { offset, complete: Complete::From(from_ms) })
}

/// Where a batch lies against a time.
enum Place {
    /// All its records are earlier; the last has this offset.
    Before(u64),
    /// The first record of the time or later has this offset.
    Within(u64),
    /// It is empty or begins at the time or later.
    After,
}

fn place(batch: &Batch, time_ms: u64) -> Place {
    match batch.records.iter().position(|record| record.time_ms >= time_ms) {
        Some(0) => Place::After,
        Some(index) => Place::Within(batch.records[index].offset),
        None => batch.records.last().map_or(Place::After, |record| Place::Before(record.offset)),
    }
}

/// The first offset after the start of `head` whose record has time `time_ms` or later, or the tail.
async fn search<L: Log>(log: &L, stream: &str, head: Batch, time_ms: u64) -> Result<u64, Error> {
    let mut step = head.records.len() as u64;
    let mut low = match place(&head, time_ms) {
        Place::Before(offset) => offset,
        Place::Within(offset) => return Ok(offset),
        Place::After => return Ok(head.next),
    };
    let mut high = loop {
        let probe = low.saturating_add(step);
        match place(&read(log, stream, probe).await?, time_ms) {
            Place::Before(offset) => low = offset,
            Place::Within(offset) => return Ok(offset),
            Place::After => break probe,
        }
        step = step.saturating_mul(2);
    };
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        match place(&read(log, stream, middle).await?, time_ms) {
            Place::Before(offset) => low = offset.min(high - 1),
            Place::Within(offset) => return Ok(offset),
            Place::After => high = middle,
        }
    }
    Ok(high)
}

#[cfg(test)]
mod tests;
