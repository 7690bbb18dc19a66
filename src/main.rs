//! The nutmeghead command.

fn main() {}
