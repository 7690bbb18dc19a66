//! Structured logging to standard output: one line per decision on a request and per change in the observed state of
//! hosts and servers.
//!
//! A separate thread writes the lines from a bounded queue. While the queue is full, lines are dropped instead of
//! delaying requests, and a line with the number of dropped lines is logged.

use std::io;

use slog::{Drain, Logger, o};

use crate::cli;

/// Maximum number of queued lines: one second at a host's highest rate, or the lines of a few hundred requests.
const MAX_QUEUED_LINES: usize = 2_048;

/// Longest line that is written with a single call, in bytes: four times the longest line about a request.
const LINE_BUFFER_BYTES: usize = 2 << 10;

/// Creates the root logger, which writes to standard output without blocking the caller.
///
/// ```
/// let logger = nutmeghead::logging::new(nutmeghead::cli::Format::Json);
/// slog::info!(logger, "ready"; "version" => 1);
/// ```
pub fn new(format: cli::Format) -> Logger {
    let drain = match format {
        cli::Format::Json => {
            // `slog_json` writes a record field by field; the buffer combines the fields into one write per line.
            let lines = io::LineWriter::with_capacity(LINE_BUFFER_BYTES, io::stdout());
            queued(slog_json::Json::new(lines).add_default_keys().build().fuse())
        }
        cli::Format::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            let terminal = slog_term::FullFormat::new(decorator).build().fuse();
            queued(terminal)
        }
    };
    Logger::root(drain, o!())
}

fn queued<D>(drain: D) -> slog::Fuse<slog_async::Async>
where
    D: Drain<Err = slog::Never, Ok = ()> + Send + 'static,
{
    slog_async::Async::new(drain)
        .chan_size(MAX_QUEUED_LINES)
        .overflow_strategy(slog_async::OverflowStrategy::DropAndReport)
        .build()
        .fuse()
}
