//! Requests under which servers ended: what this node knows of them, and which peers it told.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use cassiashunt_suspect::{
    Death, Decision, Fingerprint, Suspects,
    message::{News, StrikeNews},
    suspects::Options,
};
use cassiashunt_types::prelude::*;

/// Deaths after which a request no longer runs beside other such requests.
const SUSPECT_AFTER: u32 = 2;
/// Deaths after which a request is refused, where it was the only suspect in one of them.
const REFUSE_AFTER: u32 = 3;
/// Requests with strikes that are kept and told in one message.
const MAX_SUSPECTS: usize = 1_024;
/// The time after which a peer that still knows something else is told again.
const TELL_AGAIN: Duration = Duration::from_secs(1);

/// What this node knows of requests under which servers ended.
pub(crate) struct Suspicion {
    suspects: RefCell<Suspects>,
    /// Deaths of the server beside this node.
    deaths: Cell<u32>,
    /// What each peer was told last.
    told: RefCell<HashMap<String, Told>>,
}

/// What a peer was told.
struct Told {
    at: Time,
    /// The digests of what this node and the peer knew.
    digests: (u64, u64),
}

impl Default for Suspicion {
    fn default() -> Self {
        let options = Options {
            max_strikes: 1,
            suspect_after: SUSPECT_AFTER,
            refuse_after: REFUSE_AFTER,
            max_news: MAX_SUSPECTS,
            max_suspects: MAX_SUSPECTS,
            ..Options::default()
        };
        Self {
            suspects: RefCell::new(Suspects::new(options)),
            deaths: Cell::new(0),
            told: RefCell::default(),
        }
    }
}

impl Suspicion {
    /// Whether a request may run.
    pub(crate) fn check(&self, now: Time, fingerprint: Fingerprint) -> Decision {
        self.suspects.borrow().check(now, fingerprint)
    }

    /// How many deaths count against a request.
    pub(crate) fn strikes(&self, now: Time, fingerprint: Fingerprint) -> usize {
        self.suspects.borrow().strikes(now, fingerprint)
    }

    /// Takes in that the server beside this node died with these requests in flight.
    pub(crate) fn on_died(&self, now: Time, owner: NodeId, in_flight: &[Fingerprint]) {
        let number = self.deaths.get() + 1;
        self.deaths.set(number);
        let death = Death { owner, number };
        let mut suspects = self.suspects.borrow_mut();
        suspects.on_shared_server_died(now, death, in_flight);
    }

    /// Takes in that a run of a request finished. Whether that clears it of strikes.
    pub(crate) fn on_finished(&self, fingerprint: Fingerprint, began: Time) -> bool {
        self.suspects.borrow_mut().on_finished(fingerprint, began)
    }

    /// A digest of all strikes that are known here; zero for none.
    pub(crate) fn digest(&self, now: Time) -> u64 {
        self.suspects.borrow_mut().digest(now)
    }

    /// What a peer is to be told that knows the strikes with this digest; nothing where it knows the
    /// same, or was told just now.
    pub(crate) fn news_for(&self, now: Time, peer: &str, known: u64) -> Option<News> {
        let digests = (self.digest(now), known);
        if digests.0 == known {
            return None;
        }
        let mut told = self.told.borrow_mut();
        told.retain(|_, it| now.since(it.at) < TELL_AGAIN);
        if told.get(peer).is_some_and(|it| it.digests == digests) {
            return None;
        }
        told.insert(peer.to_owned(), Told { at: now, digests });
        Some(self.suspects.borrow_mut().news(now))
    }

    /// Takes in what a peer knows. Whether any of it is new.
    pub(crate) fn merge(&self, now: Time, news: &News) -> bool {
        let before = self.digest(now);
        self.suspects.borrow_mut().merge(now, news);
        self.digest(now) != before
    }

    /// The strikes to be remembered over a restart of all nodes.
    pub(crate) fn summary(&self, now: Time) -> Vec<StrikeNews> {
        self.suspects.borrow().suspected(now)
    }
}
