//! The stand-in command.

fn main() {}
