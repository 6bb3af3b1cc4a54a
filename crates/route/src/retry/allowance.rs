//! The retries that a call and everything under it may still make.

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Tokens lent to one attempt of a child call.
    pub struct LoanKey;
}

/// How many of the tokens at hand an attempt of a child call is lent.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lending {
    /// Half of them, rounded up: some stay for children beside it and for its own retry.
    #[default]
    Half,
    /// All of them, for calls that are made one after the other.
    All,
    /// None.
    Nothing,
}

/// Tokens that travel with an attempt of a child call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// To be settled with the answer.
    pub key: LoanKey,
    /// The allowance that the child starts with.
    pub tokens: u32,
}

/// One call's part of its chain's retry allowance.
///
/// It is not `Clone`: a token exists once. A token that was lent to a child comes back at most
/// once, with the child's answer; with a lost answer it is lost.
#[derive(Debug)]
pub struct Allowance {
    left: u32,
    lent: SlotMap<LoanKey, u32>,
}

impl Allowance {
    /// The allowance of a call that was given `tokens` by its parent, or at ingress by the table.
    #[must_use]
    pub fn new(tokens: u32) -> Self {
        Self {
            left: tokens,
            lent: SlotMap::with_key(),
        }
    }

    /// Tokens at hand: those to return with the answer when the call ends.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.left
    }

    /// Spends the token of one retry; false where none is at hand.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let has_one = self.left > 0;
        self.left = self.left.saturating_sub(1);
        has_one
    }

    /// Lends tokens to one attempt of a child call.
    pub fn lend(&mut self, lending: Lending) -> Loan {
        let tokens = match lending {
            Lending::Half => self.left.div_ceil(2),
            Lending::All => self.left,
            Lending::Nothing => 0,
        };
        self.left -= tokens;
        let key = self.lent.insert(tokens);
        Loan { key, tokens }
    }

    /// Takes back what a child's answer returned: at most what was lent, and only once, so that
    /// a duplicated or false answer makes no tokens.
    pub fn settle(&mut self, key: LoanKey, returned: u32) {
        if let Some(tokens) = self.lent.remove(key) {
            self.left += returned.min(tokens);
        }
    }

    /// Gives up what was lent to an attempt whose answer was lost.
    pub fn write_off(&mut self, key: LoanKey) {
        self.lent.remove(key);
    }
}
