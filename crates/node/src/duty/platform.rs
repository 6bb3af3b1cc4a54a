//! Calls to the platform, on threads of their own so that a slow answer holds up nothing else.

use std::{
    sync::{Mutex, PoisonError, mpsc::SyncSender},
    time::Duration,
};

use cassiashunt_control::{Control, Heads, edit};
use cassiashunt_platform::{Entry, Error, Platform, Version, swap, watch};
use cassiashunt_ring::Ring;
use cassiashunt_table::{HEAD_KEY, Head, Offer};
use cassiashunt_types::prelude::*;

use super::event::Event;
use crate::shared::Shared;

/// The platform's key of the control value.
const CONTROL_KEY: &str = "control/head";
/// Tries of one change of the control value.
const EDIT_TRIES: usize = 8;

/// A call to make.
#[derive(Debug, Clone)]
pub(crate) enum Request {
    /// Read both values, where they have changed.
    ReadHeads,
    /// Change the control value.
    EditControl { known: Control, edit: ControlEdit },
    /// Read a failure domain's roster.
    ReadRoster { domain: FailureDomain },
    /// Write a failure domain's roster.
    CasRoster {
        domain: FailureDomain,
        expect: Option<Revision>,
        value: Vec<u8>,
    },
}

/// A change of the control value.
#[derive(Debug, Clone, Copy)]
pub(crate) enum ControlEdit {
    /// Replace a relay.
    Replace(edit::Replace),
    /// Forget relay sets that are out of use.
    Settle {
        domain: FailureDomain,
        relay: NodeId,
    },
    /// Claim a shard.
    TakeOver(edit::TakeOver),
    /// Write the known value back over an older one.
    Restore,
}

/// What the platform answered.
#[derive(Debug)]
pub(crate) enum Answer {
    /// Both values were read; the question was sent at `asked`.
    Heads {
        asked: Time,
        heads: Heads,
        control: Option<Control>,
    },
    /// The values could not be read.
    ReadFailed,
    /// The control value as the platform held it when asked at `asked`.
    Control { control: Control },
    /// A roster was read.
    Roster {
        domain: FailureDomain,
        found: Option<(Revision, Vec<u8>)>,
    },
    /// Another node wrote the roster.
    RosterConflict { domain: FailureDomain },
    /// A roster could not be read or written.
    RosterFailed { domain: FailureDomain },
}

/// The values that were read last.
#[derive(Debug, Default)]
pub(crate) struct Seen {
    table: Mutex<Option<SeenValue>>,
    control: Mutex<Option<SeenValue>>,
}

#[derive(Debug, Clone, Copy)]
struct SeenValue {
    version: Version,
    revision: Revision,
}

/// Makes calls until the ring is closed.
pub(super) fn run(shared: &Shared, ring: &Ring<Request>, tx: &SyncSender<Event>) {
    while let Ok(req) = ring.pop() {
        let answer = call(shared, req);
        if tx.send(Event::Platform(answer)).is_err() {
            return;
        }
    }
}

fn call(shared: &Shared, req: Request) -> Answer {
    match req {
        Request::ReadHeads => read_heads(shared).unwrap_or_else(|err| {
            log::warn!(event = "platform-read-failed"; "{err}");
            Answer::ReadFailed
        }),
        Request::EditControl { known, edit } => edit_control(shared, &known, edit),
        Request::ReadRoster { domain } => read_roster(shared, domain),
        Request::CasRoster {
            domain,
            expect,
            value,
        } => write_roster(shared, domain, expect, &value),
    }
}

fn read_heads(shared: &Shared) -> Result<Answer, Error> {
    let asked = shared.clock.now();
    let table = read_changed(shared, HEAD_KEY, &shared.seen.table, |value| {
        let head = Head::from_bytes(value).map_err(|err| err.to_string())?;
        let revision = head.revision();
        take_table(shared, head);
        Ok(revision)
    })?;
    let mut read = None;
    let control = read_changed(shared, CONTROL_KEY, &shared.seen.control, |value| {
        let control: Control = serde_json::from_slice(value).map_err(|err| err.to_string())?;
        let revision = control.revision;
        read = Some(control);
        Ok(revision)
    })?;
    Ok(Answer::Heads {
        asked,
        heads: Heads { table, control },
        control: read,
    })
}

