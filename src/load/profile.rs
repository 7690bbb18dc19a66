//! What hosts learn of the engines of a service, and which requests fit on an engine by it.

use super::{Class, Outputs, Rate};
use crate::migration::Notice;

/// Highest memory occupancy at which a short generation is admitted: it ends before others have grown.
const SHORT_MAX_OCCUPANCY: f64 = 1.0;

/// Highest memory occupancy at which a running generation is migrated to an engine: it has priority over new ones.
const MIGRATION_MAX_OCCUPANCY: f64 = 1.0;

/// What was learnt of the engines of one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Profile {
    /// How fast they prefill prompts.
    pub prefill: Rate,
    /// What the long generations produce.
    pub outputs: Outputs,
    /// How long they run after their notice that they leave.
    pub notice: Notice,
}

impl Profile {
    /// Whether an engine with `memory_tokens` can admit a generation of `class`. `occupancy` is its memory occupancy with the
    /// generation, `prefill_ms` the expected time until the prompt's prefill ends, `objective_ms` the time until the first
    /// event is due.
    ///
    /// A full engine preempts running generations, which stalls streams for longer than callers accept. A refusal costs
    /// only the one request.
    ///
    /// ```
    /// use nutmeghead::load::{Class, Profile};
    /// let profile = Profile::default();
    /// assert!(profile.fits(Class::Short, 20_000, 0.95, 400, 1_500));
    /// assert!(!profile.fits(Class::Long, 20_000, 0.95, 400, 1_500));
    /// ```
    pub fn fits(
        &self,
        class: Class,
        memory_tokens: u64,
        occupancy: f64,
        prefill_ms: u64,
        objective_ms: u64,
    ) -> bool {
        let limit = match class {
            Class::Short => SHORT_MAX_OCCUPANCY,
            Class::Long => self.outputs.max_occupancy(memory_tokens),
            Class::Migrating => MIGRATION_MAX_OCCUPANCY,
        };
        occupancy <= limit && prefill_ms <= objective_ms
    }
}
