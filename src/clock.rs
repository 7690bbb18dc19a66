//! Clocks. A lease holder must also count the time while its host was suspended.

use std::fs;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// File with the time since boot, which includes suspension.
const UPTIME_PATH: &str = "/proc/uptime";

/// Readings of all clocks of a host, taken together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reading {
    /// Monotonic time in milliseconds; may stop while the host is suspended.
    pub monotonic_ms: u64,
    /// Time since boot in milliseconds, including suspension; `None` if it cannot be read.
    pub boot_ms: Option<u64>,
    /// Milliseconds since the Unix epoch; may be set backwards or forwards.
    pub wall_ms: u64,
}

impl Reading {
    /// The time since `earlier` in milliseconds, according to the clock that advanced most.
    ///
    /// A clock that stopped or was set backwards understates the time, so the maximum never extends a lease because of
    /// it. A wall clock that was set forwards makes a lease expire early, which is safe.
    ///
    /// ```
    /// use nutmeghead::clock::Reading;
    /// let start = Reading { monotonic_ms: 10, boot_ms: Some(10), wall_ms: 1_000 };
    /// let resumed = Reading { monotonic_ms: 12, boot_ms: Some(9_010), wall_ms: 900 };
    /// assert_eq!(resumed.since(start), 9_000);
    /// ```
    pub fn since(self, earlier: Self) -> u64 {
        let monotonic = self.monotonic_ms.saturating_sub(earlier.monotonic_ms);
        let wall = self.wall_ms.saturating_sub(earlier.wall_ms);
        let boot = match (self.boot_ms, earlier.boot_ms) {
            (Some(now), Some(earlier)) => now.saturating_sub(earlier),
            _ => 0,
        };
        monotonic.max(wall).max(boot)
    }
}

/// A monotonic clock in milliseconds since its creation, including the time while the host was suspended, for code that
/// is passed the time as a number.
#[derive(Clone, Copy, Debug)]
pub struct Monotonic(u64);

impl Monotonic {
    /// Creates a clock that starts at 0.
    #[expect(clippy::new_without_default, reason = "the start is the time of the call")]
    pub fn new() -> Self {
        Self(boot_ms())
    }

    /// Milliseconds since the creation of the clock.
    ///
    /// ```
    /// assert!(nutmeghead::clock::Monotonic::new().now_ms() < 60_000);
    /// ```
    pub fn now_ms(&self) -> u64 {
        boot_ms().saturating_sub(self.0)
    }
}

/// Milliseconds since boot, including the time while the host was suspended. The age of cached state is measured with
/// it.
///
/// ```
/// let now = nutmeghead::clock::boot_ms();
/// assert!(nutmeghead::clock::boot_ms() >= now);
/// ```
pub fn boot_ms() -> u64 {
    let now = nix::time::clock_gettime(nix::time::ClockId::CLOCK_BOOTTIME)
        .expect("Linux has had this clock since 2.6.39");
    now.tv_sec() as u64 * 1_000 + now.tv_nsec() as u64 / 1_000_000
}

/// A source of clock readings.
pub trait Clock: Clone + Send + Sync + 'static {
    /// Reads all clocks.
    fn read(&self) -> Reading;
}

/// The clocks of this host.
///
/// ```
/// use nutmeghead::clock::{Clock, System};
/// let clock = System::new();
/// let start = clock.read();
/// assert!(clock.read().since(start) < 60_000);
/// ```
#[derive(Clone, Copy, Debug)]
pub struct System {
    start: Instant,
}

impl System {
    /// Creates a clock whose monotonic time starts at 0.
    #[expect(clippy::new_without_default, reason = "the start is the time of the call")]
    pub fn new() -> Self {
        Self { start: Instant::now() }
    }
}

impl Clock for System {
    fn read(&self) -> Reading {
        Reading {
            monotonic_ms: millis(self.start.elapsed().as_millis()),
            boot_ms: fs::read_to_string(UPTIME_PATH).ok().as_deref().and_then(parse_uptime),
            wall_ms: SystemTime::now()
                .duration_since(UNIX_EPOCH)
                .map_or(0, |elapsed| millis(elapsed.as_millis())),
        }
    }
}

fn millis(value: u128) -> u64 {
    u64::try_from(value).unwrap_or(u64::MAX)
}

/// Parses the first number of `text`, in seconds with two decimals, and returns it in milliseconds.
fn parse_uptime(text: &str) -> Option<u64> {
    let (seconds, hundredths) = text.split_whitespace().next()?.split_once('.')?;
    let seconds: u64 = seconds.parse().ok()?;
    let hundredths: u64 = hundredths.parse().ok()?;
    seconds.checked_mul(1_000)?.checked_add(hundredths.checked_mul(10)?)
}

#[cfg(test)]
mod tests;
