//! Replay of recorded traces through the admission and placement code.
