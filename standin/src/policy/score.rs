//! What a replay measures.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::trace::{Arrival, Deployment, Kind, Trace};

/// Time without a token after which a stream counts as stalled, in milliseconds.
const STALL_MS: f64 = 200.0;
/// Workload of the long, streamed work: rebuilds and decisions.
const LONG: u8 = 0;

/// Weights of the weighted score, in equivalent seconds for each request.
struct Weights {
    /// For each second of stall.
    stall: f64,
    /// For each preemption.
    preemption: f64,
    /// For each second of the 99th percentile of the time between tokens.
    between: f64,
    /// For each refusal or lost generation.
    refusal: f64,
}

fn weights(deployment: Deployment) -> Weights {
    match deployment {
        Deployment::Rumbo => Weights { stall: 1.0, preemption: 2.0, between: 2.0, refusal: 5.0 },
        Deployment::Fortovsraad => {
            Weights { stall: 0.25, preemption: 0.5, between: 20.0, refusal: 5.0 }
        }
    }
}

struct Stream {
    organisation: u8,
    workload: u8,
    last_us: u64,
    tokens: u64,
    output_tokens: u64,
    tokens_in_time: u64,
    stall_ms: f64,
    finished: bool,
}

/// Collects the measures of one replay.
pub struct Score {
    deployment: Deployment,
    end_us: u64,
    streams: Vec<Stream>,
    between_us: Histogram<u64>,
    first_us: Histogram<u64>,
    preemptions: u64,
    long_preemptions: u64,
    long_for_lesser: u64,
    refused: u64,
    long_refused: u64,
    lost: u64,
    wasted_tokens: u64,
}

/// The measures of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Stall time of all streams, in seconds.
    pub stall_s: f64,
    /// 99th percentile of a stream's stall time, in milliseconds.
    pub stall_p99_ms: f64,
    /// Stall time of all rebuilds or decisions, in seconds.
    pub long_stall_s: f64,
    /// 99th percentile of a rebuild's or decision's stall time, in milliseconds.
    pub long_stall_p99_ms: f64,
    /// Preemptions.
    pub preemptions: f64,
    /// Preemptions of rebuilds or decisions.
    pub long_preemptions: f64,
    /// Preemptions of rebuilds or decisions while less urgent work went on at the engine.
    pub long_for_lesser: f64,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub between_p95_ms: f64,
    /// 99th percentile of the time between tokens, in milliseconds.
    pub between_p99_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// Share of requests that were refused or given up, in percent.
    pub refused_percent: f64,
    /// Share of rebuilds or decisions that were refused or given up, in percent.
    pub long_refused_percent: f64,
    /// Generations that ended with their engine.
    pub lost: f64,
    /// Tokens processed again or never used.
    pub wasted_tokens: f64,
    /// Tokens of finished generations that came within the trace's length, for each second of it.
    pub finished_tokens_s: f64,
    /// Jain's index over the organisations' shares of what they were due.
    pub jain: f64,
    /// The weighted score, in equivalent seconds for each request; less is better.
    pub score: f64,
}

