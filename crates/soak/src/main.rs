//! Soaks nodes of the users' platform, seed by seed.

use std::{path::PathBuf, process::ExitCode, time::Duration};

use cassiashunt_soak::{Options, faults::Mix, run};
use eyre::{OptionExt as _, ensure};

mod flags {
    use std::path::PathBuf;

    xflags::xflags! {
        /// Plays seeds of faults on real nodes and judges what callers and servers saw.
        cmd cassiashunt-soak {
            /// The program of the nodes (default: cassiashunt beside this one).
            optional --binary binary: PathBuf
            /// The first seed (default: 1).
            optional --seed seed: u64
            /// How many seeds are played, one after another (default: 1).
            optional --seeds seeds: u64
            /// How long each has load and faults, in seconds (default: 20).
            optional --seconds seconds: u64
            /// Nodes, each with a server (default: 6).
            optional --nodes nodes: usize
            /// planned, servers, all (default: one of these by the seed), stops, cling, calm or foreign.
            optional --mix mix: String
            /// Where settings and logs go (default: a folder for temporary files).
            optional --folder folder: PathBuf
        }
    }
}

fn main() -> eyre::Result<ExitCode> {
    let flags = flags::CassiashuntSoak::from_env_or_exit();
    let beside = || Some(std::env::current_exe().ok()?.with_file_name("cassiashunt"));
    let binary = flags
        .binary
        .or_else(beside)
        .ok_or_eyre("no program of the nodes")?;
    ensure!(binary.exists(), "{} is not there", binary.display());
    let mix = match &flags.mix {
        Some(name) => Some(Mix::from_name(name).ok_or_eyre("no such mix")?),
        None => None,
    };
    let folder = flags.folder.unwrap_or_else(default_folder);
    let first = flags.seed.unwrap_or(1);
    let mut failed = 0;
    for seed in first..first + flags.seeds.unwrap_or(1) {
        let opts = Options {
            binary: binary.clone(),
            folder: folder.join(format!("seed-{seed}")),
            seed,
            mix: mix.unwrap_or_else(|| Mix::of_seed(seed)),
            nodes: flags.nodes.unwrap_or(6),
            span: Duration::from_secs(flags.seconds.unwrap_or(20)),
        };
        let report = run(&opts)?;
        println!("seed {seed} {:?}: {report}", opts.mix);
        failed += u64::from(!report.violations.is_empty());
    }
    println!(
        "{failed} seeds broke a promise; settings and logs: {}",
        folder.display()
    );
    Ok(ExitCode::from(u8::from(failed > 0)))
}

fn default_folder() -> PathBuf {
    std::env::temp_dir().join(format!("cassiashunt-soak-{}", std::process::id()))
}
