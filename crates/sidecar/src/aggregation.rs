//! This node's position in the aggregation tree, and the sums received through it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use cassiashunt_mesh::{Sum, SumTimes, Sums, Tree, TreePosition, Uses};
use cassiashunt_types::prelude::*;

use crate::{clock, fleet::Fleet, link::Sender};

/// How long a node that did not answer is excluded from the tree.
const EXCLUSION_TIME: Duration = Duration::from_secs(2);
/// The fraction of the known nodes whose sums must be known before decisions are based on them.
const MIN_KNOWN_FRACTION: f64 = 0.5;

/// This node's position in the aggregation tree, and the sums received through it.
pub(crate) struct Aggregation {
    pub(crate) tree: RefCell<Tree>,
    pub(crate) position: RefCell<TreePosition>,
    pub(crate) sums: RefCell<Sums>,
    /// The nodes that this one reports to, with the time of their last answer, or of the first
    /// report where there was none.
    pub(crate) last_answers: RefCell<HashMap<String, Time>>,
    /// Nodes that did not answer in time, and when that was detected.
    excluded: RefCell<HashMap<String, Time>>,
    /// The children and other heads that report to this node.
    pub(crate) children: RefCell<HashMap<String, Child>>,
    /// When a report last included cost and calls of runs.
    pub(crate) uses_sent: Cell<Time>,
    /// The previous result of the check in `sums`, to log changes only.
    was_complete: Cell<bool>,
}

/// A node that reports to this one.
#[derive(Clone)]
pub(crate) struct Child {
    pub(crate) tx: Sender,
    /// When an answer last included cost and calls of runs.
    pub(crate) uses_sent: Time,
}

impl Default for Aggregation {
    fn default() -> Self {
        Self {
            tree: RefCell::default(),
            position: RefCell::new(TreePosition::Head(Vec::new())),
            sums: RefCell::default(),
            last_answers: RefCell::default(),
            excluded: RefCell::default(),
            children: RefCell::default(),
            uses_sent: Cell::new(Time::ZERO),
            was_complete: Cell::new(true),
        }
    }
}

impl Aggregation {
    /// How often sums are sent and how long they stay valid.
    pub(crate) fn times(&self) -> SumTimes {
        self.sums.borrow().times()
    }

    /// The heads of the other failure domains; `None` where this node is not the head of its own.
    pub(crate) fn heads(&self) -> Option<Vec<String>> {
        match &*self.position.borrow() {
            TreePosition::Head(others) => Some(others.clone()),
            TreePosition::Member(_) => None,
        }
    }

    /// The sum over all nodes, and the sum without this node; `None` while the reports of fewer
    /// than `MIN_KNOWN_FRACTION` of `nodes` are known.
    pub(crate) fn sums(&self, now: Time, nodes: usize) -> Option<(Sum, Sum)> {
        let mut sums = self.sums.borrow_mut();
        sums.expire(now);
        let others = sums.others(false).sum;
        let total = sums.with_own(others.clone());
        let is_complete = f64::from(total.nodes) >= MIN_KNOWN_FRACTION * nodes as f64;
        if self.was_complete.replace(is_complete) != is_complete {
            log::warn!(whole = is_complete, known = total.nodes, nodes = nodes; "sums-whole");
        }
        is_complete.then_some((total, others))
    }

    /// Cost and calls of the runs at all other nodes.
    pub(crate) fn others_uses(&self) -> Uses {
        self.sums.borrow().others(true).uses.unwrap_or_default()
    }

    /// Sets cost and calls of the runs at this node's own server.
    pub(crate) fn set_own_uses(&self, uses: Uses) {
        self.sums.borrow_mut().set_own_uses(uses);
    }

    pub(crate) fn is_reachable(&self, fleet: &Fleet, now: Time, name: &str) -> bool {
        let excluded = self.excluded.borrow();
        let is_excluded = |at: &Time| now.since(*at) < EXCLUSION_TIME;
        fleet.is_linked(name) && !excluded.get(name).is_some_and(is_excluded)
    }

    /// Excludes nodes that have not answered within the maximum age of sums.
    pub(crate) fn check_answers(&self, now: Time) {
        let max_age = self.times().max_age();
        let last_answers = self.last_answers.borrow();
        let unresponsive = last_answers
            .iter()
            .filter(|(_, at)| now.since(**at) > max_age);
        for (name, at) in unresponsive {
            log::info!(peer:% = name, silent_ms = clock::millis(now.since(*at)); "head-silent");
            self.excluded.borrow_mut().insert(name.clone(), now);
        }
        self.excluded
            .borrow_mut()
            .retain(|_, at| now.since(*at) < EXCLUSION_TIME);
    }

    /// Sets the position, and with it the nodes to report to. Returns those that no longer get
    /// reports.
    pub(crate) fn set_position(&self, now: Time, position: TreePosition) -> Vec<String> {
        let before = self.position.borrow().clone();
        let mut last_answers = self.last_answers.borrow_mut();
        last_answers.retain(|name, _| position.recipients().contains(name));
        for name in position.recipients() {
            last_answers.entry(name.clone()).or_insert(now);
        }
        let is_dropped = |name: &&String| !position.recipients().contains(name);
        let dropped = before
            .recipients()
            .iter()
            .filter(is_dropped)
            .cloned()
            .collect();
        if before != position {
            log::info!(is_head = matches!(position, TreePosition::Head(_)),
                told:% = position.recipients().join(" "); "tree-station");
            if !matches!(position, TreePosition::Member(_)) {
                self.sums.borrow_mut().forget_parent();
            }
            *self.position.borrow_mut() = position;
        }
        dropped
    }
}
