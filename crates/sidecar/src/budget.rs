//! Retry budgets per service: this node's retries as a fraction of its first tries.

use std::{cell::RefCell, collections::HashMap};

use cassiashunt_route::retry::{Budget, budget::Options as BudgetOptions};
use cassiashunt_types::prelude::*;

/// Fraction of the configured retry ratio for requests whose servers call others: all calls of a
/// retried run count as retries at the services that they reach.
const CHAIN_RATIO_SHARE: f64 = 0.25;
/// Fraction of the configured retry ratio for other requests.
const LEAF_RATIO_SHARE: f64 = 0.6;
/// Fraction of the leaf budget that calls within chains may use; the remainder is left to clients'
/// own requests, since a chain of several calls succeeds only if all of its calls do.
const LEAF_CALL_BUDGET_SHARE: f64 = 0.5;

/// What a retry repeats; each kind has its own budget.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum RetryKind {
    /// A request whose server calls other services.
    Chain,
    /// A client's request whose server calls no other service.
    Leaf,
    /// A call within a chain whose server calls no other service.
    LeafCall,
}

impl RetryKind {
    /// The name in logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Chain => "chain",
            Self::Leaf => "leaf",
            Self::LeafCall => "leaf-call",
        }
    }

    /// The budgets that a retry is charged to: calls are also charged to the clients' budget.
    fn budgets(self) -> &'static [Self] {
        match self {
            Self::Chain => &[Self::Chain],
            Self::Leaf => &[Self::Leaf],
            Self::LeafCall => &[Self::LeafCall, Self::Leaf],
        }
    }

    fn ratio_share(self) -> f64 {
        match self {
            Self::Chain => CHAIN_RATIO_SHARE,
            Self::Leaf => LEAF_RATIO_SHARE,
            Self::LeafCall => LEAF_RATIO_SHARE * LEAF_CALL_BUDGET_SHARE,
        }
    }
}

/// Retry budgets by service and kind.
pub(crate) struct RetryBudgets {
    ratio: f64,
    window: Duration,
    by_service: RefCell<HashMap<(Service, RetryKind), Budget>>,
}

impl RetryBudgets {
    /// Budgets with the configured ratio of retries to first tries, counted over `window`.
    pub(crate) fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            window,
            by_service: RefCell::new(HashMap::new()),
        }
    }

    /// Records a first try.
    pub(crate) fn on_first_try(&self, now: Time, service: Service, kind: RetryKind) {
        for kind in kind.budgets() {
            self.with_budget(service, *kind, |budget| budget.on_first_try(now));
        }
    }

    /// Charges one retry and returns true, if all of its budgets allow one more.
    pub(crate) fn take_retry(&self, now: Time, service: Service, kind: RetryKind) -> bool {
        let mut kinds = kind.budgets().iter();
        let is_allowed =
            kinds.all(|kind| self.with_budget(service, *kind, |budget| budget.allows_retry(now)));
        if is_allowed {
            for kind in kind.budgets() {
                self.with_budget(service, *kind, |budget| budget.on_retry(now));
            }
        }
        is_allowed
    }

    fn with_budget<T>(
        &self,
        service: Service,
        kind: RetryKind,
        f: impl FnOnce(&mut Budget) -> T,
    ) -> T {
        let mut budgets = self.by_service.borrow_mut();
        let budget = budgets.entry((service, kind)).or_insert_with(|| {
            Budget::new(BudgetOptions {
                ratio: self.ratio * kind.ratio_share(),
                floor: 1,
                window: self.window,
            })
        });
        f(budget)
    }
}
