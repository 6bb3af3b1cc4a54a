//! What runs at one server, and what ended there without an answer.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use cassiashunt_types::prelude::*;

use crate::Fingerprint;

/// Answers that were under way when the server died may be read for so long after.
const READ_AFTER_DEATH: Duration = Duration::from_millis(50);
/// How long after a request was lost its server's death may still be found: servers are back, and
/// tell so, within seconds.
const EVIDENCE: Duration = Duration::from_secs(10);
/// Requests without an answer that are kept; the oldest goes first.
const MAX_UNANSWERED: usize = 1_024;

/// The requests that a server's death would be held against. An answer shows that the server lived
/// on since its request was sent, and so that what was lost meanwhile did not kill it. An answer to a
/// later request may come from another start of the server.
#[derive(Debug)]
pub struct InFlight<K> {
    running: HashMap<K, (Fingerprint, Time)>,
    /// Those that ended without an answer, and when.
    unanswered: VecDeque<(Fingerprint, Time)>,
}

impl<K> Default for InFlight<K> {
    fn default() -> Self {
        Self {
            running: HashMap::new(),
            unanswered: VecDeque::new(),
        }
    }
}

impl<K: Eq + Hash> InFlight<K> {
    /// Takes in that a request is sent to the server.
    pub fn on_sent(&mut self, now: Time, key: K, fingerprint: Fingerprint) {
        self.running.insert(key, (fingerprint, now));
    }

    /// Takes in that the server answered a request, with whatever status. Returns the request, and
    /// when it was sent.
    pub fn on_answered(&mut self, now: Time, key: &K) -> Option<(Fingerprint, Time)> {
        let answered = self.running.remove(key);
        if let Some((_, sent)) = answered {
            let alive = sent..=now.before(READ_AFTER_DEATH);
            self.unanswered.retain(|(_, ended)| !alive.contains(ended));
        }
        answered
    }

    /// Takes in that a request was lost, given up, or not answered in time.
    pub fn on_unanswered(&mut self, now: Time, key: &K) {
        if let Some((fingerprint, _)) = self.running.remove(key) {
            if self.unanswered.len() >= MAX_UNANSWERED {
                self.unanswered.pop_front();
            }
            self.unanswered.push_back((fingerprint, now));
        }
    }

    /// Takes in that a request never reached the server.
    pub fn on_not_sent(&mut self, key: &K) {
        self.running.remove(key);
    }

    /// Whether the server may have died: a request ended without an answer, and none that was sent
    /// before is still running there.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        let last = self.unanswered.back();
        last.is_some_and(|(_, ended)| self.running.values().all(|(_, sent)| sent > ended))
    }

    /// Takes in that the server died, and returns what was in flight there.
    pub fn on_server_crash(&mut self, now: Time) -> Vec<Fingerprint> {
        let outdated = now.before(EVIDENCE);
        self.unanswered.retain(|(_, ended)| *ended >= outdated);
        let running = self
            .running
            .drain()
            .map(|(_, (fingerprint, _))| fingerprint);
        let unanswered = self
            .unanswered
            .drain(..)
            .map(|(fingerprint, _)| fingerprint);
        let mut in_flight: Vec<_> = running.chain(unanswered).collect();
        in_flight.sort_unstable();
        in_flight.dedup();
        in_flight
    }
}
