//! Loads settings files for the commands, and implements `check` and `hash-key`.

use std::path::{Path, PathBuf};
use std::process::ExitCode;

use chalkyard_settings::{Budgets, Settings};

use crate::CommandError;

/// Reads a file.
pub fn read(file: &PathBuf) -> Result<String, CommandError> {
    std::fs::read_to_string(file).map_err(|e| CommandError::BadInput(format!("{}: {e}", file.display())))
}

/// Reads and checks a settings file.
pub fn load(file: &PathBuf) -> Result<Settings, CommandError> {
    load_text(file, &read(file)?)
}

/// Parses and validates the text of a settings file.
pub fn load_text(file: &Path, text: &str) -> Result<Settings, CommandError> {
    chalkyard_settings::read(text).map_err(|errors| {
        let lines: Vec<String> = errors.iter().map(|e| format!("{}:{e}", file.display())).collect();
        CommandError::BadInput(lines.join("\n"))
    })
}

/// Loads the budgets of a settings file; an error if it has none.
pub fn load_budgets(file: &PathBuf) -> Result<Budgets, CommandError> {
    let missing = || CommandError::BadInput(format!("{}: no <budgets>", file.display()));
    load(file)?.budgets.ok_or_else(missing)
}

/// Loads the path of the control socket from a settings file; an error if it has none.
pub fn control_socket(file: &PathBuf) -> Result<PathBuf, CommandError> {
    let missing = || CommandError::BadInput(format!("{}: <router> names no `control`", file.display()));
    load(file)?.control.ok_or_else(missing)
}

/// `chalkyard check`: prints a summary of the file, or its errors.
pub fn check(file: &PathBuf) -> Result<ExitCode, CommandError> {
    let settings = load(file)?;
    let config = &settings.config;
    println!(
        "{}: ok: router {} at {}, {} classes, {} tenants, {} kinds",
        file.display(),
        config.name,
        settings.listen,
        config.classes.len(),
        config.tenants.len(),
        config.kinds.len()
    );
    Ok(ExitCode::SUCCESS)
}

/// `chalkyard hash-key`: prints the hash of the API key on standard input.
pub fn hash_key(file: &PathBuf) -> Result<ExitCode, CommandError> {
    let settings = load(file)?;
    let mut key = String::new();
    std::io::stdin().read_line(&mut key).map_err(|e| CommandError::CouldNotRun(e.to_string()))?;
    if key.trim().is_empty() {
        return Err(CommandError::BadInput("no key on standard input".into()));
    }
    println!("{}", settings.config.keys.hash(key.trim()));
    Ok(ExitCode::SUCCESS)
}
