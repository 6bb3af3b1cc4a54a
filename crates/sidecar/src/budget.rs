//! This node's part of the retries that each service may get.

use std::{cell::RefCell, collections::HashMap};

use cassiashunt_route::retry::{Budget, budget::Options as BudgetOptions};
use cassiashunt_types::prelude::*;

/// The part of the operators' ratio that is used: calls of a retried request count as retries too,
/// and requests that never reach a server do not count as requests everywhere.
const USED_RATIO: f64 = 0.4;

/// Retry budgets by service.
pub(crate) struct Budgets {
    opts: BudgetOptions,
    by_service: RefCell<HashMap<Service, Budget>>,
}

impl Budgets {
    /// Budgets of a fleet-wide ratio over a window.
    pub(crate) fn new(ratio: f64, window: Duration) -> Self {
        Self {
            opts: BudgetOptions {
                ratio: ratio * USED_RATIO,
                floor: 1,
                window,
            },
            by_service: RefCell::new(HashMap::new()),
        }
    }

    /// Takes in a first try.
    pub(crate) fn on_first_try(&self, now: Time, service: Service) {
        self.with(service, |budget| budget.on_first_try(now));
    }

    /// Takes one retry out of the budget, if there is room.
    pub(crate) fn take_retry(&self, now: Time, service: Service) -> bool {
        self.with(service, |budget| {
            let has_room = budget.has_room(now);
            if has_room {
                budget.on_retry(now);
            }
            has_room
        })
    }

    fn with<T>(&self, service: Service, f: impl FnOnce(&mut Budget) -> T) -> T {
        let mut budgets = self.by_service.borrow_mut();
        let budget = budgets.entry(service);
        f(budget.or_insert_with(|| Budget::new(self.opts.clone())))
    }
}
