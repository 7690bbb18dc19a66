//! Structured logs on standard output: a line for each decision on a request and each change of belief.
//!
//! Lines wait in a bounded queue for a thread of their own. Lines that find it full are dropped and counted in a line
//! of their own, so that logging never delays a request.

use std::io;

use slog::{Drain, Logger, o};

use crate::cli;

/// Lines that may wait to be written: a second of the most lines that a host writes, some hundred requests' worth.
const QUEUED_LINES: usize = 2_048;

/// Longest line that is written in one piece, in bytes: four times the longest of a request.
const LINE_BYTES: usize = 2 << 10;

/// Makes the root logger, which writes to standard output without blocking the caller.
///
/// ```
/// let logger = nutmeghead::logs::new(nutmeghead::cli::Format::Json);
/// slog::info!(logger, "ready"; "version" => 1);
/// ```
pub fn new(format: cli::Format) -> Logger {
    let drain = match format {
        cli::Format::Json => {
            // A record is written field by field; the line goes out in one piece.
            let lines = io::LineWriter::with_capacity(LINE_BYTES, io::stdout());
            queue(slog_json::Json::new(lines).add_default_keys().build().fuse())
        }
        cli::Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let terminal = slog_term::FullFormat::new(decorator).build().fuse();
            queue(terminal)
        }
    };
    Logger::root(drain, o!())
}

fn queue<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
