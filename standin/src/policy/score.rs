//! Metrics of a replay.

use hdrhistogram::Histogram;
use serde::Serialize;

use super::trace::{Arrival, Deployment, Kind, Trace};

/// Time without a token after which a stream counts as stalled, in milliseconds.
const STALL_MS: f64 = 200.0;
/// Index of the workload with long streams: rebuilds and decisions.
const LONG_WORKLOAD: u8 = 0;

/// Weights of the score, in equivalent seconds per request.
struct Weights {
    /// Per second of stall.
    stall: f64,
    /// Per preemption.
    preemption: f64,
    /// Per second of the 99th percentile of the time between tokens.
    token_gap: f64,
    /// Per refusal or lost generation.
    refusal: f64,
}

fn weights(deployment: Deployment) -> Weights {
    match deployment {
        Deployment::Rumbo => Weights { stall: 1.0, preemption: 2.0, token_gap: 2.0, refusal: 5.0 },
        Deployment::Fortovsraad => {
            Weights { stall: 0.25, preemption: 0.5, token_gap: 20.0, refusal: 5.0 }
        }
    }
}

struct Stream {
    organisation: u8,
    workload: u8,
    /// Time of the last token or, before the first one, of the arrival, in microseconds.
    last_us: u64,
    tokens: u64,
    output_tokens: u64,
    /// Tokens produced by the time of the trace's last event.
    tokens_within_trace: u64,
    stall_ms: f64,
    finished: bool,
}

/// Collects the metrics of one replay.
pub struct Score {
    deployment: Deployment,
    end_us: u64,
    streams: Vec<Stream>,
    token_gap_us: Histogram<u64>,
    first_token_us: Histogram<u64>,
    preemptions: u64,
    long_preemptions: u64,
    long_for_lesser: u64,
    refused: u64,
    long_refused: u64,
    lost: u64,
    wasted_tokens: u64,
}

/// The metrics of one replay.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize)]
pub struct Row {
    /// Total stall time of all streams, in seconds.
    pub stall_s: f64,
    /// 99th percentile of a stream's stall time, in milliseconds.
    pub stall_p99_ms: f64,
    /// Total stall time of all rebuilds or decisions, in seconds.
    pub long_stall_s: f64,
    /// 99th percentile of a rebuild's or decision's stall time, in milliseconds.
    pub long_stall_p99_ms: f64,
    /// Number of preemptions.
    pub preemptions: f64,
    /// Number of preemptions of rebuilds or decisions.
    pub long_preemptions: f64,
    /// Number of preemptions of rebuilds or decisions while the engine was running less urgent work.
    pub long_for_lesser: f64,
    /// 95th percentile of the time between tokens, in milliseconds.
    pub between_p95_ms: f64,
    /// 99th percentile of the time between tokens, in milliseconds.
    pub between_p99_ms: f64,
    /// 95th percentile of the time to the first token, in milliseconds.
    pub first_p95_ms: f64,
    /// Percentage of requests that were refused or cancelled.
    pub refused_percent: f64,
    /// Percentage of rebuilds or decisions that were refused or cancelled.
    pub long_refused_percent: f64,
    /// Number of generations lost with their engine.
    pub lost: f64,
    /// Tokens processed again after preemptions, and tokens of lost generations.
    pub wasted_tokens: f64,
    /// Tokens per second of finished generations, counted up to the trace's last event.
    pub finished_tokens_s: f64,
    /// Jain's fairness index over what each organisation received, relative to its max-min fair share.
    pub jain: f64,
    /// Weighted score, in equivalent seconds per request; lower is better.
    pub score: f64,
}

impl Score {
    /// Creates an empty collector for a replay of `trace`.
    pub fn new(trace: &Trace) -> Self {
        let histogram = || Histogram::new_with_bounds(1, 3_600_000_000, 3);
        let histogram = || histogram().unwrap_or_else(|_| unreachable!("the bounds are valid"));
        Self {
            deployment: trace.deployment,
            end_us: trace.end_ms() * 1_000,
            streams: Vec::with_capacity(request_count(trace)),
            token_gap_us: histogram(),
            first_token_us: histogram(),
            preemptions: 0,
            long_preemptions: 0,
            long_for_lesser: 0,
            refused: 0,
            long_refused: 0,
            lost: 0,
            wasted_tokens: 0,
        }
    }

    /// Records the arrival of a request; requests are numbered from 0.
    pub fn arrived(&mut self, job: usize, now_us: u64, arrival: &Arrival) {
        debug_assert_eq!(job, self.streams.len());
        self.streams.push(Stream {
            organisation: arrival.organisation,
            workload: arrival.workload,
            last_us: now_us,
            tokens: 0,
            output_tokens: u64::from(arrival.output_tokens),
            tokens_within_trace: 0,
            stall_ms: 0.0,
            finished: false,
        });
    }

    /// Records a token that reached the caller.
    pub fn token(&mut self, job: usize, now_us: u64) {
        let stream = &mut self.streams[job];
        let gap_us = now_us - stream.last_us;
        let histogram =
            if stream.tokens == 0 { &mut self.first_token_us } else { &mut self.token_gap_us };
        histogram.saturating_record(gap_us);
        stream.end_gap(now_us);
        stream.tokens += 1;
        stream.tokens_within_trace += u64::from(now_us <= self.end_us);
    }

