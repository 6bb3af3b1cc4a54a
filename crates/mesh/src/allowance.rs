//! A node's part of a workspace's rate and burst, and its transfer between nodes.
//!
//! Each of `n` live nodes makes tokens at `rate / n` and keeps at most `burst / n` of its own
//! making. A node that runs short asks others, which hand over part of what they hold. A transfer
//! leaves the giver before it reaches the taker, so a lost message loses tokens and no cut, kill
//! or pause makes any: the sum over all nodes stays within `burst + rate * t` as long as the nodes
//! agree about `n`.

use cassiashunt_types::prelude::*;

/// Settings of one node's allowance of one workspace.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Options {
    /// Requests a second over all nodes; zero for no limit.
    pub rate: f64,
    /// Requests beyond the rate over all nodes.
    pub burst: f64,
    /// Live nodes, this one included.
    pub nodes: usize,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            rate: 0.0,
            burst: 0.0,
            nodes: 1,
        }
    }
}

/// Whether a request may pass.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Take {
    /// It may.
    Passed,
    /// Not from what this node holds; others may have some to hand over.
    Short,
}

/// Tokens on their way from one node to another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Transfer {
    /// The whole tokens handed over.
    pub tokens: u32,
}

/// The share of its tokens above which a node keeps none back from one that asks.
const GIVEN_SHARE: f64 = 0.5;

/// One node's allowance of one workspace.
#[derive(Debug, Clone)]
pub struct Allowance {
    opts: Options,
    tokens: f64,
    filled: Time,
}

impl Allowance {
    /// An empty allowance, so that a node that starts again makes nothing twice.
    #[must_use]
    pub fn new(now: Time, opts: Options) -> Self {
        Self {
            opts,
            tokens: 0.0,
            filled: now,
        }
    }

    /// Takes in a changed limit or number of nodes. Tells whether the limit itself changed.
    pub fn set_options(&mut self, now: Time, opts: Options) -> bool {
        self.fill(now);
        let is_changed = (opts.rate, opts.burst) != (self.opts.rate, self.opts.burst);
        if opts != self.opts {
            self.opts = opts;
            self.tokens = self.tokens.min(self.cap());
        }
        is_changed
    }

    /// Takes one token for a request.
    pub fn take(&mut self, now: Time) -> Take {
        if self.opts.rate <= 0.0 {
            return Take::Passed;
        }
        self.fill(now);
        if self.tokens < 1.0 {
            return Take::Short;
        }
        self.tokens -= 1.0;
        Take::Passed
    }

    /// Hands over part of the tokens to a node that asks for up to `wanted`.
    pub fn give(&mut self, now: Time, wanted: u32) -> Transfer {
        self.fill(now);
        let spare = (self.tokens * GIVEN_SHARE).floor().max(0.0) as u32;
        let tokens = spare.min(wanted);
        self.tokens -= f64::from(tokens);
        Transfer { tokens }
    }

    /// Takes in tokens that another node handed over.
    pub fn receive(&mut self, now: Time, transfer: Transfer) {
        self.fill(now);
        let most = self.opts.burst.max(1.0);
        self.tokens = (self.tokens + f64::from(transfer.tokens)).min(most);
    }

    /// The tokens held.
    #[must_use]
    pub fn tokens(&self) -> f64 {
        self.tokens
    }

    /// What this node asks for when it is short: a tenth of a second of the whole rate.
    #[must_use]
    pub fn wanted(&self) -> u32 {
        (self.opts.rate * 0.1).ceil().max(1.0) as u32
    }

    fn nodes(&self) -> f64 {
        self.opts.nodes.max(1) as f64
    }

    fn cap(&self) -> f64 {
        (self.opts.burst / self.nodes()).max(1.0)
    }

    fn fill(&mut self, now: Time) {
        let made = now.since(self.filled).as_secs_f64() * self.opts.rate / self.nodes();
        self.filled = self.filled.max(now);
        let cap = self.cap();
        if self.tokens < cap {
            self.tokens = (self.tokens + made).min(cap);
        }
    }
}
