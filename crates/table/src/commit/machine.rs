//! The state machine of a commit.

use std::sync::Arc;

use cassiashunt_platform::{MAX_VALUE_BYTES, swap::Expected};
use cassiashunt_types::Revision;

use super::{
    Action, Event, HeadReports, Options, Outcome, Proposal, Refused, Replicated, Stored, Swapped,
    lines::Lines,
};
use crate::{Dropped, Edit, EditId, Head, Lineage, Record, edit};

/// The result that the machine waits for.
#[derive(Debug, Clone)]
enum Step {
    /// The platform's head.
    Reading,
    /// The audit records, to search for the edit.
    Searching(Option<Stored>),
    /// The peers' head reports, to decide between two lines of history.
    Asking(Option<Stored>),
    /// The creation of an audit value, which must exist before its records are removed from the
    /// head.
    Keeping(Proposal),
    /// A compare-and-swap.
    Swapping(Proposal),
    /// The peers' answers to a durable head.
    Replicating(Arc<Head>),
    /// Nothing: the commit has ended.
    Finished,
}

/// State of the commit of an edit, or of a reinstallation of the known head.
#[derive(Debug, Clone)]
pub struct Commit {
    options: Options,
    edit: Option<Edit>,
    /// The newest head known here or by the peers.
    known: Option<Arc<Head>>,
    /// The peers' head reports; `None` before they were asked since the last read.
    reports: Option<HeadReports>,
    /// Whether a swap of the edit may have taken effect.
    may_be_applied: bool,
    /// The oldest revision that the edit may have made.
    search_from: Option<Revision>,
    /// Whether the platform's head has the edit already, in the head or in its audit values.
    already_applied: bool,
    /// Whether the last swap conflicted with a concurrent one.
    contended: bool,
    /// The outcome to report once a head without the edit is written.
    pending_outcome: Option<Outcome>,
    reads: u32,
    step: Step,
}

impl Commit {
    /// Starts to commit `edit`.
    ///
    /// `known` is the newest head known here or by the peers. If the platform has an older
    /// head, `known` is installed again along with the edit.
    pub fn start(edit: Edit, known: Option<Arc<Head>>, options: Options) -> (Self, Action) {
        Self::begin(Some(edit), known, options)
    }

    /// Starts to install `known` again if the platform's head is older or lacks one of its edits.
    pub fn start_reinstall(known: Arc<Head>, options: Options) -> (Self, Action) {
        Self::begin(None, Some(known), options)
    }

    fn begin(edit: Option<Edit>, known: Option<Arc<Head>>, options: Options) -> (Self, Action) {
        let mut commit = Self {
            options,
            edit,
            known,
            reports: None,
            may_be_applied: false,
            search_from: options.repeated.then_some(Revision(0)),
            already_applied: false,
            contended: false,
            pending_outcome: None,
            reads: 0,
            step: Step::Reading,
        };
        let action = commit.read();
        (commit, action)
    }

    /// Handles the result of the last action and returns the next one.
    ///
    /// An event that does not belong to the last action ends the commit as
    /// [`Outcome::StillUnknown`].
    pub fn on(&mut self, event: Event) -> Action {
        let step = std::mem::replace(&mut self.step, Step::Finished);
        match (step, event) {
            (Step::Reading, Event::Read(stored)) => self.on_read(stored),
            (Step::Reading, Event::ReadFailed) => self.read(),
            (Step::Reading, Event::Unreadable { detail }) => {
                self.finish(Outcome::Refused(Refused::Unreadable { detail }))
            }
            (Step::Searching(stored), Event::Audit(records)) => self.on_audit(stored, &records),
            (Step::Asking(stored), Event::HeadReports(reports)) => {
                self.on_head_reports(stored, reports)
            }
            (Step::Keeping(proposal), Event::AuditKept) => self.swap(proposal),
            (Step::Searching(_) | Step::Keeping(_), Event::AuditFailed) => self.read(),
            (Step::Swapping(proposal), Event::Swapped(swapped)) => {
                self.on_swapped(proposal, swapped)
            }
            (Step::Replicating(head), Event::Replicated(replicated)) => {
                self.on_replicated(&head, replicated)
            }
            _ => self.finish(Outcome::StillUnknown),
        }
    }

