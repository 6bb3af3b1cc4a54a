//! One connection to a peer, and the requests on it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use cassiashunt_mesh::{LinkAction, LinkWatch};
use cassiashunt_route::OwnerReport;
use cassiashunt_types::prelude::*;
use tokio::sync::oneshot;

use super::{Frame, Kind, Outcome, frame::Ended, socket::Sender};
use crate::clock;

/// How a request ended, and the owner's report where it came with it.
pub(super) type Ending = (Outcome, Option<OwnerReport>);

/// A request that waits for its ending.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) tx: oneshot::Sender<Ending>,
    /// It may not run again, so it waits on for a peer that says nothing.
    pub(super) is_patient: bool,
}

/// One connection and the requests on it.
#[derive(Debug)]
pub(super) struct Connected {
    tx: Sender,
    pub(super) pending: RefCell<HashMap<u64, Pending>>,
    watch: Cell<LinkWatch>,
}

impl Connected {
    pub(super) fn new(tx: Sender) -> Self {
        Self {
            tx,
            pending: RefCell::default(),
            watch: Cell::new(LinkWatch::new(clock::now())),
        }
    }

    pub(super) fn send(&self, kind: Kind) -> bool {
        self.tx.try_send(Frame::from(kind)).is_ok()
    }

    /// Looks at the connection: asks for a word where the peer says nothing. Whether it is lost.
    pub(super) fn look(&self, now: Time) -> bool {
        let mut watch = self.watch.get();
        let step = watch.check(now, !self.is_idle());
        self.watch.set(watch);
        match step {
            LinkAction::Nothing => false,
            LinkAction::Ping { wants_answer } => {
                self.send(Kind::Ping(wants_answer));
                false
            }
            LinkAction::Lost => true,
        }
    }

    pub(super) fn on_heard(&self, now: Time) {
        let mut watch = self.watch.get();
        watch.on_received(now);
        self.watch.set(watch);
    }

    pub(super) fn end(&self, ended: Ended) {
        let pending = self.pending.borrow_mut().remove(&ended.id);
        if let Some(pending) = pending {
            let report = OwnerReport::from_bits(ended.report);
            // Nobody waits where the request was given up at this moment.
            let _ = pending.tx.send((Outcome::from_ended(ended), Some(report)));
        }
    }

    /// Gives requests up that `is_lost` names; they may have run.
    pub(super) fn lose(&self, is_lost: impl Fn(&Pending) -> bool) {
        let lost: Vec<_> = self
            .pending
            .borrow_mut()
            .extract_if(|_, pending| is_lost(pending))
            .collect();
        for (_, pending) in lost {
            let outcome = Outcome::Refused(Refusal::may_have_run(Reason::Lost));
            // Nobody waits where the request was given up at this moment.
            let _ = pending.tx.send((outcome, None));
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty()
    }
}
