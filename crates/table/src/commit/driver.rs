//! Runs a commit against the platform.

use std::{sync::Arc, thread, time::Duration};

use cassiashunt_platform::{Platform, swap};

use super::{Action, Commit, Event, HeadReports, Outcome, Proposal, Replicated, Stored, Swapped};
use crate::{Block, HEAD_KEY, Head, audit_prefix};

/// The callbacks by which a commit reaches the peers and waits.
pub struct Peers<'a> {
    /// Sends a durable head to the peers and returns whether a majority has it in force.
    pub replicate: &'a dyn Fn(&Arc<Head>) -> Replicated,
    /// Collects the peers' reports of the heads that they have in force.
    pub head_reports: &'a dyn Fn() -> HeadReports,
    /// Blocks for the given time.
    pub wait: &'a dyn Fn(Duration),
}

impl Peers<'static> {
    /// No peers: an edit is accepted as soon as the platform holds it.
    #[must_use]
    pub fn none() -> Self {
        Self {
            replicate: &|_| Replicated::InForce,
            head_reports: &|| HeadReports {
                peers: Vec::new(),
                blocking: 1,
            },
            wait: &thread::sleep,
        }
    }
}

/// Runs a commit to its end; blocks the calling thread.
pub fn run(
    platform: &dyn Platform,
    peers: &Peers<'_>,
    (mut commit, mut action): (Commit, Action),
) -> Outcome {
    loop {
        let event = match action {
            Action::Read { wait } => {
                (peers.wait)(wait);
                read(platform)
            }
            Action::KeepAudit(block) => keep_audit(platform, &block),
            Action::ReadAudit { from, to } => read_audit(platform, &audit_prefix(from, to)),
            Action::Swap(proposal) => Event::Swapped(swap_head(platform, &proposal)),
            Action::AskPeers => Event::HeadReports((peers.head_reports)()),
            Action::Replicate(head) => Event::Replicated((peers.replicate)(&head)),
            Action::Finish(outcome) => return outcome,
        };
        action = commit.on(event);
    }
}

fn read(platform: &dyn Platform) -> Event {
    let entry = match platform.get(HEAD_KEY) {
        Ok(Some(entry)) => entry,
        Ok(None) => return Event::Read(None),
        Err(_) => return Event::ReadFailed,
    };
    match Head::from_bytes(&entry.value) {
        Ok(head) => Event::Read(Some(Stored {
            version: entry.version,
            head: Arc::new(head),
        })),
        Err(err) => Event::Unreadable {
            detail: err.to_string(),
        },
    }
}

fn swap_head(platform: &dyn Platform, proposal: &Proposal) -> Swapped {
    let outcome = platform.swap(swap::Request {
        key: HEAD_KEY,
        expected: proposal.expected,
        value: &proposal.head.to_bytes(),
        lease: None,
    });
    match outcome {
        Ok(swap::Outcome::Applied { .. }) => Swapped::Applied,
        Ok(swap::Outcome::Conflict { .. }) => Swapped::Conflict,
        Ok(swap::Outcome::Unknown) => Swapped::Unknown,
        Err(_) => Swapped::Failed,
    }
}

/// Creates the value. A conflict means that the same value exists, as the key is derived from the
/// content.
fn keep_audit(platform: &dyn Platform, block: &Block) -> Event {
    let outcome = platform.swap(swap::Request {
        key: &block.key,
        expected: swap::Expected::Absent,
        value: &block.value,
        lease: None,
    });
    let kept = match outcome {
        Ok(swap::Outcome::Applied { .. } | swap::Outcome::Conflict { .. }) => true,
        Ok(swap::Outcome::Unknown) => matches!(platform.get(&block.key), Ok(Some(_))),
        Err(_) => false,
    };
    if kept {
        Event::AuditKept
    } else {
        Event::AuditFailed
    }
}

fn read_audit(platform: &dyn Platform, prefix: &str) -> Event {
    let Ok(entries) = platform.list(prefix) else {
        return Event::AuditFailed;
    };
    let mut records = Vec::new();
    for entry in entries {
        match Block::parse(&entry.value) {
            Ok(block) => records.extend(block),
            Err(_) => return Event::AuditFailed,
        }
    }
    Event::Audit(records)
}
