//! The state machine of a commit.

use std::sync::Arc;

use cassiashunt_platform::{MAX_VALUE_BYTES, swap::Expected};
use cassiashunt_types::Revision;

use super::{
    Action, Event, HeadReports, Options, Outcome, Proposal, Refused, Replicated, Stored, Swapped,
    lines::Lines,
};
use crate::{Dropped, Edit, EditId, Head, Lineage, Record, edit};

/// What the machine waits for.
#[derive(Debug, Clone)]
enum Step {
    /// The platform's head.
    Reading,
    /// The audit records, to look for the edit.
    Searching(Option<Stored>),
    /// The peers' word on two lines of history.
    Asking(Option<Stored>),
    /// An audit value, which has to be there before its records leave the head.
    Keeping(Proposal),
    /// A compare-and-swap.
    Swapping(Proposal),
    /// The peers' word on a durable head.
    Spreading(Arc<Head>),
    /// Nothing.
    Finished,
}

/// An edit on its way into the platform.
#[derive(Debug, Clone)]
pub struct Commit {
    options: Options,
    edit: Option<Edit>,
    /// The newest head known here or by the peers.
    known: Option<Arc<Head>>,
    /// What the peers hold, where they were asked.
    held: Option<HeadReports>,
    /// Whether a swap of the edit may have taken effect.
    sent: bool,
    /// The oldest revision that the edit may have made.
    search_from: Option<Revision>,
    /// Whether the head to build on holds the edit already.
    landed: bool,
    /// Whether the last swap lost against another one.
    contended: bool,
    /// What to report once a head without the edit is written.
    verdict: Option<Outcome>,
    reads: u32,
    step: Step,
}

impl Commit {
    /// Starts to commit `edit`.
    ///
    /// `known` is the newest head known here or by the peers. Where the platform turns out to be
    /// behind it, it is installed again along with the edit.
    pub fn start(edit: Edit, known: Option<Arc<Head>>, options: Options) -> (Self, Action) {
        Self::begin(Some(edit), known, options)
    }

    /// Starts to install `known` again where the platform is behind it or lacks one of its edits.
    pub fn start_reinstall(known: Arc<Head>, options: Options) -> (Self, Action) {
        Self::begin(None, Some(known), options)
    }

    fn begin(edit: Option<Edit>, known: Option<Arc<Head>>, options: Options) -> (Self, Action) {
        let mut commit = Self {
            options,
            edit,
            known,
            held: None,
            sent: false,
            search_from: options.repeated.then_some(Revision(0)),
            landed: false,
            contended: false,
            verdict: None,
            reads: 0,
            step: Step::Reading,
        };
        let action = commit.read();
        (commit, action)
    }

    /// Takes what came of the last action and says what to do next.
    ///
    /// An event that does not belong to the last action is answered by the outcome so far.
    pub fn on(&mut self, event: Event) -> Action {
        let step = std::mem::replace(&mut self.step, Step::Finished);
        match (step, event) {
            (Step::Reading, Event::Read(stored)) => self.on_read(stored),
            (Step::Reading, Event::ReadFailed) => self.read(),
            (Step::Reading, Event::Unreadable { detail }) => {
                self.finish(Outcome::Refused(Refused::Unreadable { detail }))
            }
            (Step::Searching(stored), Event::Audit(records)) => self.on_audit(stored, &records),
            (Step::Asking(stored), Event::HeadReports(held)) => self.on_held(stored, held),
            (Step::Keeping(proposal), Event::AuditKept) => self.swap(proposal),
            (Step::Searching(_) | Step::Keeping(_), Event::AuditFailed) => self.read(),
            (Step::Swapping(proposal), Event::Swapped(swapped)) => {
                self.on_swapped(proposal, swapped)
            }
            (Step::Spreading(head), Event::Replicated(spread)) => self.on_spread(&head, spread),
            _ => self.finish(Outcome::StillUnknown),
        }
    }

    fn read(&mut self) -> Action {
        self.verdict = None;
        self.landed = false;
        self.held = None;
        if self.reads == self.options.reads {
            return self.give_up();
        }
        let wait = self.options.wait(self.reads);
        self.reads += 1;
        self.step = Step::Reading;
        Action::Read { wait }
    }

