//! This node's place in the tree, and what was told through it.

use std::{
    cell::{Cell, RefCell},
    collections::HashMap,
};

use cassiashunt_mesh::{Sum, SumTimes, Sums, Tree, TreePosition, Uses};
use cassiashunt_types::prelude::*;

use crate::{clock, fleet::Fleet, link::Sender};

/// How long a node that did not answer is passed over.
const PASSED_OVER: Duration = Duration::from_secs(2);
/// The part of the known nodes whose sums have to be known for a decision to be made from them.
const LEAST_KNOWN: f64 = 0.5;

/// This node's place in the tree, and what was told through it.
pub(crate) struct Standing {
    pub(crate) tree: RefCell<Tree>,
    pub(crate) station: RefCell<TreePosition>,
    pub(crate) sums: RefCell<Sums>,
    /// The nodes that are told, and when each answered last or was told first.
    pub(crate) answered: RefCell<HashMap<String, Time>>,
    /// Nodes that did not answer, and when that was found.
    passed_over: RefCell<HashMap<String, Time>>,
    /// Where children and other heads are reached.
    pub(crate) children: RefCell<HashMap<String, Child>>,
    pub(crate) uses_told: Cell<Time>,
    was_whole: Cell<bool>,
}

#[derive(Clone)]
pub(crate) struct Child {
    pub(crate) tx: Sender,
    pub(crate) uses_told: Time,
}

impl Default for Standing {
    fn default() -> Self {
        Self {
            tree: RefCell::default(),
            station: RefCell::new(TreePosition::Head(Vec::new())),
            sums: RefCell::default(),
            answered: RefCell::default(),
            passed_over: RefCell::default(),
            children: RefCell::default(),
            uses_told: Cell::new(Time::ZERO),
            was_whole: Cell::new(true),
        }
    }
}

impl Standing {
    /// How often sums are told and how long they count.
    pub(crate) fn times(&self) -> SumTimes {
        self.sums.borrow().times()
    }

    /// Whether this node is the first of its failure domain that it knows of, and with which others.
    pub(crate) fn heads(&self) -> Option<Vec<String>> {
        match &*self.station.borrow() {
            TreePosition::Head(others) => Some(others.clone()),
            TreePosition::Member(_) => None,
        }
    }

    /// What all nodes have and ask for, and what all but this one ask for; nothing while the words
    /// of too few of `nodes` are known.
    pub(crate) fn sums(&self, now: Time, nodes: usize) -> Option<(Sum, Sum)> {
        let mut sums = self.sums.borrow_mut();
        sums.expire(now);
        let rest = sums.others(false).sum;
        let total = sums.with_own(rest.clone());
        let is_whole = f64::from(total.nodes) >= LEAST_KNOWN * nodes as f64;
        if self.was_whole.replace(is_whole) != is_whole {
            log::warn!(whole = is_whole, known = total.nodes, nodes = nodes; "sums-whole");
        }
        is_whole.then_some((total, rest))
    }

    /// What runs at all other nodes take and call.
    pub(crate) fn rest_of_uses(&self) -> Uses {
        self.sums.borrow().others(true).uses.unwrap_or_default()
    }

    /// Takes in what this node's own server takes and calls.
    pub(crate) fn set_own_uses(&self, uses: Uses) {
        self.sums.borrow_mut().set_own_uses(uses);
    }

    pub(crate) fn reaches(&self, fleet: &Fleet, now: Time, name: &str) -> bool {
        let passed_over = self.passed_over.borrow();
        let is_passed_over = |at: &Time| now.since(*at) < PASSED_OVER;
        fleet.link(name).is_some_and(|link| link.is_up())
            && !passed_over.get(name).is_some_and(is_passed_over)
    }

    /// Passes over those who were told and have not answered in time.
    pub(crate) fn look_at_answers(&self, now: Time) {
        let max_age = self.times().max_age();
        let answered = self.answered.borrow();
        let silent = answered.iter().filter(|(_, at)| now.since(**at) > max_age);
        for (name, at) in silent {
            log::info!(peer:% = name, silent_ms = clock::millis(now.since(*at)); "head-silent");
            self.passed_over.borrow_mut().insert(name.clone(), now);
        }
        self.passed_over
            .borrow_mut()
            .retain(|_, at| now.since(*at) < PASSED_OVER);
    }

    /// Takes in which nodes are told from now on. Returns those that were told and are no more.
    pub(crate) fn set_station(&self, now: Time, station: TreePosition) -> Vec<String> {
        let before = self.station.borrow().clone();
        let mut answered = self.answered.borrow_mut();
        answered.retain(|name, _| station.recipients().contains(name));
        for name in station.recipients() {
            answered.entry(name.clone()).or_insert(now);
        }
        let is_left = |name: &&String| !station.recipients().contains(name);
        let left = before
            .recipients()
            .iter()
            .filter(is_left)
            .cloned()
            .collect();
        if before != station {
            log::info!(is_head = matches!(station, TreePosition::Head(_)),
                told:% = station.recipients().join(" "); "tree-station");
            if !matches!(station, TreePosition::Member(_)) {
                self.sums.borrow_mut().forget_parent();
            }
            *self.station.borrow_mut() = station;
        }
        left
    }
}
