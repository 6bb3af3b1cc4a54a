//! Sends edits and tells what became of them.

use std::{
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use cassiashunt_table::{Change, Edit, EditId};
use eyre::Result;

use crate::{
    client::{Client, EditAnswer},
    exit::Exit,
};

/// How long `--wait` waits.
const WAIT: Duration = Duration::from_secs(30);
/// How often `--wait` asks.
const ASK: Duration = Duration::from_millis(100);

/// How an edit is sent.
pub struct Options {
    /// Who asks; the login name where not given.
    pub who: Option<String>,
    /// Answer as JSON.
    pub json: bool,
    /// Wait until the edit is in force everywhere.
    pub wait: bool,
}

/// Sends the changes as one edit.
pub fn send(client: &Client, opts: &Options, changes: Vec<Change>) -> Result<Exit> {
    let who = opts.who.clone().or_else(|| std::env::var("USER").ok());
    let edit = Edit {
        id: EditId::random(),
        who: who.unwrap_or_else(|| "unknown".into()),
        when: wall_clock_text(),
        changes,
    };
    let answer = client.edit(&edit)?;
    if opts.json {
        println!("{}", serde_json::to_string(&answer)?);
    }
    match answer {
        EditAnswer::Accepted { revision } => {
            tell(opts, &format!("accepted as revision {revision}"));
            if opts.wait {
                wait_in_force(client, revision)?;
                tell(opts, "in force at every live node");
            }
            Ok(Exit::Done)
        }
        EditAnswer::Conflict { detail } => Err(Exit::Conflict.err(detail)),
        EditAnswer::Refused { detail } => Err(Exit::Failed.err(detail)),
        EditAnswer::Unknown { detail } => {
            Err(Exit::Unknown.err(format!("{detail} (edit {})", edit.id)))
        }
    }
}

fn tell(opts: &Options, text: &str) {
    if !opts.json {
        println!("{text}");
    }
}

fn wait_in_force(client: &Client, revision: u64) -> Result<()> {
    let until = Instant::now() + WAIT;
    let path = format!("/in-force?revision={revision}");
    loop {
        let missing = String::from_utf8(client.get(&path)?)?;
        if missing.trim().is_empty() {
            return Ok(());
        }
        if Instant::now() >= until {
            let nodes = missing.split_whitespace().collect::<Vec<_>>().join(", ");
            return Err(Exit::Failed.err(format!("accepted, but not yet in force at {nodes}")));
        }
        thread::sleep(ASK);
    }
}

/// Seconds since 1970, as text for the audit trail.
fn wall_clock_text() -> String {
    let since = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default();
    format!("{}s", since.as_secs())
}
