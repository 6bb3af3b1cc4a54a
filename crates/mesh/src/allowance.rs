//! Token bucket for one workspace's rate and burst, shared by all nodes without consensus.
//!
//! Each of `n` live nodes owns the share `1 / n` of the rate and burst. So that no tokens lie unused
//! at a node without requests, each node delegates its share to the workspace's *home*, renews this
//! short delegation repeatedly, and requests tokens from the home. A share produces tokens at one
//! place at a time: at the home while the delegation is valid, and at its owner after the delegation
//! has expired or the owner has lost the home. Tokens that were handed over expire, and count against
//! the home's burst until then, so that the tokens held by nodes do not form a second burst.
//!
//! The sum over all nodes stays within `burst + rate * t` through partitions, crashes and pauses, with
//! one exception: an owner that has lost the home produces tokens again while the home still does,
//! for up to one delegation period. The excess that the operators permit covers this.

use std::collections::{HashMap, VecDeque};

use cassiashunt_types::prelude::*;

/// How long a delegation is valid at the home. It is short because it bounds the tokens produced
/// twice when links fail.
pub const DELEGATION_TTL: Duration = Duration::from_millis(900);

/// How long tokens that were handed over may be spent. This is a little longer than the time for
/// which nodes request tokens in advance.
const HELD_TOKEN_TTL: Duration = Duration::from_millis(300);
/// How much longer the home counts tokens that it handed over, since they arrive later than they
/// were sent.
const TRANSIT_MARGIN: Duration = Duration::from_millis(100);

/// Settings of one node's token bucket for one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Requests per second over all nodes; zero for no limit.
    pub rate: f64,
    /// Requests that may exceed the rate in a burst, over all nodes.
    pub burst: f64,
    /// This node's share of the rate and burst, from 0 to 1.
    pub share: f64,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            share: 1.0,
        }
    }
}

/// Whether a token was available for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// A token was taken, or there is no limit.
    Passed,
    /// This node has no tokens; the home may have some.
    Exhausted,
}

/// A share that another node has delegated to this one.
#[derive(Debug, Clone, Copy)]
struct Delegated {
    share: f64,
    until: Time,
}

/// One node's token bucket for one workspace.
#[derive(Debug, Clone)]
pub struct Allowance {
    opts: Options,
    /// Whether this node's own share is delegated to another node.
    is_delegating: bool,
    delegated: HashMap<String, Delegated>,
    tokens: f64,
    refilled_at: Time,
    /// Tokens received from the home, which may be spent until `held_until`.
    held: f64,
    held_until: Time,
    /// Tokens that were handed over and still count here, with the time, oldest first.
    handed_over: VecDeque<(Time, u32)>,
}

impl Allowance {
    /// Creates an empty bucket, so that a restarted node does not produce tokens twice.
    #[must_use]
    pub fn new(now: Time, opts: Options) -> Self {
        Self {
            opts,
            is_delegating: false,
            delegated: HashMap::new(),
            tokens: 0.0,
            refilled_at: now,
            held: 0.0,
            held_until: now,
            handed_over: VecDeque::new(),
        }
    }

    /// Updates the limit and share. Returns whether the limit itself changed.
    pub fn set_options(&mut self, now: Time, opts: Options) -> bool {
        self.refill(now);
        let is_changed = (opts.rate, opts.burst) != (self.opts.rate, self.opts.burst);
        self.opts = opts;
        // Tokens produced from a larger share now belong to other nodes.
        self.tokens = self.tokens.min(self.max_tokens());
        is_changed
    }

    /// Sets whether this node's own share produces tokens at another node from now on.
    pub fn set_delegating(&mut self, now: Time, is_delegating: bool) {
        self.refill(now);
        if is_delegating && !self.is_delegating {
            // The home may have no tokens yet. Those produced here may be spent until they expire.
            self.add_held(now, self.tokens);
            self.tokens = 0.0;
        }
        self.is_delegating = is_delegating;
    }

    /// Records or renews the delegation of another node's share to this node.
    pub fn on_delegated(&mut self, now: Time, node: &str, share: f64) {
        self.refill(now);
        let until = now + DELEGATION_TTL;
        self.delegated
            .insert(node.to_owned(), Delegated { share, until });
    }

