//! The model engine stand-in.

pub mod model;
