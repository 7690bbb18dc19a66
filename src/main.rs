//! The nutmeghead command.

use std::process;

use nutmeghead::cli::{self, Command};
use nutmeghead::error::Error;
use nutmeghead::exit_codes::ExitCode;
use nutmeghead::settings::Settings;
use nutmeghead::{config, entry, logs, node, report};

/// Width of help texts, in characters.
const LINE_WIDTH: usize = 100;

fn main() -> process::ExitCode {
    let command = match cli::command().run_inner(bpaf::Args::current_args()) {
        Ok(command) => command,
        Err(failure) => return refuse(failure),
    };
    let result = match command {
        Command::Serve(options) => serve(options),
        Command::Entry(options) => enter(&options),
        Command::Report(options) => report(&options),
        Command::Config(options) => configure(options),
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

/// Prints the help that was asked for, or what is wrong with the options.
fn refuse(failure: bpaf::ParseFailure) -> process::ExitCode {
    failure.print_message(LINE_WIDTH);
    match failure.exit_code() {
        0 => ExitCode::Success.into(),
        _ => ExitCode::Usage.into(),
    }
}

fn serve(options: cli::Serve) -> Result<(), Error> {
    let logger = logs::new(options.log_format);
    let workers = options.workers;
    let settings = Settings::try_from(options)?;
    node::run(settings, workers, logger)
}

fn enter(options: &cli::Entry) -> Result<(), Error> {
    entry::run(&options.settings, options.metrics_port, &logs::new(options.log_format))
}

fn configure(options: cli::Config) -> Result<(), Error> {
    let text = runtime()?.block_on(config::command::run(options))?;
    println!("{text}");
    Ok(())
}

fn report(options: &cli::Report) -> Result<(), Error> {
    let text = runtime()?.block_on(report::run(options))?;
    println!("{text}");
    Ok(())
}

/// A runtime for commands that ask a few questions and end.
fn runtime() -> Result<tokio::runtime::Runtime, Error> {
    let mut runtime = tokio::runtime::Builder::new_current_thread();
    runtime.enable_all().build().map_err(Error::Runtime)
}
