//! Structured logs. Lines are written for changes of state only; all else is counted.

use std::io;

use slog::{Drain, Logger, o};

use crate::cli;

/// Makes the root logger, which writes to standard error without blocking the caller.
///
/// ```
/// let logger = nutmeghead::logs::new(nutmeghead::cli::Format::Json);
/// slog::info!(logger, "ready"; "version" => 1);
/// ```
pub fn new(format: cli::Format) -> Logger {
    let drain = match format {
        cli::Format::Json => {
            let json = slog_json::Json::new(io::stderr()).add_default_keys().build().fuse();
            slog_async::Async::new(json).build().fuse()
        }
        cli::Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stderr().build();
            let terminal = slog_term::FullFormat::new(decorator).build().fuse();
            slog_async::Async::new(terminal).build().fuse()
        }
    };
    Logger::root(drain, o!())
}
