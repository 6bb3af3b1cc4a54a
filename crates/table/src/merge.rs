//! Joining two lines of history after the platform has gone back to an older state.

use crate::{
    EditId, Head, LineId, MergeInfo, Record,
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
    /// Whether the lines contradict each other: an edit of the other one was dropped, or it had
    /// dropped an edit that is kept.
    pub conflicting: bool,
}

/// Builds on `ours` the edits of `theirs` that it does not account for, as far as they find what
/// they expect.
///
/// The outcome has a greater revision than either and accounts for every edit of both.
#[must_use]
pub fn merge(ours: &Head, theirs: &Head) -> Merged {
    let mut head = ours.clone();
    let mut dropped = Vec::new();
    let mut lines = Vec::new();
    let mut conflicting = false;
    for record in theirs.recent() {
        if ours.accounts_for(record.line) {
            continue;
        }
        lines.push(record.line);
        conflicting |= drops_kept_edit(ours, record);
        if head.settles(record.edit) {
            continue;
        }
        match replay(&head, record) {
            Ok(next) => head = next,
            Err(err) => dropped.push(dropped_by(record.edit, err)),
        }
    }
    let ids = dropped.iter().map(|dropped| dropped.edit).collect();
    let record = merge_record(&head, ours, theirs, ids, lines);
    head.push(record);
    conflicting |= !dropped.is_empty();
    Merged {
        head,
        dropped,
        conflicting,
    }
}

fn drops_kept_edit(ours: &Head, record: &Record) -> bool {
    let dropped = record
        .reinstall
        .as_ref()
        .map(|join| join.dropped.as_slice());
    let mut dropped = dropped.unwrap_or_default().iter();
    dropped.any(|edit| ours.find(*edit).is_some())
}

fn replay(head: &Head, record: &Record) -> Result<Head, Error> {
    let revision = head.revision().next();
    let line = head.line_after(record.edit, revision);
    let mut next = head.clone();
    for change in &record.changes {
        apply_change(&mut next, revision, change)?;
    }
    next.push(Record {
        revision,
        line,
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

fn merge_record(
    head: &Head,
    ours: &Head,
    theirs: &Head,
    dropped: Vec<EditId>,
    lines: Vec<LineId>,
) -> Record {
    let revision = head.revision().max(theirs.revision()).next();
    let edit = EditId::of_merge(ours.line(), theirs.line());
    let over = theirs.revision();
    Record {
        edit,
        revision,
        who: "cassiashunt".into(),
        when: String::new(),
        changes: Vec::new(),
        line: head.line_after(edit, revision),
        reinstall: Some(MergeInfo {
            over,
            dropped,
            lines,
        }),
    }
}

impl Dropped {
    /// What stands where the edit expected something else.
    #[must_use]
    pub fn current(&self) -> Option<Current> {
        self.conflict.as_ref().map(|conflict| conflict.current)
    }
}
