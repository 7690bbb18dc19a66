//! Tests of readers, followers, watches and operators.

mod follower;
mod memory;
mod operator;
mod reader;
mod watch;

use std::sync::Arc;

use crate::document::key_sha256;
use crate::name;

/// A valid document, different for each `seed`.
fn text(seed: u64) -> Arc<str> {
    format!(
        "# {seed}\n[[organisations]]\nname = \"north\"\nkey_sha256 = [\"{}\"]\n[[workloads]]\nname = \"rebuild\"\n\
         priority = 0\n",
        key_sha256(&seed.to_string())
    )
    .into()
}

fn environment(name: &str) -> name::Environment {
    name::Environment::new(name).unwrap()
}
