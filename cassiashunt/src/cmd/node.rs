//! `cassiashunt node`.

use std::{
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use cassiashunt_node::{Node, Settings, Stopped, Wiring};
use eyre::Result;
use signal_hook::consts::{SIGINT, SIGTERM};

use crate::{exit::Exit, flags};

/// How often the command looks whether it is asked to stop.
const LOOK: Duration = Duration::from_millis(50);

/// Runs a node until SIGTERM, SIGINT or an operator's drain.
pub fn run(flags: flags::Node) -> Result<Exit> {
    let settings =
        Settings::read(flags.settings).map_err(|err| Exit::Usage.err(err.to_string()))?;
    let asked = Arc::new(AtomicBool::new(false));
    for signal in [SIGTERM, SIGINT] {
        signal_hook::flag::register(signal, Arc::clone(&asked))?;
    }
    let metrics = metrics_exporter_prometheus::PrometheusBuilder::new().install_recorder()?;
    let wiring = Wiring {
        metrics: Some(metrics),
        ..Default::default()
    };
    let node = Node::start(settings, wiring)?;
    while !asked.load(Ordering::Acquire) && !node.is_asked_to_drain() {
        thread::sleep(LOOK);
    }
    match node.stop() {
        Stopped::Drained => Ok(Exit::Done),
        Stopped::TimedOut { .. } => Ok(Exit::CutOff),
    }
}
