//! The configuration document of an environment.

mod model;

pub use model::*;
