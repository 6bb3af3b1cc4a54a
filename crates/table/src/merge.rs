//! Merges two lines of history after the platform was restored to an older state.

use crate::{
    EditId, Head, LineId, MergeInfo, Record,
    edit::{Conflict, Current, Error, apply_change},
};

/// An edit that was dropped in a merge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Dropped {
    /// The edit.
    pub edit: EditId,
    /// The conflict with another edit; `None` if it was dropped for another reason.
    pub conflict: Option<Box<Conflict>>,
}

/// The result of merging two lines of history.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Merged {
    /// The merged head.
    pub head: Head,
    /// Edits of the other line that were dropped.
    pub dropped: Vec<Dropped>,
    /// Whether the lines conflict: an edit of the other line was dropped, or that line had dropped
    /// an edit that is kept here.
    pub conflicting: bool,
}

/// Replays on `ours` the edits of `theirs` that it does not account for. Edits whose expected state
/// differs from the current one are dropped.
///
/// The merged head has a greater revision than either and accounts for every edit of both.
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
        .map(|merge| merge.dropped.as_slice());
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
    /// The current state that the edit conflicted with.
    #[must_use]
    pub fn current(&self) -> Option<Current> {
        self.conflict.as_ref().map(|conflict| conflict.current)
    }
}