/// Reads a value where it has changed, and gives its revision; zero where there is none.
fn read_changed(
    shared: &Shared,
    key: &str,
    seen: &Mutex<Option<SeenValue>>,
    take: impl FnOnce(&[u8]) -> Result<Revision, String>,
) -> Result<Revision, Error> {
    let mut seen = seen.lock().unwrap_or_else(PoisonError::into_inner);
    let expected = seen.map_or(swap::Expected::Absent, |seen| {
        swap::Expected::At(seen.version)
    });
    match shared.platform.watch(key, expected, Duration::ZERO)? {
        watch::Outcome::Changed(entry) => {
            let revision = take(&entry.value).map_err(|detail| Error::Protocol { detail })?;
            *seen = Some(SeenValue {
                version: entry.version,
                revision,
            });
        }
        watch::Outcome::Gone => *seen = None,
        watch::Outcome::Unchanged => {}
    }
    Ok(seen.map_or(Revision(0), |seen| seen.revision))
}

/// Puts a table in force that came from the platform.
fn take_table(shared: &Shared, head: Head) {
    match shared.config.offer(head) {
        Offer::Applied { .. } | Offer::Same => {}
        Offer::Older { ours, theirs } => {
            log::error!(event = "table-older-refused", ours = ours.0, theirs = theirs.0; "");
        }
        Offer::Forked { ours, theirs } => {
            log::error!(event = "table-forked-refused", ours = ours.0, theirs = theirs.0; "");
        }
    }
}

/// Changes the control value by compare-and-swap and gives it as it then stands.
fn edit_control(shared: &Shared, known: &Control, change: ControlEdit) -> Answer {
    for _ in 0..EDIT_TRIES {
        let Ok(entry) = shared.platform.get(CONTROL_KEY) else {
            return Answer::ReadFailed;
        };
        let Some(held) = parse(entry.as_ref()) else {
            return Answer::ReadFailed;
        };
        let base = if held.revision < known.revision {
            known
        } else {
            &held
        };
        let Some(next) = edited(base, &held, change) else {
            return Answer::Control { control: held };
        };
        let value = serde_json::to_vec(&next).expect("a control value is plain JSON");
        let expected = swap::Expected::of(entry.as_ref());
        let req = swap::Request {
            key: CONTROL_KEY,
            expected,
            value: &value,
            lease: None,
        };
        if let Ok(swap::Outcome::Applied { .. }) = shared.platform.swap(req) {
            return Answer::Control { control: next };
        }
    }
    Answer::ReadFailed
}

fn parse(entry: Option<&Entry>) -> Option<Control> {
    let Some(entry) = entry else {
        return Some(Control::default());
    };
    let parsed = serde_json::from_slice(&entry.value);
    parsed
        .map_err(|err| log::error!(event = "control-unreadable"; "{err}"))
        .ok()
}

/// The value to write, or nothing where the change no longer applies.
fn edited(base: &Control, held: &Control, change: ControlEdit) -> Option<Control> {
    match change {
        ControlEdit::Replace(replace) => edit::replace(base, replace).ok(),
        ControlEdit::Settle { domain, relay } => edit::prune_previous(base, domain, relay).ok(),
        ControlEdit::TakeOver(claim) => edit::take_over(base, claim).ok(),
        ControlEdit::Restore => (held.revision < base.revision).then(|| Control {
            revision: base.revision.next(),
            ..base.clone()
        }),
    }
}

fn roster_key(domain: FailureDomain) -> String {
    format!("roster/{domain}")
}

fn read_roster(shared: &Shared, domain: FailureDomain) -> Answer {
    match shared.platform.get(&roster_key(domain)) {
        Ok(entry) => {
            let found = entry.map(|entry| (Revision(entry.version.0), entry.value.to_vec()));
            Answer::Roster { domain, found }
        }
        Err(_) => Answer::RosterFailed { domain },
    }
}

fn write_roster(
    shared: &Shared,
    domain: FailureDomain,
    expect: Option<Revision>,
    value: &[u8],
) -> Answer {
    let key = roster_key(domain);
    let expected = match expect {
        Some(revision) => swap::Expected::At(Version(revision.0)),
        None => swap::Expected::Absent,
    };
    match shared.platform.swap(swap::Request {
        key: &key,
        expected,
        value,
        lease: None,
    }) {
        Ok(swap::Outcome::Conflict { .. }) => Answer::RosterConflict { domain },
        Ok(swap::Outcome::Applied { .. }) => read_roster(shared, domain),
        Ok(swap::Outcome::Unknown) | Err(_) => Answer::RosterFailed { domain },
    }
}
