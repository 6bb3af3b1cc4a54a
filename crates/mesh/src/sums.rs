//! Capacity and demand of all nodes, aggregated as sums along the tree.
//!
//! A node reports the sum of itself and its children to its parent, and the parent answers with the
//! sum of all other nodes. Sums of other failure domains are kept per origin, the node that made the
//! sum. Each report is valid for a limited time, so that a node that has changed its parent is counted
//! twice for at most that time.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_admit::{
    Priority,
    chain::{RouteUse, merge},
    chain_admission::{Capacity, Demand},
    repeats::Tries,
};
use cassiashunt_types::prelude::*;

use crate::ReportAge;

/// The slot time and the calls of the runs at each service, by route.
pub type Uses = BTreeMap<Service, Vec<RouteUse>>;

/// The capacity and demand of a group of nodes.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Sum {
    /// The number of nodes in the group.
    pub nodes: u32,
    /// The slots and busy slots of their backend servers, by service.
    pub capacities: BTreeMap<Service, Capacity>,
    /// The demand of their clients, in slots.
    pub demand: BTreeMap<(Priority, Service), f64>,
    /// The tries at each service, and the repeats that the nodes' budgets allow there.
    pub tries: BTreeMap<Service, Tries>,
}

impl Sum {
    /// Adds the capacity and demand of other nodes.
    pub fn add(&mut self, other: &Self) {
        self.nodes = self.nodes.saturating_add(other.nodes);
        for (service, capacity) in &other.capacities {
            *self.capacities.entry(*service).or_default() += *capacity;
        }
        for (key, slots) in &other.demand {
            *self.demand.entry(*key).or_default() += slots;
        }
        for (service, tries) in &other.tries {
            *self.tries.entry(*service).or_default() += *tries;
        }
    }

    /// Returns the demand as a list.
    #[must_use]
    pub fn demand_list(&self) -> Vec<Demand> {
        let demand = self.demand.iter();
        demand
            .map(|((priority, service), slots)| Demand {
                priority: *priority,
                service: *service,
                slots: *slots,
            })
            .collect()
    }
}

/// A sum as it is sent to or received from another node.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SumReport {
    /// The capacity and demand of the nodes.
    pub sum: Sum,
    /// The uses of the nodes. `None` in most reports, since they change slowly and are sent less often.
    pub uses: Option<Uses>,
}

/// How often sums are reported, and how long a report is valid.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SumTimes {
    /// The time between two reports to a parent.
    pub report_interval: Duration,
    /// The longest time that a report takes to arrive when both nodes are slow.
    pub max_delay: Duration,
    /// The time between two reports that include [`Uses`].
    pub uses_interval: Duration,
}

impl Default for SumTimes {
    fn default() -> Self {
        Self {
            report_interval: Duration::from_millis(200),
            max_delay: Duration::from_millis(250),
            uses_interval: Duration::from_secs(1),
        }
    }
}

impl SumTimes {
    /// Returns the age above which a report is no longer valid, and the time after which a parent
    /// that has not answered is replaced: three reports were lost.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        3 * self.report_interval + self.max_delay
    }
}

#[derive(Debug, Clone, Default)]
struct Received {
    as_of: Time,
    sum: Sum,
    uses: Uses,
}

impl Received {
    fn update(&mut self, as_of: Time, report: SumReport) {
        if as_of < self.as_of {
            return;
        }
        self.as_of = as_of;
        self.sum = report.sum;
        if let Some(uses) = report.uses {
            self.uses = uses;
        }
    }
}

/// The sum of a child or of another failure domain, with the node that made it.
#[derive(Debug, Clone, PartialEq)]
pub struct Origin {
    /// The node that made it.
    pub name: String,
    /// The age of the sum.
    pub age: Duration,
    /// The sum and, if included, the uses.
    pub report: SumReport,
}

/// The reports received by one node, and the sums computed from them.
#[derive(Debug, Default)]
pub struct Sums {
    times: SumTimes,
    own: Sum,
    own_uses: Uses,
    children: HashMap<String, Received>,
    origins: HashMap<String, Received>,
    ages: HashMap<String, ReportAge>,
    parent: Option<Received>,
}

impl Sums {
    /// Sets this node's own capacity and demand.
    pub fn set_own(&mut self, sum: Sum) {
        self.own = sum;
    }

    /// Sets the uses of this node's own backend server.
    pub fn set_own_uses(&mut self, uses: Uses) {
        self.own_uses = uses;
    }

    /// Returns the estimated age of a report that the node `name` sent at `sent`, by that node's clock.
    pub fn report_age(&mut self, now: Time, name: &str, sent: Time) -> Duration {
        self.ages
            .entry(name.to_owned())
            .or_default()
            .observe(now, sent)
    }

