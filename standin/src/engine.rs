//! The model engine stand-in.
