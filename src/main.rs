//! The nutmeghead command.

use std::process;

use nutmeghead::cli::{self, Command};
use nutmeghead::error::Error;
use nutmeghead::exit_codes::ExitCode;
use nutmeghead::settings::Settings;
use nutmeghead::{logs, node};

fn main() -> process::ExitCode {
    let result = match cli::command().run() {
        Command::Serve(options) => serve(options),
        Command::Config(_) | Command::Report(_) => Ok(()),
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
