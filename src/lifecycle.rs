//! Start, readiness and graceful shutdown of a node.
