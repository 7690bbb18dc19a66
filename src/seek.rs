//! Finds the offset in a log stream at which records from a given time start.

use std::time::Duration;

use tokio::time::timeout;

use crate::log::{Batch, Error, Log};

/// Longest wait for the log's response to a read.
const READ_TIMEOUT: Duration = Duration::from_secs(1);

/// Largest backward step of the log's clock that a search tolerates, in milliseconds.
const MAX_BACKWARD_STEP_MS: u64 = 10_000;

/// The part of a stream of which a reader receives every record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Coverage {
    /// The whole stream.
    Full,
    /// All records from this time of the log on, in milliseconds since the Unix epoch.
    Since(u64),
    /// Only records appended from now on; all earlier ones have expired.
    FutureOnly,
}

/// The offset from which to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Start {
    /// The offset.
    pub offset: u64,
    /// The part of the stream of which a reader that starts at `offset` receives every record.
    pub coverage: Coverage,
}

/// Reads records from offset `from` on, without waiting for new ones.
///
/// # Errors
///
/// Any [`Error`]; [`Error::Lost`] also if the log does not respond within a second.
pub async fn read<L: Log>(log: &L, stream: &str, from: u64) -> Result<Batch, Error> {
    timeout(READ_TIMEOUT, log.read(stream, from, 0)).await.unwrap_or(Err(Error::Lost))
}

/// Finds an offset at or before every retained record of time `from_ms` or later, in a few dozen reads.
///
/// # Errors
///
/// Any [`Error`].
pub async fn seek<L: Log>(log: &L, stream: &str, from_ms: u64) -> Result<Start, Error> {
    let time_ms = from_ms.saturating_sub(MAX_BACKWARD_STEP_MS);
    let head = read(log, stream, 0).await?;
    let Some(oldest) = head.records.first() else {
        let coverage =
            if head.first == 0 && head.next == 0 { Coverage::Full } else { Coverage::FutureOnly };
        return Ok(Start { offset: head.next, coverage });
    };
    if oldest.time_ms >= time_ms {
        let coverage = match oldest.offset {
            0 => Coverage::Full,
            _ => Coverage::Since(oldest.time_ms.saturating_add(1)),
        };
        return Ok(Start { offset: oldest.offset, coverage });
    }
    let offset = search(log, stream, head, time_ms).await?;
    Ok(Start { offset, coverage: Coverage::Since(from_ms) })
}

/// The position of a batch relative to a time.
enum Position {
    /// All its records are earlier; the last one has this offset.
    Before(u64),
    /// It has earlier and later records; the first one at the time or later has this offset.
    Within(u64),
    /// It is empty or its first record is at the time or later.
    After,
}

fn position(batch: &Batch, time_ms: u64) -> Position {
    match batch.records.iter().position(|record| record.time_ms >= time_ms) {
        Some(0) => Position::After,
        Some(index) => Position::Within(batch.records[index].offset),
        None => {
            batch.records.last().map_or(Position::After, |record| Position::Before(record.offset))
        }
    }
}

/// The first offset after the start of `head` whose record has time `time_ms` or later, or the offset after the last
/// record if there is none.
async fn search<L: Log>(log: &L, stream: &str, head: Batch, time_ms: u64) -> Result<u64, Error> {
    let mut step = head.records.len() as u64;
    let mut low = match position(&head, time_ms) {
        Position::Before(offset) => offset,
        Position::Within(offset) => return Ok(offset),
        Position::After => return Ok(head.next),
    };
    let mut high = loop {
        let probe = low.saturating_add(step);
        match position(&read(log, stream, probe).await?, time_ms) {
            Position::Before(offset) => low = offset,
            Position::Within(offset) => return Ok(offset),
            Position::After => break probe,
        }
        step = step.saturating_mul(2);
    };
    while high - low > 1 {
        let middle = low + (high - low) / 2;
        match position(&read(log, stream, middle).await?, time_ms) {
            Position::Before(offset) => low = offset.min(high - 1),
            Position::Within(offset) => return Ok(offset),
            Position::After => high = middle,
        }
    }
    Ok(high)
}

#[cfg(test)]
mod tests;
