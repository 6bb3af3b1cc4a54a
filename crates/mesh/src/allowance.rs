//! One workspace's rate and burst, shared by all nodes without an agreement among them.
//!
//! Each of `n` live nodes owns the share `1 / n` of the rate and burst. So that no tokens lie idle
//! at a node without requests, a node delegates its share to the workspace's *home* for a short
//! time, again and again, and asks the home for tokens. A share makes tokens at one place at a
//! time: at the home while the delegation is young, at its owner after the delegation has lapsed or
//! the home was lost. Tokens that were handed over lapse, and count against the home's burst until
//! then, so that what nodes hold is no second burst. The sum over all nodes then stays within
//! `burst + rate * t` through cuts, kills and pauses, but for the span of a delegation whose owner has
//! lost the home and makes tokens again while the home still does; the operators' excess covers it.

use std::collections::{HashMap, VecDeque};

use cassiashunt_types::prelude::*;

/// How long a delegation counts at the home. Kept short: it bounds what is made twice when links
/// break.
pub const DELEGATION_TTL: Duration = Duration::from_millis(900);

/// How long tokens that were handed over may be spent: a little longer than they are asked ahead.
const HELD: Duration = Duration::from_millis(300);
/// How much longer they count at the home, since it handed them over before they arrived.
const ON_THE_WAY: Duration = Duration::from_millis(100);

/// Settings of one node's allowance of one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Requests a second over all nodes; zero for no limit.
    pub rate: f64,
    /// Requests beyond the rate over all nodes.
    pub burst: f64,
    /// This node's share of both.
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

/// Whether a request may pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It may.
    Passed,
    /// Not from what this node holds; the home may have tokens.
    Exhausted,
}

/// The share of another node, delegated to this one.
#[derive(Debug, Clone, Copy)]
struct Delegated {
    share: f64,
    until: Time,
}

/// One node's allowance of one workspace.
#[derive(Debug, Clone)]
pub struct Allowance {
    opts: Options,
    /// Whether the own share is delegated to another node.
    is_delegating: bool,
    delegated: HashMap<String, Delegated>,
    tokens: f64,
    filled: Time,
    /// Tokens of the home, and until when they may be spent.
    held: f64,
    held_until: Time,
    /// Tokens that were handed over lately, and when.
    given: VecDeque<(Time, u32)>,
}

impl Allowance {
    /// An empty allowance, so that a node that starts again makes nothing twice.
    #[must_use]
    pub fn new(now: Time, opts: Options) -> Self {
        Self {
            opts,
            is_delegating: false,
            delegated: HashMap::new(),
            tokens: 0.0,
            filled: now,
            held: 0.0,
            held_until: now,
            given: VecDeque::new(),
        }
    }

    /// Takes in a changed limit or share. Tells whether the limit itself changed.
    pub fn set_options(&mut self, now: Time, opts: Options) -> bool {
        self.fill(now);
        let is_changed = (opts.rate, opts.burst) != (self.opts.rate, self.opts.burst);
        self.opts = opts;
        // What was made of a larger share is others' now.
        self.tokens = self.tokens.min(self.cap());
        is_changed
    }

    /// Whether the own share makes tokens at another node from now on.
    pub fn set_delegating(&mut self, now: Time, is_delegating: bool) {
        self.fill(now);
        if is_delegating && !self.is_delegating {
            // The home may be empty yet: what was made here is spent meanwhile, or lapses.
            self.hold(now, self.tokens);
            self.tokens = 0.0;
        }
        self.is_delegating = is_delegating;
    }

    /// Takes in that another node delegates its share.
    pub fn on_delegated(&mut self, now: Time, node: &str, share: f64) {
        self.fill(now);
        let until = now + DELEGATION_TTL;
        self.delegated
            .insert(node.to_owned(), Delegated { share, until });
    }

    /// Takes one token for a request.
    pub fn take(&mut self, now: Time) -> Take {
        if self.opts.rate <= 0.0 {
            return Take::Passed;
        }
        self.fill(now);
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

    /// Hands over whole tokens to a node that asks for up to `wanted`.
    pub fn give(&mut self, now: Time, wanted: u32) -> u32 {
        self.fill(now);
        let given = (self.tokens.max(0.0) as u32).min(wanted);
        self.tokens -= f64::from(given);
        if given > 0 {
            self.given.push_back((now, given));
        }
        given
    }

    /// Takes in tokens that another node handed over.
    pub fn receive(&mut self, now: Time, tokens: u32) {
        self.fill(now);
        if tokens > 0 {
            self.hold(now, f64::from(tokens));
        }
    }

    fn hold(&mut self, now: Time, tokens: f64) {
        let most = self.opts.burst.max(1.0);
        self.held = (self.held + tokens).min(most);
        self.held_until = now + HELD;
    }

    /// Takes back the token of a request that did not run.
    pub fn refund(&mut self, now: Time) {
        self.fill(now);
        if now < self.held_until {
            self.held = (self.held + 1.0).min(self.opts.burst.max(1.0));
        } else {
            self.tokens = (self.tokens + 1.0).min(self.cap().max(self.tokens));
        }
    }

    /// The tokens that may be spent here.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens + self.held
    }

    fn shares(&self) -> f64 {
        let own = if self.is_delegating {
            0.0
        } else {
            self.opts.share
        };
        let delegated: f64 = self.delegated.values().map(|it| it.share).sum();
        (own + delegated).min(1.0)
    }

    /// The most tokens that are kept of what is made here, beside those that were handed over.
    fn cap(&self) -> f64 {
        let given: u32 = self.given.iter().map(|(_, given)| given).sum();
        (self.opts.burst * self.shares() - f64::from(given)).max(1.0)
    }

    fn fill(&mut self, now: Time) {
        let filled = self.filled;
        self.filled = filled.max(now);
        if now >= self.held_until {
            self.held = 0.0;
        }
        let is_spent = |given: &(Time, u32)| now.since(given.0) >= HELD + ON_THE_WAY;
        while self.given.front().is_some_and(is_spent) {
            self.given.pop_front();
        }
        let mut share_s = 0.0;
        if !self.is_delegating {
            share_s += self.opts.share * now.since(filled).as_secs_f64();
        }
        for delegated in self.delegated.values() {
            let end = delegated.until.min(now);
            share_s += delegated.share * end.since(filled).as_secs_f64();
        }
        let made = self.opts.rate * share_s.min(now.since(filled).as_secs_f64());
        let cap = self.cap();
        if self.tokens < cap {
            self.tokens = (self.tokens + made).min(cap);
        }
        self.delegated.retain(|_, it| it.until > now);
    }
}
