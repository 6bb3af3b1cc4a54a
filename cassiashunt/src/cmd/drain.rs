//! `cassiashunt drain`.

use eyre::{Result, eyre};

use crate::{client::Client, exit::Exit, flags};

/// Asks a node for a graceful stop.
pub fn run(flags: &flags::Drain) -> Result<Exit> {
    let (status, answer) = Client::new(flags.node)?.post("/drain", &[])?;
    if status == 202 {
        println!("the node is draining");
        return Ok(Exit::Done);
    }
    Err(eyre!(
        "the node answered {status}: {}",
        String::from_utf8_lossy(&answer).trim()
    ))
}
