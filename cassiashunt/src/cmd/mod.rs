//! One module a command.

mod audit;
mod check;
mod demo;
mod drain;
mod edit;
mod explain;
mod key;
mod load;
mod node;
mod sidecar;
mod standin;
mod status;
mod table;

use eyre::Result;

use crate::{
    exit::Exit,
    flags::{Cassiashunt, CassiashuntCmd},
};

/// Runs the command that `flags` name.
pub fn run(flags: Cassiashunt) -> Result<Exit> {
    match flags.subcommand {
        CassiashuntCmd::Node(flags) => node::run(flags),
        CassiashuntCmd::Sidecar(flags) => sidecar::run(flags),
        CassiashuntCmd::Check(flags) => check::run(flags),
        CassiashuntCmd::Table(flags) => table::run(flags),
        CassiashuntCmd::Key(flags) => key::run(flags),
        CassiashuntCmd::Audit(flags) => audit::run(&flags),
        CassiashuntCmd::Status(flags) => status::run(&flags),
        CassiashuntCmd::Explain(flags) => explain::run(flags),
        CassiashuntCmd::Drain(flags) => drain::run(&flags),
        CassiashuntCmd::Load(flags) => load::run(flags),
        CassiashuntCmd::Demo(_) => demo::run(),
        CassiashuntCmd::Standin(flags) => standin::run(flags),
    }
}
