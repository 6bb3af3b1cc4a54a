//! Keepalive and loss detection for a connection to a peer.

use cassiashunt_types::prelude::*;

/// Consecutive pings without an answer after which the connection is lost.
const MAX_UNANSWERED_PINGS: u32 = 3;

/// Settings of a [`LinkWatch`].
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct LinkWatchOptions {
    /// The time without a message from the peer after which an answer is requested while requests wait
    /// for the peer.
    pub busy_ping_after: Duration,
    /// The same time while no requests wait.
    pub idle_ping_after: Duration,
    /// The time between two pings of this end, however often the peer sends messages.
    pub keepalive_interval: Duration,
    /// The longest time that a ping and its answer take when both ends are slow.
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
    /// Returns the time without a message after which the connection is lost: three answers were
    /// requested and none arrived.
    #[must_use]
    pub fn loss_timeout(&self, is_busy: bool) -> Duration {
        let first = if is_busy {
            self.busy_ping_after
        } else {
            self.idle_ping_after
        };
        first + (MAX_UNANSWERED_PINGS - 1) * self.busy_ping_after + self.max_round_trip
    }
}

/// What to do about a connection after a check.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkAction {
    /// Nothing is due.
    Nothing,
    /// Send a ping.
    Ping {
        /// Whether the peer has to answer. If `false`, the ping is only a keepalive.
        wants_answer: bool,
    },
    /// The peer has not answered several pings.
    Lost,
}

/// Monitors one connection at the dialling end. Loss is detected by this end's own pings, so it does
/// not depend on how often the peer sends other messages.
#[derive(Debug, Clone, Copy, Default)]
pub struct LinkWatch {
    opts: LinkWatchOptions,
    last_received: Time,
    /// When an answer was last requested. `unanswered` counts such pings since the last message.
    last_ping: Time,
    unanswered: u32,
    /// When the last ping of either kind was sent.
    last_sent: Time,
}

impl LinkWatch {
    /// Starts the watch for a connection that was opened at `now`.
    #[must_use]
    pub fn new(now: Time) -> Self {
        Self {
            last_received: now,
            last_ping: now,
            last_sent: now,
            ..Self::default()
        }
    }

    /// Records a message from the peer.
    pub fn on_received(&mut self, now: Time) {
        self.last_received = now;
        self.unanswered = 0;
    }

    /// Returns when the last message arrived, or when the connection was opened.
    #[must_use]
    pub fn last_received(&self) -> Time {
        self.last_received
    }

    /// Returns what is due at `now`, and records a ping as sent. Call several times a second.
    /// `is_busy` states whether requests wait for the peer.
    pub fn check(&mut self, now: Time, is_busy: bool) -> LinkAction {
        let since_received = now.since(self.last_received);
        let since_ping = now.since(self.last_ping);
        let due = if is_busy {
            self.opts.busy_ping_after
        } else {
            self.opts.idle_ping_after
        };
        // Pings are counted in addition to the elapsed time, since this end may have been paused.
        if self.unanswered >= MAX_UNANSWERED_PINGS && since_ping >= self.opts.max_round_trip {
            return LinkAction::Lost;
        }
        if since_received >= due
            && since_ping >= self.opts.busy_ping_after
            && self.unanswered < MAX_UNANSWERED_PINGS
        {
            self.last_ping = now;
            self.last_sent = now;
            self.unanswered += 1;
            return LinkAction::Ping { wants_answer: true };
        }
        if now.since(self.last_sent) >= self.opts.keepalive_interval {
            self.last_sent = now;
            return LinkAction::Ping {
                wants_answer: false,
            };
        }
        LinkAction::Nothing
    }
}
