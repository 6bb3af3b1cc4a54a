//! `cassiashunt load`.

use cassiashunt_load::{
    Experiment,
    run::{self, Options},
    table,
};
use eyre::Result;

use crate::{exit::Exit, flags};

/// Runs an experiment and prints the comparison.
pub fn run(flags: flags::Load) -> Result<Exit> {
    let experiment =
        Experiment::read(&flags.experiment).map_err(|err| Exit::Usage.err(err.to_string()))?;
    let options = Options {
        out: flags.out,
        repeats: flags.repeats.unwrap_or(1),
        only: flags.only,
        progress: !flags.quiet,
    };
    let comparison = run::run(&experiment, &options, &cassiashunt_fleet::launch)?;
    println!("{}", table::render(&comparison));
    Ok(Exit::Done)
}