    /// Takes one token for a request.
    pub fn take(&mut self, now: Time) -> Take {
        if self.opts.rate <= 0.0 {
            return Take::Passed;
        }
        self.refill(now);
        let from = if self.held >= 1.0 {
            &mut self.held
        } else {
            &mut self.tokens
        };
        if *from < 1.0 {
            return Take::Exhausted;
        }
        *from -= 1.0;
        Take::Passed
    }

    /// Hands over up to `wanted` tokens to another node, and returns their number.
    pub fn give(&mut self, now: Time, wanted: u32) -> u32 {
        self.refill(now);
        let given = (self.tokens.max(0.0) as u32).min(wanted);
        self.tokens -= f64::from(given);
        if given > 0 {
            self.handed_over.push_back((now, given));
        }
        given
    }

    /// Adds tokens that the home handed over.
    pub fn receive(&mut self, now: Time, tokens: u32) {
        self.refill(now);
        if tokens > 0 {
            self.add_held(now, f64::from(tokens));
        }
    }

    fn add_held(&mut self, now: Time, tokens: f64) {
        let max_held = self.opts.burst.max(1.0);
        self.held = (self.held + tokens).min(max_held);
        self.held_until = now + HELD_TOKEN_TTL;
    }

    /// Returns the token of a request that did not run.
    pub fn refund(&mut self, now: Time) {
        self.refill(now);
        if now < self.held_until {
            self.held = (self.held + 1.0).min(self.opts.burst.max(1.0));
        } else {
            self.tokens = (self.tokens + 1.0).min(self.max_tokens().max(self.tokens));
        }
    }

    /// Returns the tokens that may be spent at this node.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens + self.held
    }

    /// Returns how long it takes until this node has `wanted` tokens that it produces itself; `None` if
    /// it produces none, or may not keep so many.
    #[must_use]
    pub fn time_until(&self, wanted: u32) -> Option<Duration> {
        let rate = self.opts.rate * self.active_share();
        let wanted = f64::from(wanted);
        let is_possible = rate > 0.0 && wanted <= self.max_tokens();
        let seconds = ((wanted - self.tokens) / rate).max(0.0);
        Duration::try_from_secs_f64(seconds)
            .ok()
            .filter(|_| is_possible)
    }

    /// Returns the sum of the shares that produce tokens at this node.
    fn active_share(&self) -> f64 {
        let own = if self.is_delegating {
            0.0
        } else {
            self.opts.share
        };
        let delegated: f64 = self.delegated.values().map(|it| it.share).sum();
        (own + delegated).min(1.0)
    }

    /// Returns the maximum number of tokens kept here: the burst of the active shares less the tokens
    /// that were handed over.
    fn max_tokens(&self) -> f64 {
        let given: u32 = self.handed_over.iter().map(|(_, given)| given).sum();
        (self.opts.burst * self.active_share() - f64::from(given)).max(1.0)
    }

    fn refill(&mut self, now: Time) {
        let last = self.refilled_at;
        self.refilled_at = last.max(now);
        if now >= self.held_until {
            self.held = 0.0;
        }
        let is_expired =
            |given: &(Time, u32)| now.since(given.0) >= HELD_TOKEN_TTL + TRANSIT_MARGIN;
        while self.handed_over.front().is_some_and(is_expired) {
            self.handed_over.pop_front();
        }
        let mut share_seconds = 0.0;
        if !self.is_delegating {
            share_seconds += self.opts.share * now.since(last).as_secs_f64();
        }
        for delegated in self.delegated.values() {
            let end = delegated.until.min(now);
            share_seconds += delegated.share * end.since(last).as_secs_f64();
        }
        let produced = self.opts.rate * share_seconds.min(now.since(last).as_secs_f64());
        let max_tokens = self.max_tokens();
        if self.tokens < max_tokens {
            self.tokens = (self.tokens + produced).min(max_tokens);
        }
        self.delegated.retain(|_, it| it.until > now);
    }
}
