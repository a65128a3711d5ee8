//! Why a command failed.

use std::process::ExitCode;

/// The error of a command, as it is printed; its kind decides the exit code.
#[derive(Debug, thiserror::Error)]
pub enum CommandError {
    /// It could not run.
    #[error("chalkyard: {0}")]
    CouldNotRun(String),
    /// Its input is invalid; the text names the place.
    #[error("{0}")]
    BadInput(String),
}

impl CommandError {
    /// The exit code of the process.
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
