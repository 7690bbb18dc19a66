//! Calls to model engines.
