//! Strikes: which requests were in flight when servers crashed, and which strikes peers were sent.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use cassiashunt_suspect::{
    Crash, Decision, Fingerprint, Suspects,
    message::{StrikeRecord, StrikeUpdate},
    suspects::Options,
};
use cassiashunt_types::prelude::*;

/// The number of crashes from which a request no longer runs beside other suspects.
const SUSPECT_AFTER_CRASHES: u32 = 2;
/// The number of crashes from which a request is refused, if it was the only suspect in one of
/// them.
const REFUSE_AFTER_CRASHES: u32 = 3;
/// The most requests with strikes that are kept and sent in one message.
const MAX_SUSPECTS: usize = 1_024;
/// The time after which strikes are resent to a peer whose digest still differs, and in which a peer
/// is sent at most `MAX_SUSPECTS` strikes.
const RESEND_INTERVAL: Duration = Duration::from_secs(1);

/// The strikes that this node knows.
pub(crate) struct Suspicion {
    suspects: RefCell<Suspects>,
    /// Crashes of the server beside this node.
    crashes: Cell<u32>,
    /// The last strikes sent to each peer.
    sent: RefCell<HashMap<String, SentStrikes>>,
}

/// A message with strikes that was sent to a peer.
struct SentStrikes {
    at: Time,
    /// The digests of this node and of the peer at that time.
    digests: (u64, u64),
    /// The number of strikes in the message.
    strikes: usize,
}

impl SentStrikes {
    /// When the next message may follow, if the digests are `digests` by then. After a long message
    /// it has to wait even where they changed: they change all the time while servers crash, and
    /// messages would fill the queue of a peer that reads slowly.
    fn next_at(&self, digests: (u64, u64)) -> Time {
        if digests == self.digests {
            return self.at + RESEND_INTERVAL;
        }
        self.at + RESEND_INTERVAL.mul_f64(self.strikes as f64 / MAX_SUSPECTS as f64)
    }
}

impl Default for Suspicion {
    fn default() -> Self {
        let options = Options {
            max_strikes: 1,
            suspect_after: SUSPECT_AFTER_CRASHES,
            refuse_after: REFUSE_AFTER_CRASHES,
            max_news: MAX_SUSPECTS,
            max_suspects: MAX_SUSPECTS,
            ..Options::default()
        };
        Self {
            suspects: RefCell::new(Suspects::new(options)),
            crashes: Cell::new(0),
            sent: RefCell::default(),
        }
    }
}

impl Suspicion {
    /// Whether a request may run.
    pub(crate) fn check(&self, now: Time, fingerprint: Fingerprint) -> Decision {
        self.suspects.borrow().check(now, fingerprint)
    }

    /// The number of strikes against a request.
    pub(crate) fn strike_count(&self, now: Time, fingerprint: Fingerprint) -> usize {
        self.suspects.borrow().strike_count(now, fingerprint)
    }

    /// Records that this node's server crashed with these requests in flight.
    pub(crate) fn on_server_crash(&self, now: Time, owner: NodeId, in_flight: &[Fingerprint]) {
        let number = self.crashes.get() + 1;
        self.crashes.set(number);
        let crash = Crash { owner, number };
        let mut suspects = self.suspects.borrow_mut();
        suspects.on_shared_server_crash(now, crash, in_flight);
    }

    /// Records that a run of a request finished. Returns whether that clears it of strikes.
    pub(crate) fn on_finished(&self, fingerprint: Fingerprint, began: Time) -> bool {
        self.suspects.borrow_mut().on_finished(fingerprint, began)
    }

    /// A digest of all strikes that this node knows; zero for none.
    pub(crate) fn digest(&self, now: Time) -> u64 {
        self.suspects.borrow_mut().digest(now)
    }

    /// The strikes to send to a peer whose digest is `known`; `None` where it knows the same
    /// strikes or was sent strikes too recently.
    pub(crate) fn strikes_for(&self, now: Time, peer: &str, known: u64) -> Option<StrikeUpdate> {
        let digests = (self.digest(now), known);
        if digests.0 == known {
            return None;
        }
        let mut sent = self.sent.borrow_mut();
        sent.retain(|_, it| now.since(it.at) < RESEND_INTERVAL);
        if sent.get(peer).is_some_and(|it| now < it.next_at(digests)) {
            return None;
        }
        let update = self.suspects.borrow_mut().next_update(now);
        let message = SentStrikes {
            at: now,
            digests,
            strikes: update.strikes.len(),
        };
        sent.insert(peer.to_owned(), message);
        Some(update)
    }

    /// Merges the strikes of a peer. Returns whether any of them was new.
    pub(crate) fn merge(&self, now: Time, update: &StrikeUpdate) -> bool {
        let before = self.digest(now);
        self.suspects.borrow_mut().merge(now, update);
        self.digest(now) != before
    }

    /// The strikes against suspects, to persist across a restart of all nodes.
    pub(crate) fn suspected(&self, now: Time) -> Vec<StrikeRecord> {
        self.suspects.borrow().suspected(now)
    }
}