    fn read(&mut self) -> Action {
        self.pending_outcome = None;
        self.already_applied = false;
        self.reports = None;
        if self.reads == self.options.reads {
            return self.fail_reading();
        }
        let wait = self.options.wait(self.reads);
        self.reads += 1;
        self.step = Step::Reading;
        Action::Read { wait }
    }

    fn fail_reading(&mut self) -> Action {
        let refused = match self.contended {
            true => Refused::Contended,
            false => Refused::PlatformDown,
        };
        self.finish(Outcome::Refused(refused))
    }

    fn on_read(&mut self, stored: Option<Stored>) -> Action {
        if let Some(head) = self.holder_of_edit(stored.as_ref()) {
            return self.resume(stored, &head);
        }
        if let Some(search) = self.search_audit(stored.as_ref()) {
            self.step = Step::Searching(stored);
            return search;
        }
        self.reconcile(stored)
    }

    /// The platform's head, if it has the edit already.
    fn holder_of_edit(&self, stored: Option<&Stored>) -> Option<Arc<Head>> {
        let stored = stored?;
        stored.head.find(self.edit_id()?)?;
        Some(Arc::clone(&stored.head))
    }

    /// Continues with an edit that the platform holds: replicates its head, unless the known head
    /// is newer or forked.
    fn resume(&mut self, stored: Option<Stored>, head: &Arc<Head>) -> Action {
        match self.known.as_ref().map(|known| known.lineage(head)) {
            None | Some(Lineage::Same | Lineage::Ahead) => self.replicate(Arc::clone(head)),
            Some(Lineage::Behind) => {
                self.already_applied = true;
                self.reconcile(stored)
            }
            Some(Lineage::Forked) => self.reconcile(stored),
        }
    }

    /// The search for the edit in the audit records, if its record may have left the head.
    fn search_audit(&self, stored: Option<&Stored>) -> Option<Action> {
        let from = self.search_from?;
        let head = &stored?.head;
        let to = head.revision();
        let spilled = head.may_have_spilled(from);
        spilled.then_some(Action::ReadAudit { from, to })
    }

    fn on_audit(&mut self, stored: Option<Stored>, records: &[Record]) -> Action {
        let id = self.edit_id();
        let found = records.iter().any(|record| Some(record.edit) == id);
        match stored {
            Some(stored) if found => {
                let head = Arc::clone(&stored.head);
                self.resume(Some(stored), &head)
            }
            stored => self.reconcile(stored),
        }
    }

    /// Merges the platform's head with the known one and applies the edit to the result.
    fn reconcile(&mut self, stored: Option<Stored>) -> Action {
        let lines = Lines {
            known: self.known.as_ref(),
            stored: stored.as_ref().map(|stored| &stored.head),
            reports: self.reports.as_ref(),
            prefer_platform: self.options.prefer_platform,
        };
        let Some(merged) = lines.merge() else {
            return self.ask(stored);
        };
        self.pending_outcome = self.outcome_if_dropped(&merged.dropped);
        let version = stored.as_ref().map(|stored| stored.version);
        let expected = version.map_or(Expected::Absent, Expected::At);
        let renewed = stored.is_some_and(|stored| !is_same(&stored.head, &merged.head))
            || (version.is_none() && self.known.is_some());
        self.propose(expected, &merged.head, renewed)
    }

    /// Asks the peers which of two lines wins; a second call means that they could not decide.
    fn ask(&mut self, stored: Option<Stored>) -> Action {
        if self.reports.is_some() {
            return self.finish(Outcome::Refused(Refused::Undecided));
        }
        self.step = Step::Asking(stored);
        Action::AskPeers
    }

    fn on_head_reports(&mut self, stored: Option<Stored>, reports: HeadReports) -> Action {
        self.reports = Some(reports);
        self.reconcile(stored)
    }

    /// The outcome to report if the edit itself was dropped in the merge.
    fn outcome_if_dropped(&self, dropped: &[Dropped]) -> Option<Outcome> {
        let own = dropped
            .iter()
            .find(|dropped| Some(dropped.edit) == self.edit_id())?;
        let refused = Outcome::Refused(Refused::Dropped);
        Some(own.conflict.clone().map_or(refused, Outcome::Conflict))
    }

