//! Limits the open requests of each organisation. The API holds a [`Guard`] for each open request.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};

use crate::name;

#[cfg(test)]
mod tests;

/// Counts the open requests of each organisation.
#[derive(Clone, Debug, Default)]
pub struct Counter(Arc<Mutex<HashMap<name::Organisation, u32>>>);

impl Counter {
    /// A counter without open requests.
    pub fn new() -> Self {
        Self::default()
    }

    /// Counts a new request; returns `None` if `max` requests of the organisation are open.
    ///
    /// ```
    /// use nutmeghead::{limit, name};
    /// let (counter, organisation) = (limit::Counter::new(), name::Organisation::new("a")?);
    /// let first = counter.try_acquire(&organisation, 1);
    /// assert!(first.is_some() && counter.try_acquire(&organisation, 1).is_none());
    /// # Ok::<(), name::Error>(())
    /// ```
    pub fn try_acquire(&self, organisation: &name::Organisation, max: u32) -> Option<Guard> {
        let mut counts = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let count = counts.entry(organisation.clone()).or_default();
        if *count >= max {
            return None;
        }
        *count += 1;
        Some(Guard { counter: self.clone(), organisation: organisation.clone() })
    }
}

/// An open request, counted until this is dropped.
#[derive(Debug)]
pub struct Guard {
    counter: Counter,
    organisation: name::Organisation,
}

impl Drop for Guard {
    fn drop(&mut self) {
        let mut counts = self.counter.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(count) = counts.get_mut(&self.organisation) {
            *count -= 1;
            if *count == 0 {
                counts.remove(&self.organisation);
            }
        }
    }
}
