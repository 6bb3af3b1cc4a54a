//! The cassiashunt command: nodes, operators' tools, load and stand-ins in one binary.

mod client;
mod cmd;
mod exit;
mod flags;
mod logging;

use std::process::ExitCode;

use crate::exit::Exit;

fn main() -> ExitCode {
    let flags = flags::Cassiashunt::from_env_or_exit();
    // The sidecar writes its logs to standard output itself, where its platform reads them.
    if !matches!(flags.subcommand, flags::CassiashuntCmd::Sidecar(_)) {
        logging::init();
    }
    match cmd::run(flags) {
        Ok(exit) => exit.into(),
        Err(err) => {
            eprintln!("cassiashunt: {err:#}");
            Exit::of(&err).into()
        }
    }
}
