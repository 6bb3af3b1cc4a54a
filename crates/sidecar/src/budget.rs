//! Retry budgets per service: this node's repeats as a fraction of its first tries.

use std::{
    cell::RefCell,
    collections::{BTreeMap, HashMap},
};

use cassiashunt_admit::repeats::Tries;
use cassiashunt_route::retry::WindowBudget;
use cassiashunt_types::prelude::*;

/// Fraction of the configured ratio that is used. The remainder covers repeats that arrive in a later
/// window than the one that they were counted in.
const USED_RATIO_SHARE: f64 = 0.85;
/// The same for calls of a run that was itself repeated: refusing them would waste that run.
const REPEATED_CALL_RATIO_SHARE: f64 = 0.95;
/// Fraction of the configured ratio for requests whose servers call others: all calls of a
/// repeated run count as repeats at the services that they reach.
const CHAIN_RATIO_SHARE: f64 = 0.25;
/// Fraction of the configured ratio that a node uses in the first window after its start: what its
/// predecessor sent on in that window is not known.
const FIRST_WINDOW_RATIO_SHARE: f64 = 0.15;
/// Fraction of the configured slack that is spent, divided among the nodes.
const USED_SLACK_SHARE: f64 = 0.5;

/// What a retry repeats.
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
}

struct ServiceBudget {
    all: WindowBudget,
    chains: WindowBudget,
    /// The part of the node's best window that counts.
    window_share: f64,
}

/// Retry budgets by service.
pub(crate) struct RetryBudgets {
    began: Time,
    ratio: f64,
    slack: f64,
    window: Duration,
    by_service: RefCell<HashMap<Service, ServiceBudget>>,
}

impl RetryBudgets {
    /// Budgets with the configured ratio of repeats to first tries in a `window`, and the repeats that
    /// all nodes may make regardless of it.
    pub(crate) fn new(now: Time, ratio: f64, slack: f64, window: Duration) -> Self {
        Self {
            began: now,
            ratio,
            slack,
            window,
            by_service: RefCell::new(HashMap::new()),
        }
    }

    /// Records a first try.
    pub(crate) fn on_first_try(&self, now: Time, service: Service, kind: RetryKind) {
        self.with_budget(service, |budget| {
            budget.all.on_first_try(now);
            if kind == RetryKind::Chain {
                budget.chains.on_first_try(now);
            }
        });
    }

    /// Charges one retry and returns true, if the budget allows one more. `nodes` is the number of
    /// nodes that share the slack.
    pub(crate) fn take_retry(
        &self,
        now: Time,
        service: Service,
        kind: RetryKind,
        nodes: usize,
    ) -> bool {
        let floor = (self.slack * USED_SLACK_SHARE / nodes.max(1) as f64).min(1.0);
        let base = self.ratio_at(now);
        self.with_budget(service, |budget| {
            let ratio = base * budget.window_share;
            let is_chain = kind == RetryKind::Chain;
            let is_allowed = budget.all.left_now(now, ratio * USED_RATIO_SHARE) + floor >= 1.0
                && (!is_chain || budget.chains.left(now, ratio * CHAIN_RATIO_SHARE) + floor >= 1.0);
            if is_allowed {
                budget.all.on_repeats(now, 1);
                if is_chain {
                    budget.chains.on_repeats(now, 1);
                }
            }
            is_allowed
        })
    }

    /// Charges a call of a run that was itself a repeat and returns true, if the budget allows it.
    pub(crate) fn take_repeated_call(&self, now: Time, service: Service) -> bool {
        let base = self.ratio_at(now);
        self.with_budget(service, |budget| {
            let ratio = base * budget.window_share * REPEATED_CALL_RATIO_SHARE;
            let is_allowed = budget.all.left_now(now, ratio) >= 1.0;
            if is_allowed {
                budget.all.on_repeats(now, 1);
            }
            is_allowed
        })
    }

    /// Adds to the tries at each service what this node's budgets allow.
    pub(crate) fn add_to(&self, now: Time, tries: &mut BTreeMap<Service, Tries>) {
        for (service, budget) in &*self.by_service.borrow() {
            let first_tries = budget.all.first_tries(now);
            if first_tries.most() == 0.0 {
                continue;
            }
            let ratio = self.ratio_at(now) * budget.window_share * USED_RATIO_SHARE;
            let tries = tries.entry(*service).or_default();
            tries.repeats_limit = ratio * first_tries.most();
            tries.repeats_left = budget.all.left(now, ratio).max(0.0);
            tries.first_tries = [first_tries.current, first_tries.half, first_tries.previous];
            tries.most_first_tries = first_tries.most();
        }
    }

    /// Takes in the tries of all nodes.
    pub(crate) fn on_total(&self, tries: &BTreeMap<Service, Tries>) {
        for (service, budget) in &mut *self.by_service.borrow_mut() {
            if let Some(tries) = tries.get(service) {
                budget.window_share = tries.window_share();
            }
        }
    }

    /// The ratio in force, which is smaller while what was sent before the start may count.
    fn ratio_at(&self, now: Time) -> f64 {
        if now.since(self.began) < self.window {
            self.ratio * FIRST_WINDOW_RATIO_SHARE
        } else {
            self.ratio
        }
    }

    fn with_budget<T>(&self, service: Service, f: impl FnOnce(&mut ServiceBudget) -> T) -> T {
        let mut budgets = self.by_service.borrow_mut();
        let budget = budgets.entry(service).or_insert_with(|| ServiceBudget {
            all: WindowBudget::new(self.window),
            chains: WindowBudget::new(self.window),
            window_share: 1.0,
        });
        f(budget)
    }
}
