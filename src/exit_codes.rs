//! Exit codes of the command.

use std::process;

/// How the command ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ExitCode {
    /// Everything was done.
    Success,
    /// Something failed at run time.
    Failure,
    /// The options are wrong.
    Usage,
    /// The document is wrong.
    Document,
    /// Another operator's document came first.
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