impl Score {
    /// Begins to collect.
    pub fn new(trace: &Trace) -> Self {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3);
        let histogram = || histogram().unwrap_or_else(|_| unreachable!("the bounds are valid"));
        Self {
            deployment: trace.deployment,
            end_us: trace.end_ms() * 1_000,
            streams: Vec::with_capacity(requests(trace)),
            between_us: histogram(),
            first_us: histogram(),
            preemptions: 0,
            long_preemptions: 0,
            long_for_lesser: 0,
            refused: 0,
            long_refused: 0,
            lost: 0,
            wasted_tokens: 0,
        }
    }

    /// A request arrived; requests are numbered from 0.
    pub fn arrived(&mut self, job: usize, now_us: u64, arrival: &Arrival) {
        debug_assert_eq!(job, self.streams.len());
        self.streams.push(Stream {
            organisation: arrival.organisation,
            workload: arrival.workload,
            last_us: now_us,
            tokens: 0,
            output_tokens: u64::from(arrival.output_tokens),
            tokens_in_time: 0,
            stall_ms: 0.0,
            finished: false,
        });
    }

    /// A token reached the caller.
    pub fn token(&mut self, job: usize, now_us: u64) {
        let stream = &mut self.streams[job];
        let gap_us = now_us - stream.last_us;
        let histogram = if stream.tokens == 0 { &mut self.first_us } else { &mut self.between_us };
        histogram.saturating_record(gap_us);
        stream.pause(now_us);
        stream.tokens += 1;
        stream.tokens_in_time += u64::from(now_us <= self.end_us);
    }

    /// A generation was preempted, perhaps while less urgent work went on.
    pub fn preempted(&mut self, job: usize, lesser_runs: bool) {
        let long = self.streams[job].workload == LONG;
        self.preemptions += 1;
        self.long_preemptions += u64::from(long);
        self.long_for_lesser += u64::from(long && lesser_runs);
    }

    /// A generation ended with its last token.
    pub fn finished(&mut self, job: usize, _now_us: u64) {
        self.streams[job].finished = true;
    }

    /// A request was refused or given up.
    pub fn refused(&mut self, job: usize, now_us: u64) {
        self.streams[job].pause(now_us);
        self.refused += 1;
        self.long_refused += u64::from(self.streams[job].workload == LONG);
    }

    /// A generation ended with its engine.
    pub fn lost(&mut self, job: usize, now_us: u64) {
        self.streams[job].pause(now_us);
        self.wasted_tokens += self.streams[job].tokens;
        self.lost += 1;
    }

    /// Tokens were processed again after preemptions.
    pub fn recomputed(&mut self, tokens: u64) {
        self.wasted_tokens += tokens;
    }

    /// The measures.
    pub fn row(&self) -> Row {
        let requests = self.streams.len().max(1) as f64;
        let long = |stream: &&Stream| stream.workload == LONG;
        let all_ms: Vec<f64> = self.streams.iter().map(|stream| stream.stall_ms).collect();
        let long_ms: Vec<f64> =
            self.streams.iter().filter(long).map(|stream| stream.stall_ms).collect();
        let long_requests = long_ms.len().max(1) as f64;
        let finished = self.streams.iter().filter(|stream| stream.finished);
        let tokens: u64 = finished.map(|stream| stream.tokens_in_time).sum();
        let stall_s = all_ms.iter().sum::<f64>() / 1_000.0;
        let between_p99_ms = self.between_us.value_at_quantile(0.99) as f64 / 1_000.0;
        let weights = weights(self.deployment);
        let cost = weights.stall * stall_s
            + weights.preemption * self.preemptions as f64
            + weights.refusal * (self.refused + self.lost) as f64;
        Row {
            stall_s,
            stall_p99_ms: quantile(all_ms, 0.99),
            long_stall_s: long_ms.iter().sum::<f64>() / 1_000.0,
            long_stall_p99_ms: quantile(long_ms, 0.99),
            preemptions: self.preemptions as f64,
            long_preemptions: self.long_preemptions as f64,
            long_for_lesser: self.long_for_lesser as f64,
            between_p95_ms: self.between_us.value_at_quantile(0.95) as f64 / 1_000.0,
            between_p99_ms,
            first_p95_ms: self.first_us.value_at_quantile(0.95) as f64 / 1_000.0,
            refused_percent: self.refused as f64 * 100.0 / requests,
            long_refused_percent: self.long_refused as f64 * 100.0 / long_requests,
            lost: self.lost as f64,
            wasted_tokens: self.wasted_tokens as f64,
            finished_tokens_s: tokens as f64 * 1e6 / self.end_us.max(1) as f64,
            jain: self.jain(),
            score: cost / requests + weights.between * between_p99_ms / 1_000.0,
        }
    }

    /// Jain's index over what each organisation got of the smaller of its demand and its max-min fair share.
    fn jain(&self) -> f64 {
        let mut asked = std::collections::BTreeMap::<u8, (f64, f64)>::new();
        for stream in &self.streams {
            let (demand, got) = asked.entry(stream.organisation).or_default();
            *demand += stream.output_tokens as f64;
            *got += if stream.finished { stream.tokens as f64 } else { 0.0 };
        }
        let demands: Vec<f64> = asked.values().map(|(demand, _)| *demand).collect();
        let total = asked.values().map(|(_, got)| got).sum();
        let level = water_level(&demands, total);
        let part = |(demand, got): &(f64, f64)| (got / demand.min(level).max(1.0)).min(1.0);
        let parts: Vec<f64> = asked.values().map(part).collect();
        let sum: f64 = parts.iter().sum();
        let squares: f64 = parts.iter().map(|part| part * part).sum();
        sum * sum / (parts.len() as f64 * squares).max(f64::MIN_POSITIVE)
    }
}

impl Stream {
    /// Counts the time since the last token.
    fn pause(&mut self, now_us: u64) {
        let gap_ms = (now_us - self.last_us) as f64 / 1_000.0;
        self.stall_ms += (gap_ms - STALL_MS).max(0.0);
        self.last_us = now_us;
    }
}

fn requests(trace: &Trace) -> usize {
    trace.events.iter().filter(|event| matches!(event.kind, Kind::Arrive(_))).count()
}

fn quantile(mut values: Vec<f64>, part: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * part).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// The share up to which every organisation is served if `total` is shared max-min fairly.
fn water_level(demands: &[f64], total: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut left = total;
    for (index, demand) in sorted.iter().enumerate() {
        let level = left / (sorted.len() - index) as f64;
        if *demand >= level {
            return level;
        }
        left -= demand;
    }
    f64::INFINITY
}
