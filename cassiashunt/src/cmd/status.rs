//! `cassiashunt status`.

use eyre::Result;
use serde_json::Value;

use crate::{client::Client, exit::Exit, flags};

/// Prints what a node knows of itself and the fleet.
pub fn run(flags: &flags::Status) -> Result<Exit> {
    let status = Client::new(flags.node)?.get("/status")?;
    let status: Value = serde_json::from_slice(&status)?;
    if flags.json {
        println!("{status}");
        return Ok(Exit::Done);
    }
    for (name, value) in status.as_object().into_iter().flatten() {
        println!("{name}: {value}");
    }
    Ok(Exit::Done)
}
