//! Admission to an engine, decided by the engine's owner.
