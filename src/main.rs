//! The nutmeghead command.

use std::process;

use nutmeghead::cli::{self, Command};
use nutmeghead::error::Error;
use nutmeghead::exit_codes::ExitCode;
use nutmeghead::settings::Settings;
use nutmeghead::{logs, node, report};

fn main() -> process::ExitCode {
    let result = match cli::command().run() {
        Command::Serve(options) => serve(options),
        Command::Report(options) => report(&options),
        Command::Config(_) => Ok(()),
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

fn serve(options: cli::Serve) -> Result<(), Error> {
    let logger = logs::new(options.log_format);
    let workers = options.workers;
    let settings = Settings::try_from(options)?;
    node::run(settings, workers, logger)
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