    fn give_up(&mut self) -> Action {
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

    /// The platform's head, where it holds the edit already.
    fn holder_of_edit(&self, stored: Option<&Stored>) -> Option<Arc<Head>> {
        let stored = stored?;
        stored.head.find(self.edit_id()?)?;
        Some(Arc::clone(&stored.head))
    }

    /// Goes on with an edit that the platform holds, unless the peers know of more.
    fn resume(&mut self, stored: Option<Stored>, head: &Arc<Head>) -> Action {
        match self.known.as_ref().map(|known| known.lineage(head)) {
            None | Some(Lineage::Same | Lineage::Ahead) => self.spread(Arc::clone(head)),
            Some(Lineage::Behind) => {
                self.landed = true;
                self.reconcile(stored)
            }
            Some(Lineage::Forked) => self.reconcile(stored),
        }
    }

    /// The search for the edit in the audit records, where it may have left the head.
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

    /// Finds the head to build on.
    fn reconcile(&mut self, stored: Option<Stored>) -> Action {
        let lines = Lines {
            known: self.known.as_ref(),
            stored: stored.as_ref().map(|stored| &stored.head),
            held: self.held.as_ref(),
            prefer_platform: self.options.prefer_platform,
        };
        let Some(joined) = lines.join() else {
            return self.ask(stored);
        };
        self.verdict = self.verdict_of(&joined.dropped);
        let version = stored.as_ref().map(|stored| stored.version);
        let expected = version.map_or(Expected::Absent, Expected::At);
        let renewed = stored.is_some_and(|stored| !same(&stored.head, &joined.head))
            || (version.is_none() && self.known.is_some());
        self.propose(expected, &joined.head, renewed)
    }

    /// Asks the peers which of two lines gives way; once asked, they have left it undecided.
    fn ask(&mut self, stored: Option<Stored>) -> Action {
        if self.held.is_some() {
            return self.finish(Outcome::Refused(Refused::Undecided));
        }
        self.step = Step::Asking(stored);
        Action::AskPeers
    }

    fn on_held(&mut self, stored: Option<Stored>, held: HeadReports) -> Action {
        self.held = Some(held);
        self.reconcile(stored)
    }

    /// What to report where the edit itself could not be kept.
    fn verdict_of(&self, dropped: &[Dropped]) -> Option<Outcome> {
        let own = dropped
            .iter()
            .find(|dropped| Some(dropped.edit) == self.edit_id())?;
        let refused = Outcome::Refused(Refused::Dropped);
        Some(own.conflict.clone().map_or(refused, Outcome::Conflict))
    }

    /// Applies the edit to `base`, unless it holds it already, and writes the outcome.
    ///
    /// `renewed` says that `base` itself has to be written.
    fn propose(&mut self, expected: Expected, base: &Head, renewed: bool) -> Action {
        let spilled = base.spill(&self.options.spill);
        let trimmed = spilled.as_ref().map_or(base, |(_, rest)| rest);
        let head = match self.apply_to(trimmed) {
            Ok(head) => head,
            Err(outcome) if renewed => {
                self.verdict = Some(outcome);
                trimmed.clone()
            }
            Err(outcome) => return self.finish(outcome),
        };
        if !renewed && same(base, &head) {
            return self.spread(Arc::new(base.clone()));
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
        let Some(edit) = self.edit.as_ref().filter(|_| self.verdict.is_none()) else {
            return Ok(base.clone());
        };
        if self.landed || base.find(edit.id).is_some() {
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
                self.note_sent(&proposal.head);
                self.spread(proposal.head)
            }
            Swapped::Unknown => {
                self.note_sent(&proposal.head);
                self.read()
            }
            Swapped::Conflict | Swapped::Failed => self.read(),
        }
    }

    fn note_sent(&mut self, head: &Head) {
        let Some(record) = self.edit_id().and_then(|id| head.find(id)) else {
            return;
        };
        self.sent = true;
        let earliest = self.search_from.unwrap_or(record.revision);
        self.search_from = Some(earliest.min(record.revision));
    }

    fn spread(&mut self, head: Arc<Head>) -> Action {
        self.step = Step::Spreading(Arc::clone(&head));
        Action::Replicate(head)
    }

    fn on_spread(&mut self, head: &Head, spread: Replicated) -> Action {
        match spread {
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
        if let Some(verdict) = self.verdict.take() {
            let dropped = id.is_some_and(|id| head.has_dropped(id));
            self.sent &= !dropped;
            return self.finish(verdict);
        }
        let record = id.and_then(|id| head.find(id));
        let revision = record.map_or(head.revision(), |record| record.revision);
        let line = head.line();
        self.finish_as(Outcome::Accepted { revision, line })
    }

    /// Ends with `outcome`, unless the edit may have taken effect by an earlier swap.
    fn finish(&mut self, outcome: Outcome) -> Action {
        match self.sent {
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

fn same(one: &Head, other: &Head) -> bool {
    one.lineage(other) == Lineage::Same
}
