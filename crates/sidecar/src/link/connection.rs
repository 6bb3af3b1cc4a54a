//! One connection to a peer and its pending requests.

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

/// How a request ended, and the owner's report where one came with it.
pub(super) type RequestEnd = (Outcome, Option<OwnerReport>);

/// A request whose outcome has not arrived.
#[derive(Debug)]
pub(super) struct Pending {
    pub(super) tx: oneshot::Sender<RequestEnd>,
    /// It must not run twice, so it stays pending when the peer stops sending.
    pub(super) keeps_waiting: bool,
    /// It was cancelled at the peer, and its outcome is still awaited.
    pub(super) is_recalled: bool,
}

/// One connection to a peer and its pending requests.
#[derive(Debug)]
pub(super) struct PeerConnection {
    tx: Sender,
    pub(super) pending: RefCell<HashMap<u64, Pending>>,
    watch: Cell<LinkWatch>,
}

impl PeerConnection {
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

    /// Checks the connection and pings a peer that sends nothing. Returns whether the connection
    /// is lost.
    pub(super) fn check(&self, now: Time) -> bool {
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

    pub(super) fn on_received(&self, now: Time) {
        let mut watch = self.watch.get();
        watch.on_received(now);
        self.watch.set(watch);
    }

    pub(super) fn complete(&self, ended: Ended) {
        let pending = self.pending.borrow_mut().remove(&ended.id);
        if let Some(pending) = pending {
            let report = OwnerReport::from_bits(ended.report);
            // The receiver is dropped if the request was cancelled meanwhile.
            let _ = pending.tx.send((Outcome::from_ended(ended), Some(report)));
        }
    }

    /// Fails the requests for which `is_affected` holds; they may have run.
    pub(super) fn fail_pending(&self, is_affected: impl Fn(&Pending) -> bool) {
        self.refuse_pending(Refusal::may_have_run(Reason::Lost), is_affected);
    }

    /// Ends all requests after `GoAway`: the peer has sent the outcomes of those that it read. A peer
    /// of an older build sends none of those that were recalled.
    pub(super) fn on_go_away(&self) {
        self.fail_pending(|it| it.is_recalled);
        self.refuse_pending(Refusal::not_run(Reason::Draining), |_| true);
    }

    fn refuse_pending(&self, refusal: Refusal, is_affected: impl Fn(&Pending) -> bool) {
        let refused: Vec<_> = self
            .pending
            .borrow_mut()
            .extract_if(|_, pending| is_affected(pending))
            .collect();
        for (_, pending) in refused {
            // The receiver is dropped if the request was cancelled meanwhile.
            let _ = pending.tx.send((Outcome::Refused(refusal), None));
        }
    }

    pub(super) fn is_idle(&self) -> bool {
        self.pending.borrow().is_empty()
    }
}
