//! Tests of seeking in a stream.

use std::sync::Arc;

use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};

use super::{Coverage, Start, seek};
use crate::log::{Batch, Error, Log, Record};

/// A stream that returns at most `batch_limit` records per read.
#[derive(Clone)]
struct Stream {
    first: u64,
    times: Arc<Vec<u64>>,
    batch_limit: usize,
}

impl Log for Stream {
    async fn append(&self, _: &str, _: Bytes) -> Result<u64, Error> {
        Err(Error::Refused(405))
    }

    async fn read(&self, _: &str, from: u64, _: u64) -> Result<Batch, Error> {
        let from = from.max(self.first);
        let records: Vec<Record> = (self.first..)
            .zip(self.times.iter())
            .map(|(offset, &time_ms)| Record { offset, time_ms, body: Bytes::new() })
            .filter(|record| record.offset >= from)
            .take(self.batch_limit)
            .collect();
        let next = records.last().map_or(from, |record| record.offset + 1);
        Ok(Batch { records, next, first: self.first })
    }
}

fn stream(random: &mut StdRng) -> Stream {
    let mut time_ms = 20_000;
    let count = random.random_range(0..200);
    let times = (0..count).map(|_| {
        time_ms += random.random_range(0..2_000);
        time_ms
    });
    let times = Arc::new(times.collect());
    Stream { first: random.random_range(0..3) * 10, times, batch_limit: random.random_range(1..20) }
}

/// The start that [`seek`] must find, computed from all records.
fn expected(stream: &Stream, from_ms: u64) -> Start {
    let earlier = stream.times.iter().filter(|&&time_ms| time_ms + 10_000 < from_ms).count();
    let offset = stream.first + earlier as u64;
    let coverage = match (stream.first, stream.times.first(), earlier) {
        (0, None, _) | (0, Some(_), 0) => Coverage::Full,
        (_, None, _) => Coverage::FutureOnly,
        (_, Some(oldest), 0) => Coverage::Since(oldest + 1),
        _ => Coverage::Since(from_ms),
    };
    Start { offset, coverage }
}

#[tokio::test]
async fn seek_agrees_with_a_linear_search() {
    for seed in 0..500 {
        let mut random = StdRng::seed_from_u64(seed);
        let stream = stream(&mut random);
        let from_ms = random.random_range(10_000..300_000);
        let start = seek(&stream, "any", from_ms).await;
        assert_eq!(start, Ok(expected(&stream, from_ms)), "seed {seed}");
    }
}
