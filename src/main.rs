//! The `nutmeghead` command.

use std::process;

use nutmeghead::cli::{self, Command};
use nutmeghead::error::Error;
use nutmeghead::exit_codes::ExitCode;
use nutmeghead::settings::Settings;
use nutmeghead::{check, config, entry, logging, node, report};

/// Maximum width of help texts, in characters.
const LINE_WIDTH: usize = 100;

fn main() -> process::ExitCode {
    let command = match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return print_parse_failure(failure),
    };
    let result = match command {
        Command::Serve(options) => run_serve(options),
        Command::Entry(options) => run_entry(&options),
        Command::Report(options) => run_report(&options),
        Command::Check(options) => run_check(&options),
        Command::Config(options) => run_config(options),
    };
    match result {
        Ok(()) => ExitCode::Success.into(),
        Err(error) => {
            let code = ExitCode::from(&error);
            eprintln!("{:?}", miette::Report::new(error));
            code.into()
        }
    }
}

/// Prints the requested help or version, or the error in the options.
fn print_parse_failure(failure: bpaf::ParseFailure) -> process::ExitCode {
    failure.print_message(LINE_WIDTH);
    match failure.exit_code() {
        0 => ExitCode::Success.into(),
        _ => ExitCode::Usage.into(),
    }
}

fn run_serve(options: cli::Serve) -> Result<(), Error> {
    let logger = logging::new(options.log_format);
    let workers = options.workers;
    let settings = Settings::try_from(options)?;
    node::run(settings, workers, logger)
}

fn run_entry(options: &cli::Entry) -> Result<(), Error> {
    entry::run(&options.settings, options.metrics_port, &logging::new(options.log_format))
}

fn run_check(options: &cli::Check) -> Result<(), Error> {
    let (text, has_errors) = check::command::run(options)?;
    println!("{text}");
    if has_errors { Err(Error::Checked) } else { Ok(()) }
}

fn run_config(options: cli::Config) -> Result<(), Error> {
    let text = new_runtime()?.block_on(config::command::run(options))?;
    println!("{text}");
    Ok(())
}

fn run_report(options: &cli::Report) -> Result<(), Error> {
    let text = new_runtime()?.block_on(report::run(options))?;
    println!("{text}");
    Ok(())
}

/// Creates a single-threaded runtime for commands that make a few requests and exit.
fn new_runtime() -> Result<tokio::runtime::Runtime, Error> {
    let mut builder = tokio::runtime::Builder::new_current_thread();
    builder.enable_all().build().map_err(Error::Runtime)
}
