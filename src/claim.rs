//! Claims that make a non-idempotent call run at most once.
