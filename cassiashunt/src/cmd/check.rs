//! `cassiashunt check`.

use cassiashunt_node::Settings;
use eyre::Result;

use crate::{exit::Exit, flags};

/// Checks a settings file and prints the settings in effect, secrets left out.
pub fn run(flags: flags::Check) -> Result<Exit> {
    let file = flags.settings.display().to_string();
    let settings =
        Settings::read(flags.settings).map_err(|err| Exit::Usage.err(format!("{file}: {err}")))?;
    print!("{}", settings.redacted());
    Ok(Exit::Done)
}
