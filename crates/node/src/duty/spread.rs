//! Changes on their way to being accepted.

use std::{sync::mpsc::SyncSender, time::Duration};

use cassiashunt_control::{Acceptance, ChangeAction, Control, Outcome, msg::Applied};
use cassiashunt_types::prelude::*;

/// How long a change is made known before its asker is left without an answer.
const PATIENCE: Duration = Duration::from_secs(10);

struct Pending {
    accept: Acceptance,
    done: SyncSender<()>,
    until: Time,
}

/// Table changes that are durable and not yet accepted.
#[derive(Default)]
pub(super) struct Spreading {
    pending: Vec<Pending>,
}

impl Spreading {
    /// Begins with a durable table revision.
    pub(super) fn begin(
        &mut self,
        now: Time,
        domain: FailureDomain,
        revision: Revision,
        control: &Control,
        done: SyncSender<()>,
    ) -> Vec<ChangeAction> {
        let mut accept = Acceptance::table(domain, revision, control);
        let asks = accept.on_durable(now);
        self.pending.push(Pending {
            accept,
            done,
            until: now + PATIENCE,
        });
        asks
    }

    /// The platform holds this control value, read after every change here was durable.
    pub(super) fn control_read(&mut self, now: Time, control: &Control) -> Vec<ChangeAction> {
        self.each(now, |pending| pending.accept.on_control_read(now, control))
    }

    /// A relay told what it has applied.
    pub(super) fn relay_applied(&mut self, now: Time, applied: &Applied) -> Vec<ChangeAction> {
        self.each(now, |pending| pending.accept.on_relay_applied(applied))
    }

    pub(super) fn tick(&mut self, now: Time) -> Vec<ChangeAction> {
        self.each(now, |pending| pending.accept.tick(now))
    }

    fn each(
        &mut self,
        now: Time,
        mut step: impl FnMut(&mut Pending) -> Vec<ChangeAction>,
    ) -> Vec<ChangeAction> {
        let asks = self.pending.iter_mut().flat_map(&mut step).collect();
        self.pending.retain(|pending| {
            let accepted = pending.accept.outcome() == Outcome::Accepted;
            if accepted && pending.done.try_send(()).is_err() {
                log::warn!(event = "edit-asker-gone"; "");
            }
            !accepted && now < pending.until
        });
        asks
    }
}
