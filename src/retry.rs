//! A budget for retries, so that they cannot multiply the load on back ends that are failing.

use std::sync::{Mutex, PoisonError};

#[cfg(test)]
mod tests;

/// Retries earned by each request.
const EARNED: f64 = 0.2;

/// Largest number of retries that can be saved.
const MAX_SAVED: f64 = 20.0;

/// Retries that may be made now.
#[derive(Debug)]
pub struct Budget(Mutex<f64>);

impl Default for Budget {
    fn default() -> Self {
        Self::new()
    }
}

impl Budget {
    /// A full budget.
    pub fn new() -> Self {
        Self(Mutex::new(MAX_SAVED))
    }

    /// A request is made for the first time.
    pub fn earn(&self) {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        *saved = (*saved + EARNED).min(MAX_SAVED);
    }

    /// Takes one retry, if there is one.
    ///
    /// ```
    /// assert!(nutmeghead::retry::Budget::new().spend());
    /// ```
    pub fn spend(&self) -> bool {
        let mut saved = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if *saved < 1.0 {
            return false;
        }
        *saved -= 1.0;
        true
    }
}
