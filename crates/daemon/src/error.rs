//! Errors of the commands.

use std::process::ExitCode;

/// The error of a command. The variant determines the exit code.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// The command could not run.
    #[error("chalkyard: {0}")]
    CouldNotRun(String),
    /// The input is invalid; the text contains its position.
    #[error("{0}")]
    BadInput(String),
}

impl CommandError {
    /// Returns the exit code of the process.
    pub fn exit_code(&self) -> ExitCode {
        match self {
            Self::CouldNotRun(_) => ExitCode::from(1),
            Self::BadInput(_) => ExitCode::from(2),
        }
    }
}

impl From<chalkyard_rehearsal::Error> for CommandError {
    fn from(error: chalkyard_rehearsal::Error) -> Self {
        match error {
            chalkyard_rehearsal::Error::BadInput(reason) => Self::BadInput(reason),
            chalkyard_rehearsal::Error::CouldNotRun(reason) => Self::CouldNotRun(reason),
        }
    }
}
