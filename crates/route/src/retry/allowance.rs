//! The retries that a call and its descendants may still make.

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies the tokens lent to one attempt of a child call.
    pub struct LoanKey;
}

/// How many of the remaining tokens are lent to an attempt of a child call.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Default, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Lending {
    /// Half of them, rounded up: the others remain for sibling calls and for its own retry.
    #[default]
    Half,
    /// All of them, for calls that are made sequentially.
    All,
    /// None.
    Nothing,
}

/// Tokens that are sent along with an attempt of a child call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Loan {
    /// The key to settle the loan with when the answer arrives.
    pub key: LoanKey,
    /// The number of tokens that the child starts with.
    pub tokens: u32,
}

/// One call's share of its chain's retry allowance.
///
/// It is not `Clone`: a token exists once. A token lent to a child is returned at most once, with
/// the child's answer. If the answer is lost, so is the token.
#[derive(Debug)]
pub struct Allowance {
    remaining: u32,
    lent: SlotMap<LoanKey, u32>,
}

impl Allowance {
    /// The allowance of a call that receives `tokens` from its parent or, at ingress, from the
    /// table.
    #[must_use]
    pub fn new(tokens: u32) -> Self {
        Self {
            remaining: tokens,
            lent: SlotMap::with_key(),
        }
    }

    /// The tokens that are neither spent nor lent. They are returned with the answer when the call
    /// ends.
    #[must_use]
    pub fn remaining(&self) -> u32 {
        self.remaining
    }

    /// Spends the token of one retry; false if none remains.
    #[must_use]
    pub fn spend(&mut self) -> bool {
        let has_one = self.remaining > 0;
        self.remaining = self.remaining.saturating_sub(1);
        has_one
    }

    /// Lends tokens to one attempt of a child call.
    pub fn lend(&mut self, lending: Lending) -> Loan {
        let tokens = match lending {
            Lending::Half => self.remaining.div_ceil(2),
            Lending::All => self.remaining,
            Lending::Nothing => 0,
        };
        self.remaining -= tokens;
        let key = self.lent.insert(tokens);
        Loan { key, tokens }
    }

    /// Takes back the tokens that a child's answer returns: at most as many as were lent and only
    /// once, so that a duplicated or wrong answer creates no tokens.
    pub fn settle(&mut self, key: LoanKey, returned: u32) {
        if let Some(tokens) = self.lent.remove(key) {
            self.remaining += returned.min(tokens);
        }
    }

    /// Writes off the tokens that were lent to an attempt whose answer was lost.
    pub fn write_off(&mut self, key: LoanKey) {
        self.lent.remove(key);
    }
}
