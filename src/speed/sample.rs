//! Measured intervals between the events of generations at one server.

/// Plausible mean intervals between two events, in milliseconds.
const PLAUSIBLE_INTERVALS_MS: std::ops::RangeInclusive<f64> = 1.0..=1_000.0;

/// Most events of one sample.
const MAX_EVENTS: u32 = 100_000;

/// Most generations that a server plausibly runs.
const MAX_GENERATIONS: f64 = 10_000.0;

/// Half-life of the weight of measured events, in milliseconds. Long enough that passing slowdowns of some hundred
/// milliseconds average out.
const HALF_LIFE_MS: f64 = 4_000.0;

/// Most events that count at once, so that a long time at one speed does not delay the discovery of another.
const MAX_WEIGHT: f64 = 400.0;

/// Events of generations at one server within about a second.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Sample {
    /// Number of events.
    pub events: u32,
    /// Mean interval between two events of a generation, in milliseconds.
    pub interval_ms: f64,
    /// Longest interval, in milliseconds.
    pub longest_ms: f64,
    /// Mean number of generations at the server.
    pub generations: f64,
    /// Part of the events during which the server processed a prompt, from 0 to 1.
    pub prefill: f64,
}

impl Sample {
    /// A sample; `None` if a value is implausible.
    ///
    /// ```
    /// use nutmeghead::speed::Sample;
    /// assert!(Sample::new(20, 40.0, 90.0, 6.0, 0.2).is_some());
    /// assert!(Sample::new(20, f64::NAN, 90.0, 6.0, 0.2).is_none());
    /// ```
    pub fn new(
        events: u32,
        interval_ms: f64,
        longest_ms: f64,
        generations: f64,
        prefill: f64,
    ) -> Option<Self> {
        let plausible = (1..=MAX_EVENTS).contains(&events)
            && PLAUSIBLE_INTERVALS_MS.contains(&interval_ms)
            && PLAUSIBLE_INTERVALS_MS.contains(&longest_ms)
            && (0.0..=MAX_GENERATIONS).contains(&generations)
            && (0.0..=1.0).contains(&prefill);
        plausible.then_some(Self { events, interval_ms, longest_ms, generations, prefill })
    }
}

/// Sums over the samples of one server, weighted by their number of events and their age.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Evidence {
    at_ms: Option<u64>,
    events: f64,
    intervals: f64,
    generations: f64,
    prefill: f64,
    generations_squared: f64,
    prefill_squared: f64,
    generations_prefill: f64,
    generations_intervals: f64,
    prefill_intervals: f64,
}

/// Covariances of one server, with intervals relative to their mean.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Covariance {
    pub(super) generations: f64,
    pub(super) prefill: f64,
    pub(super) generations_prefill: f64,
    pub(super) generations_intervals: f64,
    pub(super) prefill_intervals: f64,
}

impl Evidence {
    pub(super) fn add(&mut self, sample: Sample, now_ms: u64) {
        let age_ms = self.at_ms.map_or(0, |at_ms| now_ms.saturating_sub(at_ms));
        self.scale((-(age_ms as f64) / HALF_LIFE_MS).exp2());
        self.at_ms = Some(now_ms);
        let Sample { events, interval_ms, generations, prefill, .. } = sample;
        let events = f64::from(events);
        self.events += events;
        self.intervals += events * interval_ms;
        self.generations += events * generations;
        self.prefill += events * prefill;
        self.generations_squared += events * generations * generations;
        self.prefill_squared += events * prefill * prefill;
        self.generations_prefill += events * generations * prefill;
        self.generations_intervals += events * generations * interval_ms;
        self.prefill_intervals += events * prefill * interval_ms;
        if self.events > MAX_WEIGHT {
            self.scale(MAX_WEIGHT / self.events);
        }
    }

    fn scale(&mut self, factor: f64) {
        for sum in [
            &mut self.events,
            &mut self.intervals,
            &mut self.generations,
            &mut self.prefill,
            &mut self.generations_squared,
            &mut self.prefill_squared,
            &mut self.generations_prefill,
            &mut self.generations_intervals,
            &mut self.prefill_intervals,
        ] {
            *sum *= factor;
        }
    }

    /// Time of the last sample, in milliseconds.
    pub(super) fn at_ms(&self) -> Option<u64> {
        self.at_ms
    }

    /// Weighted number of events.
    pub(super) fn events(&self) -> f64 {
        self.events
    }

    /// Mean interval between two events, in milliseconds; `None` without samples.
    pub(super) fn mean_interval_ms(&self) -> Option<f64> {
        (self.events > 0.0).then(|| self.intervals / self.events)
    }

    /// Mean number of generations, and mean part of events during a prefill.
    pub(super) fn mean_load(&self) -> (f64, f64) {
        let events = self.events.max(f64::MIN_POSITIVE);
        (self.generations / events, self.prefill / events)
    }

    /// Covariances within the samples of this server, times their weight.
    pub(super) fn covariance(&self) -> Covariance {
        let Some(mean_ms) = self.mean_interval_ms() else { return Covariance::default() };
        let (generations, prefill) = self.mean_load();
        Covariance {
            generations: self.generations_squared - self.generations * generations,
            prefill: self.prefill_squared - self.prefill * prefill,
            generations_prefill: self.generations_prefill - self.generations * prefill,
            generations_intervals: self.generations_intervals / mean_ms - self.generations,
            prefill_intervals: self.prefill_intervals / mean_ms - self.prefill,
        }
    }
}
