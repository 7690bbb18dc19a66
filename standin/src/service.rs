//! A plain service that counts executions.
