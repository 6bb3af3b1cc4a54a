//! This node's part of the retries that each service may get.

use std::{cell::RefCell, collections::HashMap};

use cassiashunt_route::retry::{Budget, budget::Options as BudgetOptions};
use cassiashunt_types::prelude::*;

/// The part of the operators' ratio that retries of requests may use whose servers call others:
/// all calls of a retried run count as retries where they arrive.
const CHAIN_RATIO: f64 = 0.25;
/// The part of the ratio that retries of other requests may use.
const LEAF_RATIO: f64 = 0.6;
/// The part of the budget that calls within chains leave to clients' own requests: a chain of
/// several calls is saved only if all of them are.
const CALLS_SHARE: f64 = 0.5;

/// What a retry would repeat.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub(crate) enum Kind {
    /// A request whose server calls others.
    Chain,
    /// A client's request whose server calls nobody.
    Leaf,
    /// A call within a chain whose server calls nobody.
    LeafCall,
}

impl Kind {
    /// The name, for logs and metrics.
    pub(crate) fn name(self) -> &'static str {
        match self {
            Self::Chain => "chain",
            Self::Leaf => "leaf",
            Self::LeafCall => "leaf-call",
        }
    }

    /// The budgets that it draws on: calls take theirs out of what clients' requests have.
    fn budgets(self) -> &'static [Self] {
        match self {
            Self::Chain => &[Self::Chain],
            Self::Leaf => &[Self::Leaf],
            Self::LeafCall => &[Self::LeafCall, Self::Leaf],
        }
    }

    fn ratio(self) -> f64 {
        match self {
            Self::Chain => CHAIN_RATIO,
            Self::Leaf => LEAF_RATIO,
            Self::LeafCall => LEAF_RATIO * CALLS_SHARE,
        }
    }
}

/// Retry budgets by service.
pub(crate) struct Budgets {
    ratio: f64,
    window: Duration,
    by_service: RefCell<HashMap<(Service, Kind), Budget>>,
}

impl Budgets {
    /// Budgets of a fleet-wide ratio over a window.
    pub(crate) fn new(ratio: f64, window: Duration) -> Self {
        Self {
            ratio,
            window,
            by_service: RefCell::new(HashMap::new()),
        }
    }

    /// Takes in a first try.
    pub(crate) fn on_first_try(&self, now: Time, service: Service, kind: Kind) {
        for kind in kind.budgets() {
            self.with(service, *kind, |budget| budget.on_first_try(now));
        }
    }

    /// Takes one retry out of the budget, if there is room.
    pub(crate) fn take_retry(&self, now: Time, service: Service, kind: Kind) -> bool {
        let mut kinds = kind.budgets().iter();
        let has_room =
            kinds.all(|kind| self.with(service, *kind, |budget| budget.allows_retry(now)));
        if has_room {
            for kind in kind.budgets() {
                self.with(service, *kind, |budget| budget.on_retry(now));
            }
        }
        has_room
    }

    fn with<T>(&self, service: Service, kind: Kind, f: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.by_service.borrow_mut();
        let budget = budgets.entry((service, kind)).or_insert_with(|| {
            Budget::new(BudgetOptions {
                ratio: self.ratio * kind.ratio(),
                floor: 1,
                window: self.window,
            })
        });
        f(budget)
    }
}
