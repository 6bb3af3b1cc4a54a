//! `cassiashunt sidecar`.

use std::path::PathBuf;

use cassiashunt_sidecar::SettingsSource;
use eyre::{Result, WrapErr as _};

use crate::{exit::Exit, flags};

/// Runs a node of the users' platform until SIGTERM or SIGINT.
pub fn run(flags: flags::Sidecar) -> Result<Exit> {
    let path = match flags.settings {
        Some(path) => path,
        None => from_environment().map_err(|err| Exit::Usage.err(err.to_string()))?,
    };
    let source = SettingsSource {
        path,
        values: flags.set,
    };
    cassiashunt_sidecar::run(&source).wrap_err("the node did not run")?;
    Ok(Exit::Done)
}

fn from_environment() -> Result<PathBuf> {
    let variable = cassiashunt_adapter::SETTINGS_VARIABLE;
    let path = std::env::var_os(variable);
    path.map(PathBuf::from)
        .ok_or_else(|| eyre::eyre!("name a settings file, or set {variable}"))
}