    /// Records the report of a child on itself and its own children.
    pub fn on_child(&mut self, now: Time, child: Origin) {
        self.origins.remove(&child.name);
        let received = self.children.entry(child.name).or_default();
        received.update(now.before(child.age), child.report);
    }

    /// Removes the reports of a node that now reports to another node.
    pub fn on_detached(&mut self, name: &str) {
        self.children.remove(name);
        self.origins.remove(name);
    }

    /// Records the sum of another failure domain.
    pub fn on_origin(&mut self, now: Time, origin: Origin) {
        self.children.remove(&origin.name);
        let received = self.origins.entry(origin.name).or_default();
        received.update(now.before(origin.age), origin.report);
    }

    /// Records the parent's sum of all nodes except this one and its children.
    pub fn on_parent(&mut self, now: Time, report: SumReport) {
        let parent = self.parent.get_or_insert_default();
        parent.update(now, report);
    }

    /// Removes the parent's report, since this node is the head of its failure domain.
    pub fn forget_parent(&mut self) {
        self.parent = None;
    }

    /// Removes the reports that are no longer valid.
    pub fn expire(&mut self, now: Time) {
        let max_age = self.times.max_age();
        let is_current = |received: &Received| now.since(received.as_of) <= max_age;
        self.children.retain(|_, received| is_current(received));
        self.origins.retain(|_, received| is_current(received));
        self.parent = self.parent.take().filter(is_current);
        let known =
            |name: &String| self.children.contains_key(name) || self.origins.contains_key(name);
        self.ages.retain(|name, _| known(name));
    }

    /// Returns the report on this node and its children, to be sent to the parent.
    #[must_use]
    pub fn subtree(&self, with_uses: bool) -> SumReport {
        let received: Vec<_> = self.children.values().collect();
        self.aggregate(&received, true, with_uses)
    }

    /// Returns the report on all nodes except `child` and its children, to be sent to `child`.
    #[must_use]
    pub fn others_for(&self, child: &str, with_uses: bool) -> SumReport {
        let children = self.children.iter();
        let siblings = children.filter(|(name, _)| *name != child);
        let mut received: Vec<_> = siblings.map(|(_, received)| received).collect();
        received.extend(self.beyond_subtree());
        self.aggregate(&received, true, with_uses)
    }

    /// Returns the report on all nodes except this one.
    #[must_use]
    pub fn others(&self, with_uses: bool) -> SumReport {
        let mut received: Vec<_> = self.children.values().collect();
        received.extend(self.beyond_subtree());
        self.aggregate(&received, false, with_uses)
    }

    /// Returns the sum of all nodes.
    #[must_use]
    pub fn total(&self) -> Sum {
        self.with_own(self.others(false).sum)
    }

    /// Adds this node's own capacity and demand to the sum of the others.
    #[must_use]
    pub fn with_own(&self, mut others: Sum) -> Sum {
        others.add(&self.own);
        others
    }

    /// Returns how often sums are reported, and how long a report is valid.
    #[must_use]
    pub fn times(&self) -> SumTimes {
        self.times
    }

    /// Returns the sums of other failure domains that this node has received, to be sent to its
    /// parent.
    #[must_use]
    pub fn origins(&self, now: Time, with_uses: bool) -> Vec<Origin> {
        let origins = self.origins.iter();
        origins
            .map(|(name, received)| Origin {
                name: name.clone(),
                age: now.since(received.as_of),
                report: SumReport {
                    sum: received.sum.clone(),
                    uses: with_uses.then(|| received.uses.clone()),
                },
            })
            .collect()
    }

    /// Returns the reports on the nodes outside this node's subtree: the parent's, which includes those
    /// of the other heads, or without a parent those of the other heads themselves.
    fn beyond_subtree(&self) -> Vec<&Received> {
        match &self.parent {
            Some(parent) => vec![parent],
            None => self.origins.values().collect(),
        }
    }

    /// Returns the sum of `received`, with this node's own values if `with_own`.
    fn aggregate(&self, received: &[&Received], with_own: bool, with_uses: bool) -> SumReport {
        let mut sum = Sum::default();
        if with_own {
            sum.add(&self.own);
        }
        received.iter().for_each(|it| sum.add(&it.sum));
        let uses = with_uses.then(|| {
            let own = with_own.then_some(&self.own_uses);
            let all = own.into_iter().chain(received.iter().map(|it| &it.uses));
            merge(
                all.flatten()
                    .map(|(service, uses)| (*service, uses.as_slice())),
            )
        });
        SumReport { sum, uses }
    }
}
