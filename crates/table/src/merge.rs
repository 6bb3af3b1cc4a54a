//! Joining two lines of history after the platform has gone back to an older state.

use cassiashunt_types::Revision;

use crate::{
    EditId, Head, Record, Reinstall,
    edit::{Conflict, Current, Error, apply_change},
};

/// An edit that could not be kept.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dropped {
    /// The edit.
    pub edit: EditId,
    /// What stood in its way, where that was another edit.
    pub conflict: Option<Box<Conflict>>,
}

/// Two lines of history in one.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The joined head.
    pub head: Head,
    /// Edits of the other line that could not be kept.
    pub dropped: Vec<Dropped>,
}

/// Builds on `ours` the edits of `theirs` that it does not account for, as far as they find what
/// they expect.
///
/// The outcome has a greater revision than either and accounts for every edit of both.
#[must_use]
pub fn merge(ours: &Head, theirs: &Head) -> Merged {
    let mut head = ours.clone();
    let mut dropped = Vec::new();
    for record in theirs.recent() {
        if ours.accounts_for(record.edit) {
            continue;
        }
        match replay(&head, record) {
            Ok(next) => head = next,
            Err(err) => dropped.push(dropped_by(record.edit, err)),
        }
    }
    let revision = Revision(head.revision().0.max(theirs.revision().0)).next();
    let ids = dropped.iter().map(|dropped| dropped.edit).collect();
    head.push(join_record(ours, theirs, revision, ids));
    Merged { head, dropped }
}

fn replay(head: &Head, record: &Record) -> Result<Head, Error> {
    let revision = head.revision().next();
    let mut next = head.clone();
    for change in &record.changes {
        apply_change(&mut next, revision, change)?;
    }
    next.push(Record {
        revision,
        ..record.clone()
    });
    Ok(next)
}

fn dropped_by(edit: EditId, err: Error) -> Dropped {
    let conflict = match err {
        Error::Conflict(conflict) => Some(conflict),
        _ => None,
    };
    Dropped { edit, conflict }
}

fn join_record(ours: &Head, theirs: &Head, revision: Revision, dropped: Vec<EditId>) -> Record {
    let over = theirs.revision();
    Record {
        edit: EditId::of_join(ours.tag(), theirs.tag()),
        revision,
        who: "cassiashunt".into(),
        when: String::new(),
        changes: Vec::new(),
        reinstall: Some(Reinstall { over, dropped }),
    }
}

impl Dropped {
    /// What stands where the edit expected something else.
    #[must_use]
    pub fn current(&self) -> Option<Current> {
        self.conflict.as_ref().map(|conflict| conflict.current)
    }
}
