//! Runs the variants of an experiment file that need no nodes, and prints the report.
//!
//! `cargo run --release -p cassiashunt-load --example baselines -- FILE [OUT-DIRECTORY]`

use std::path::PathBuf;

use cassiashunt_load::{Experiment, experiment::Launch, run, table};
use eyre::{OptionExt, bail};

fn main() -> eyre::Result<()> {
    let mut args = std::env::args_os().skip(1).map(PathBuf::from);
    let file = args.next().ok_or_eyre("name an experiment file")?;
    let experiment = Experiment::read(&file)?;
    let direct = experiment
        .variants
        .iter()
        .filter(|variant| variant.launch == Launch::Direct);
    let options = run::Options {
        only: direct.map(|variant| variant.name.clone()).collect(),
        out: args.next(),
        ..Default::default()
    };
    let no_nodes = |_: &_, _: &_| bail!("this example launches no nodes");
    let comparison = run::run(&experiment, &options, &no_nodes)?;
    print!("{}", table::render(&comparison));
    Ok(())
}
