//! `cassiashunt audit`.

use cassiashunt_table::Record;
use eyre::Result;

use crate::{client::Client, exit::Exit, flags};

/// Prints the audit trail.
pub fn run(flags: &flags::Audit) -> Result<Exit> {
    let client = Client::new(flags.node)?;
    let records: Vec<Record> = serde_json::from_slice(&client.get("/audit")?)?;
    let skipped = flags
        .last
        .map_or(0, |last| records.len().saturating_sub(last));
    for record in &records[skipped..] {
        if flags.json {
            println!("{}", serde_json::to_string(record)?);
        } else {
            print(record)?;
        }
    }
    Ok(Exit::Done)
}

fn print(record: &Record) -> Result<()> {
    let Record {
        revision,
        edit,
        who,
        when,
        ..
    } = record;
    println!("revision {} edit {edit} by {who} at {when}", revision.0);
    for change in &record.changes {
        println!("  {}", serde_json::to_string(change)?);
    }
    Ok(())
}
