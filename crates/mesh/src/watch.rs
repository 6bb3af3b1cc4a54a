//! Whether the peer at the other end of a connection is still there.

use cassiashunt_types::prelude::*;

/// Questions without an answer after which a peer counts as lost.
const QUESTIONS: u32 = 3;

/// Settings of the watch over one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkWatchOptions {
    /// The silence after which a word is asked for while requests wait.
    pub busy_ping_after: Duration,
    /// The same where nothing waits.
    pub idle_ping_after: Duration,
    /// The time between two signs of life of this end, however much the peer says.
    pub keepalive_interval: Duration,
    /// The longest time that a word and its answer take, with both ends slow.
    pub max_round_trip: Duration,
}

impl Default for LinkWatchOptions {
    fn default() -> Self {
        Self {
            busy_ping_after: Duration::from_millis(400),
            idle_ping_after: Duration::from_secs(1),
            keepalive_interval: Duration::from_secs(1),
            max_round_trip: Duration::from_millis(300),
        }
    }
}

impl LinkWatchOptions {
    /// The silence after which a connection counts as lost: three words were asked for and none
    /// came.
    #[must_use]
    pub fn loss_timeout(&self, is_busy: bool) -> Duration {
        let first = if is_busy {
            self.busy_ping_after
        } else {
            self.idle_ping_after
        };
        first + (QUESTIONS - 1) * self.busy_ping_after + self.max_round_trip
    }
}

/// What is to be done about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// Nothing.
    Nothing,
    /// Give a sign of life, and ask for one where `wants_answer`.
    Ping {
        /// Whether the peer is to answer.
        wants_answer: bool,
    },
    /// The peer has said nothing although it was asked to.
    Lost,
}

/// The watch of the dialling end over one connection. What it takes for silence follows from its own
/// questions, so it does not depend on how much else the peer tells, or how seldom.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkWatch {
    opts: LinkWatchOptions,
    heard: Time,
    /// When a word was asked for last, and how many of these questions in a row had no answer.
    asked: Time,
    unanswered: u32,
    signed: Time,
}

impl LinkWatch {
    /// A connection that was opened at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            heard: now,
            asked: now,
            signed: now,
            ..Self::default()
        }
    }

    /// Takes in that the peer said something.
    pub fn on_received(&mut self, now: Time) {
        self.heard = now;
        self.unanswered = 0;
    }

    /// When the peer said something last, or the connection was opened.
    #[must_use]
    pub fn last_received(&self) -> Time {
        self.heard
    }

    /// Decides what is due at `now`; to be called several times a second. `is_busy` where requests
    /// wait for the peer.
    pub fn check(&mut self, now: Time, is_busy: bool) -> LinkAction {
        let silent = now.since(self.heard);
        let asked = now.since(self.asked);
        let due = if is_busy {
            self.opts.busy_ping_after
        } else {
            self.opts.idle_ping_after
        };
        // Questions are counted beside the time, since this end may have been paused.
        if self.unanswered >= QUESTIONS && asked >= self.opts.max_round_trip {
            return LinkAction::Lost;
        }
        if silent >= due && asked >= self.opts.busy_ping_after && self.unanswered < QUESTIONS {
            self.asked = now;
            self.signed = now;
            self.unanswered += 1;
            return LinkAction::Ping { wants_answer: true };
        }
        if now.since(self.signed) >= self.opts.keepalive_interval {
            self.signed = now;
            return LinkAction::Ping {
                wants_answer: false,
            };
        }
        LinkAction::Nothing
    }
}
