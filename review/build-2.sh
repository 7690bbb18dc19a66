#!/bin/sh
# Builds the stand-ins of the scripted cases 6 to 10 to target/review-2/. Run it in the repository's root.
set -e
mkdir -p target/review-2
rustc --edition 2024 -O -o target/review-2/rig review/rig.rs
