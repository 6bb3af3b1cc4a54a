//! The requests running at one server, and those that ended there without an answer.

use std::{
    collections::{HashMap, VecDeque},
    hash::Hash,
};

use cassiashunt_types::prelude::*;

use crate::Fingerprint;

/// How long after a crash the node may still read answers that the server had sent before it.
const LATE_ANSWER_MARGIN: Duration = Duration::from_millis(50);
/// How long after a request was lost the crash of its server may still be detected. A restarted
/// server reports itself within seconds.
const UNANSWERED_RETENTION: Duration = Duration::from_secs(10);
/// Bounds the retained requests without an answer; the oldest is evicted first.
const MAX_UNANSWERED: usize = 1_024;

/// The requests that get a strike if the server crashes.
///
/// An answer shows that the server has been running since the answered request was sent, so
/// requests lost since then did not crash it. It clears no request lost before that: a restarted
/// server may have sent the answer.
#[derive(Debug)]
pub struct InFlight<K> {
    running: HashMap<K, (Fingerprint, Time)>,
    /// Requests that ended without an answer, and when they ended.
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
    /// Records that a request was sent to the server.
    pub fn on_sent(&mut self, now: Time, key: K, fingerprint: Fingerprint) {
        self.running.insert(key, (fingerprint, now));
    }

    /// Records that the server answered a request, with any status. Returns the request's
    /// fingerprint and when it was sent, or `None` if the request is not running.
    pub fn on_answered(&mut self, now: Time, key: &K) -> Option<(Fingerprint, Time)> {
        let answered = self.running.remove(key);
        if let Some((_, sent)) = answered {
            let proven_alive = sent..=now.before(LATE_ANSWER_MARGIN);
            self.unanswered
                .retain(|(_, ended)| !proven_alive.contains(ended));
        }
        answered
    }

    /// Records that a request failed, was cancelled, or timed out without an answer.
    pub fn on_unanswered(&mut self, now: Time, key: &K) {
        if let Some((fingerprint, _)) = self.running.remove(key) {
            if self.unanswered.len() >= MAX_UNANSWERED {
                self.unanswered.pop_front();
            }
            self.unanswered.push_back((fingerprint, now));
        }
    }

    /// Records that a request did not reach the server.
    pub fn on_not_sent(&mut self, key: &K) {
        self.running.remove(key);
    }

    /// Whether the server may have crashed: a request ended without an answer, and no request sent
    /// before that is still running.
    #[must_use]
    pub fn is_in_doubt(&self) -> bool {
        let last_lost = self.unanswered.back();
        last_lost.is_some_and(|(_, ended)| self.running.values().all(|(_, sent)| sent > ended))
    }

    /// Records that the server crashed. Returns the requests that were in flight or recently ended
    /// without an answer, and removes them.
    pub fn on_server_crash(&mut self, now: Time) -> Vec<Fingerprint> {
        let retained_from = now.before(UNANSWERED_RETENTION);
        self.unanswered.retain(|(_, ended)| *ended >= retained_from);
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
