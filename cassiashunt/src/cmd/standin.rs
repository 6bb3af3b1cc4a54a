//! `cassiashunt standin`.

use std::{net::SocketAddr, path::Path, thread};

use cassiashunt_standin::{platform, server};
use eyre::{Result, WrapErr};

use crate::{
    exit::Exit,
    flags::{self, StandinCmd},
};

/// Runs a stand-in until the process is ended.
pub fn run(flags: flags::Standin) -> Result<Exit> {
    match flags.subcommand {
        StandinCmd::Platform(flags) => run_platform(flags.listen),
        StandinCmd::Server(flags) => run_server(&flags.settings),
    }
}

fn run_platform(listen: SocketAddr) -> Result<Exit> {
    if !listen.ip().is_loopback() {
        return Err(Exit::Usage.err(format!("{listen} is no loopback address")));
    }
    let standin = platform::serve(listen, platform::Options::default())?;
    log::info!(event = "standin-platform-started", listen:% = standin.addr(); "");
    wait_for_ever()
}

fn run_server(settings: &Path) -> Result<Exit> {
    let file = settings.display();
    let text = std::fs::read_to_string(settings).wrap_err_with(|| file.to_string())?;
    let options: server::Options =
        toml::from_str(&text).map_err(|err| Exit::Usage.err(format!("{file}: {err}")))?;
    let standin = server::serve(options)?;
    log::info!(event = "standin-server-started", listen:% = standin.addr; "");
    wait_for_ever()
}

fn wait_for_ever() -> Result<Exit> {
    loop {
        thread::park();
    }
}
