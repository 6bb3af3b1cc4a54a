//! Whether the peer at the other end of a connection is still there.

use cassiashunt_types::prelude::*;

/// Questions without an answer after which a peer counts as lost.
const QUESTIONS: u32 = 3;

/// Settings of the watch over one connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct WatchOptions {
    /// The silence after which a word is asked for while requests wait.
    pub ask_busy: Duration,
    /// The same where nothing waits.
    pub ask_idle: Duration,
    /// The time between two signs of life of this end, however much the peer says.
    pub sign_every: Duration,
    /// The longest time that a word and its answer take, with both ends slow.
    pub hop: Duration,
}

impl Default for WatchOptions {
    fn default() -> Self {
        Self {
            ask_busy: Duration::from_millis(400),
            ask_idle: Duration::from_secs(1),
            sign_every: Duration::from_secs(1),
            hop: Duration::from_millis(300),
        }
    }
}

impl WatchOptions {
    /// The silence after which a connection counts as lost: three words were asked for and none
    /// came.
    #[must_use]
    pub fn silence(&self, is_busy: bool) -> Duration {
        let first = if is_busy {
            self.ask_busy
        } else {
            self.ask_idle
        };
        first + (QUESTIONS - 1) * self.ask_busy + self.hop
    }
}

/// What is to be done about a connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Watched {
    /// Nothing.
    Quiet,
    /// Give a sign of life, and ask for one where `wants_word`.
    Ping {
        /// Whether the peer is to answer.
        wants_word: bool,
    },
    /// The peer has said nothing although it was asked to.
    Lost,
}

/// The watch of the dialling end over one connection. What it takes for silence follows from its own
/// questions, so it does not depend on how much else the peer tells, or how seldom.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkWatch {
    opts: WatchOptions,
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
    pub fn on_heard(&mut self, now: Time) {
        self.heard = now;
        self.unanswered = 0;
    }

    /// When the peer said something last, or the connection was opened.
    #[must_use]
    pub fn heard(&self) -> Time {
        self.heard
    }

    /// Decides what is due at `now`; to be called several times a second. `is_busy` where requests
    /// wait for the peer.
    pub fn look(&mut self, now: Time, is_busy: bool) -> Watched {
        let silent = now.since(self.heard);
        let asked = now.since(self.asked);
        let due = if is_busy {
            self.opts.ask_busy
        } else {
            self.opts.ask_idle
        };
        // Questions are counted beside the time, since this end may have been paused.
        if self.unanswered >= QUESTIONS && asked >= self.opts.hop {
            return Watched::Lost;
        }
        if silent >= due && asked >= self.opts.ask_busy && self.unanswered < QUESTIONS {
            self.asked = now;
            self.signed = now;
            self.unanswered += 1;
            return Watched::Ping { wants_word: true };
        }
        if now.since(self.signed) >= self.opts.sign_every {
            self.signed = now;
            return Watched::Ping { wants_word: false };
        }
        Watched::Quiet
    }
}
