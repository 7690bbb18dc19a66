//! Stand-ins and drivers of the review's scripts: a store, engines, requesters, and cases that start entry hosts.
//!
//! Built by `review/build.sh` with the standard library only.

mod cases;
mod engine;
mod host;
mod http;
mod record;
mod requester;
mod store;

use std::process::ExitCode;

/// Exit code if a case could not run.
const COULD_NOT_RUN: u8 = 2;

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("engine") => {
            engine::run(&arguments[1..]);
            ExitCode::SUCCESS
        }
        Some("case") if arguments.len() == 3 => {
            let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
            match cases::run(&arguments[1], &arguments[2], trouble) {
                Ok(true) => ExitCode::from(1),
                Ok(false) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("the case could not run: {error}");
                    ExitCode::from(COULD_NOT_RUN)
                }
            }
        }
        _ => {
            eprintln!("usage: standin case NAME RECORD | standin engine OPTION=VALUE...");
            ExitCode::from(COULD_NOT_RUN)
        }
    }
}
