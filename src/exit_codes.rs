//! Exit codes of the `nutmeghead` command.

use std::process;

/// Exit code of the command.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// The command succeeded.
    Success,
    /// The command failed at run time.
    Failure,
    /// The options or the settings file are invalid.
    Usage,
    /// The document is invalid.
    Document,
    /// Another operator submitted a document first.
    Conflict,
}

impl From<ExitCode> for u8 {
    fn from(code: ExitCode) -> Self {
        match code {
            ExitCode::Success => 0,
            ExitCode::Failure => 1,
            ExitCode::Usage => 2,
            ExitCode::Document => 3,
            ExitCode::Conflict => 4,
        }
    }
}

impl From<ExitCode> for process::ExitCode {
    fn from(code: ExitCode) -> Self {
        u8::from(code).into()
    }
}
