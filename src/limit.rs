//! Limits on the open requests of each organisation.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::name;

#[cfg(test)]
mod tests;

/// Counts the open requests of each organisation.
#[derive(Clone, Debug, Default)]
pub struct Open(Arc<Mutex<HashMap<name::Organisation, u32>>>);

impl Open {
    /// No request is open.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a new request, or returns `None` if `max` requests of the organisation are open.
    ///
    /// ```
    /// use nutmeghead::{limit, name};
    /// let (open, caller) = (limit::Open::new(), name::Organisation::new("a")?);
    /// let first = open.begin(&caller, 1);
    /// assert!(first.is_some() && open.begin(&caller, 1).is_none());
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn begin(&self, organisation: &name::Organisation, max: u32) -> Option<Guard> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(organisation.clone()).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(Guard { open: self.clone(), organisation: organisation.clone() })
    }
}

/// An open request; dropping it ends it.
#[derive(Debug)]
pub struct Guard {
    open: Open,
    organisation: name::Organisation,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut counts = self.open.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.organisation);
            }
        }
    }
}