    /// Applies the edit to `base`, unless `base` has it already, and writes the resulting head.
    ///
    /// `renewed`: `base` differs from the platform's head, so it has to be written in any case.
    fn propose(&mut self, expected: Expected, base: &Head, renewed: bool) -> Action {
        let spilled = base.spill(&self.options.spill);
        let trimmed = spilled.as_ref().map_or(base, |(_, trimmed)| trimmed);
        let head = match self.apply_to(trimmed) {
            Ok(head) => head,
            Err(outcome) if renewed => {
                self.pending_outcome = Some(outcome);
                trimmed.clone()
            }
            Err(outcome) => return self.finish(outcome),
        };
        if !renewed && is_same(base, &head) {
            return self.replicate(Arc::new(base.clone()));
        }
        let bytes = head.to_bytes().len();
        if bytes > MAX_VALUE_BYTES {
            let err = edit::Error::HeadTooLarge { bytes };
            return self.finish(Outcome::Refused(Refused::Edit(err)));
        }
        let head = Arc::new(head);
        let proposal = Proposal { expected, head };
        let Some((block, _)) = spilled else {
            return self.swap(proposal);
        };
        self.step = Step::Keeping(proposal);
        Action::KeepAudit(block)
    }

    fn apply_to(&self, base: &Head) -> Result<Head, Outcome> {
        let Some(edit) = self
            .edit
            .as_ref()
            .filter(|_| self.pending_outcome.is_none())
        else {
            return Ok(base.clone());
        };
        if self.already_applied || base.find(edit.id).is_some() {
            return Ok(base.clone());
        }
        if base.has_dropped(edit.id) {
            return Err(Outcome::Refused(Refused::Dropped));
        }
        edit::apply(base, edit).map_err(|err| match err {
            edit::Error::Conflict(conflict) => Outcome::Conflict(conflict),
            err => Outcome::Refused(Refused::Edit(err)),
        })
    }

    fn swap(&mut self, proposal: Proposal) -> Action {
        self.step = Step::Swapping(proposal.clone());
        Action::Swap(proposal)
    }

    fn on_swapped(&mut self, proposal: Proposal, swapped: Swapped) -> Action {
        self.contended = swapped == Swapped::Conflict;
        match swapped {
            Swapped::Applied => {
                self.note_may_be_applied(&proposal.head);
                self.replicate(proposal.head)
            }
            Swapped::Unknown => {
                self.note_may_be_applied(&proposal.head);
                self.read()
            }
            Swapped::Conflict | Swapped::Failed => self.read(),
        }
    }

    fn note_may_be_applied(&mut self, head: &Head) {
        let Some(record) = self.edit_id().and_then(|id| head.find(id)) else {
            return;
        };
        self.may_be_applied = true;
        let earliest = self.search_from.unwrap_or(record.revision);
        self.search_from = Some(earliest.min(record.revision));
    }

    fn replicate(&mut self, head: Arc<Head>) -> Action {
        self.step = Step::Replicating(Arc::clone(&head));
        Action::Replicate(head)
    }

    fn on_replicated(&mut self, head: &Head, replicated: Replicated) -> Action {
        match replicated {
            Replicated::InForce => self.accept(head),
            Replicated::TooFewAnswers => self.finish_as(Outcome::StillUnknown),
            Replicated::Refused { by } => {
                self.known = Some(by);
                self.read()
            }
        }
    }

    fn accept(&mut self, head: &Head) -> Action {
        let id = self.edit_id();
        if let Some(outcome) = self.pending_outcome.take() {
            let dropped = id.is_some_and(|id| head.has_dropped(id));
            self.may_be_applied &= !dropped;
            return self.finish(outcome);
        }
        let record = id.and_then(|id| head.find(id));
        let revision = record.map_or(head.revision(), |record| record.revision);
        let line = head.line();
        self.finish_as(Outcome::Accepted { revision, line })
    }

    /// Ends with `outcome`, or with [`Outcome::StillUnknown`] if an earlier swap may have applied
    /// the edit.
    fn finish(&mut self, outcome: Outcome) -> Action {
        match self.may_be_applied {
            true => self.finish_as(Outcome::StillUnknown),
            false => self.finish_as(outcome),
        }
    }

    fn finish_as(&mut self, outcome: Outcome) -> Action {
        self.step = Step::Finished;
        Action::Finish(outcome)
    }

    fn edit_id(&self) -> Option<EditId> {
        self.edit.as_ref().map(|edit| edit.id)
    }
}

fn is_same(a: &Head, b: &Head) -> bool {
    a.lineage(b) == Lineage::Same
}
