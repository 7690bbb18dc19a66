//! What a server states of its load in the head of a response.

/// Most running or waiting requests that are plausible.
const MAX_REQUESTS: u32 = 100_000;

/// Plausible values of the fourth figure, in percent of the usual time.
const PLAUSIBLE_PERCENT: std::ops::RangeInclusive<f64> = 10.0..=10_000.0;

/// The load that a server states.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Stated {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: u32,
    /// Requests that it runs at most; at least 1.
    pub slots: u32,
    /// How long work takes there now, relative to the usual time; `None` if it does not say.
    pub slowdown: Option<f64>,
}

impl Stated {
    /// A statement, with the time that work takes in percent of the usual time, if stated; `None` if implausible.
    ///
    /// ```
    /// use nutmeghead::load::Stated;
    /// assert_eq!(Stated::new(3, 0, 6, Some(250.0)).and_then(|stated| stated.slowdown), Some(2.5));
    /// assert_eq!(Stated::new(3, 0, 0, None), None);
    /// ```
    pub fn new(running: u32, waiting: u32, slots: u32, percent: Option<f64>) -> Option<Self> {
        let plausible = running <= MAX_REQUESTS
            && waiting <= MAX_REQUESTS
            && slots > 0
            && percent.is_none_or(|percent| PLAUSIBLE_PERCENT.contains(&percent));
        let slowdown = percent.map(|percent| percent / 100.0);
        plausible.then_some(Self { running, waiting, slots, slowdown })
    }
}