    /// Records a preemption; `less_urgent_runs` says whether the engine was running less urgent work.
    pub fn preempted(&mut self, job: usize, less_urgent_runs: bool) {
        let long = self.streams[job].workload == LONG_WORKLOAD;
        self.preemptions += 1;
        self.long_preemptions += u64::from(long);
        self.long_for_lesser += u64::from(long && less_urgent_runs);
    }

    /// Records that a generation finished.
    pub fn finished(&mut self, job: usize, _now_us: u64) {
        self.streams[job].finished = true;
    }

    /// Records that a request was refused or cancelled.
    pub fn refused(&mut self, job: usize, now_us: u64) {
        self.streams[job].end_gap(now_us);
        self.refused += 1;
        self.long_refused += u64::from(self.streams[job].workload == LONG_WORKLOAD);
    }

    /// Records that a generation was lost with its engine.
    pub fn lost(&mut self, job: usize, now_us: u64) {
        self.streams[job].end_gap(now_us);
        self.wasted_tokens += self.streams[job].tokens;
        self.lost += 1;
    }

    /// Adds tokens that were processed again after preemptions.
    pub fn recomputed(&mut self, tokens: u64) {
        self.wasted_tokens += tokens;
    }

    /// Computes the metrics.
    pub fn row(&self) -> Row {
        let requests = self.streams.len().max(1) as f64;
        let long = |stream: &&Stream| stream.workload == LONG_WORKLOAD;
        let all_ms: Vec<f64> = self.streams.iter().map(|stream| stream.stall_ms).collect();
        let long_ms: Vec<f64> =
            self.streams.iter().filter(long).map(|stream| stream.stall_ms).collect();
        let long_requests = long_ms.len().max(1) as f64;
        let finished = self.streams.iter().filter(|stream| stream.finished);
        let tokens: u64 = finished.map(|stream| stream.tokens_within_trace).sum();
        let stall_s = all_ms.iter().sum::<f64>() / 1_000.0;
        let between_p99_ms = self.token_gap_us.value_at_quantile(0.99) as f64 / 1_000.0;
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
            between_p95_ms: self.token_gap_us.value_at_quantile(0.95) as f64 / 1_000.0,
            between_p99_ms,
            first_p95_ms: self.first_token_us.value_at_quantile(0.95) as f64 / 1_000.0,
            refused_percent: self.refused as f64 * 100.0 / requests,
            long_refused_percent: self.long_refused as f64 * 100.0 / long_requests,
            lost: self.lost as f64,
            wasted_tokens: self.wasted_tokens as f64,
            finished_tokens_s: tokens as f64 * 1e6 / self.end_us.max(1) as f64,
            jain: self.jain(),
            score: cost / requests + weights.token_gap * between_p99_ms / 1_000.0,
        }
    }

    /// Jain's fairness index over the tokens that each organisation received, relative to the smaller of its demand and its
    /// max-min fair share.
    fn jain(&self) -> f64 {
        let mut organisations = std::collections::BTreeMap::<u8, (f64, f64)>::new();
        for stream in &self.streams {
            let (demand, received) = organisations.entry(stream.organisation).or_default();
            *demand += stream.output_tokens as f64;
            *received += if stream.finished { stream.tokens as f64 } else { 0.0 };
        }
        let demands: Vec<f64> = organisations.values().map(|(demand, _)| *demand).collect();
        let total = organisations.values().map(|(_, received)| received).sum();
        let share = max_min_share(&demands, total);
        let ratio =
            |(demand, received): &(f64, f64)| (received / demand.min(share).max(1.0)).min(1.0);
        let ratios: Vec<f64> = organisations.values().map(ratio).collect();
        let sum: f64 = ratios.iter().sum();
        let squares: f64 = ratios.iter().map(|ratio| ratio * ratio).sum();
        sum * sum / (ratios.len() as f64 * squares).max(f64::MIN_POSITIVE)
    }
}

impl Stream {
    /// Adds the part of the gap since the last token beyond [`STALL_MS`] to the stall time.
    fn end_gap(&mut self, now_us: u64) {
        let gap_ms = (now_us - self.last_us) as f64 / 1_000.0;
        self.stall_ms += (gap_ms - STALL_MS).max(0.0);
        self.last_us = now_us;
    }
}

fn request_count(trace: &Trace) -> usize {
    trace.events.iter().filter(|event| matches!(event.kind, Kind::Arrive(_))).count()
}

fn quantile(mut values: Vec<f64>, fraction: f64) -> f64 {
    values.sort_by(f64::total_cmp);
    let index = (values.len() as f64 * fraction).ceil() as usize;
    values.get(index.saturating_sub(1)).copied().unwrap_or(0.0)
}

/// The max-min fair share: the most that any organisation receives if `total` is divided max-min fairly. Infinite if all
/// demands are met.
fn max_min_share(demands: &[f64], total: f64) -> f64 {
    let mut sorted = demands.to_vec();
    sorted.sort_by(f64::total_cmp);
    let mut remaining = total;
    for (index, demand) in sorted.iter().enumerate() {
        let share = remaining / (sorted.len() - index) as f64;
        if *demand >= share {
            return share;
        }
        remaining -= demand;
    }
    f64::INFINITY
}
