//! Refused requests that are expected to come back.

use std::collections::{HashMap, VecDeque};

use cassiashunt_types::prelude::*;

/// How long a refused request is expected back at the longest, whatever time limit its client states.
const MAX_STAY: Duration = Duration::from_secs(10);
/// A place is kept for callers that wait for this part of the delay at least.
const MIN_OBEYED: f64 = 0.5;

/// What is expected back under one fingerprint. Equal requests of several callers share one.
#[derive(Debug, Clone, Copy)]
struct Expected {
    callers: u32,
    earliest: Time,
    expires: Time,
}

/// A bounded set of the fingerprints that were refused lately.
#[derive(Debug)]
pub struct Returns {
    max_len: usize,
    expected: HashMap<u64, Expected>,
    /// In the order of their first refusal.
    order: VecDeque<u64>,
}

impl Returns {
    /// An empty set that keeps `max_len` fingerprints at most.
    #[must_use]
    pub fn new(max_len: usize) -> Self {
        Self {
            max_len,
            expected: HashMap::new(),
            order: VecDeque::new(),
        }
    }

    /// Records that a caller was refused, and told to come back after `delay`; it gives up after `left`.
    /// Beyond the bound, nothing is recorded: that caller comes back as a newcomer.
    pub fn on_refusal(&mut self, now: Time, fingerprint: u64, delay: Duration, left: Duration) {
        self.expire(now);
        let earliest = now + delay.mul_f64(MIN_OBEYED);
        let expires = now + left.min(MAX_STAY);
        if let Some(expected) = self.expected.get_mut(&fingerprint) {
            expected.callers = expected.callers.saturating_add(1);
            expected.earliest = expected.earliest.min(earliest);
            expected.expires = expected.expires.max(expires);
        } else if self.order.len() < self.max_len {
            let expected = Expected {
                callers: 1,
                earliest,
                expires,
            };
            self.expected.insert(fingerprint, expected);
            self.order.push_back(fingerprint);
        }
    }

    /// Whether this request is one that was refused and comes back when told. Its place is used up.
    pub fn take(&mut self, now: Time, fingerprint: u64) -> bool {
        self.expire(now);
        let Some(expected) = self.expected.get_mut(&fingerprint) else {
            return false;
        };
        if now < expected.earliest || now >= expected.expires {
            return false;
        }
        expected.callers -= 1;
        if expected.callers == 0 {
            self.expected.remove(&fingerprint);
        }
        true
    }

    /// Fingerprints that are kept.
    #[must_use]
    pub fn len(&self) -> usize {
        self.order.len()
    }

    /// Whether none is kept.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.order.is_empty()
    }

    /// Drops what has expired or was taken, from the oldest on; all of it where the set is full.
    fn expire(&mut self, now: Time) {
        if self.order.len() >= self.max_len {
            let expected = &mut self.expected;
            expected.retain(|_, it| now < it.expires);
            self.order.retain(|it| expected.contains_key(it));
        }
        while let Some(oldest) = self.order.front() {
            match self.expected.get(oldest) {
                Some(expected) if now < expected.expires => return,
                Some(_) => {
                    self.expected.remove(oldest);
                }
                None => {}
            }
            self.order.pop_front();
        }
    }
}
