//! What all nodes ask for and have, as sums that are made on the way through the tree.
//!
//! A node tells its parent the sum of itself and its children; the parent answers with the sum of
//! all the others. Sums between failure domains are kept by the node that made them. Each word
//! counts for a stated time only, so that a node that tells another parent counts twice for that
//! time at most.

use std::collections::{BTreeMap, HashMap};

use cassiashunt_admit::{
    Priority,
    chain::{RouteUse, merge},
    chain_admission::{Capacity, Demand},
};
use cassiashunt_types::prelude::*;

use crate::ReportAge;

/// What the runs at each service take and call.
pub type Uses = BTreeMap<Service, Vec<RouteUse>>;

/// What some nodes have and ask for.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct Sum {
    /// How many nodes they are.
    pub nodes: u32,
    /// What their backend servers have and do.
    pub capacities: BTreeMap<Service, Capacity>,
    /// What their clients ask for, in slots.
    pub demand: BTreeMap<(Priority, Service), f64>,
}

impl Sum {
    /// Adds what other nodes have and ask for.
    pub fn add(&mut self, other: &Self) {
        self.nodes += other.nodes;
        for (service, capacity) in &other.capacities {
            *self.capacities.entry(*service).or_default() += *capacity;
        }
        for (key, slots) in &other.demand {
            *self.demand.entry(*key).or_default() += slots;
        }
    }

    /// The demand as a list.
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

/// A sum as another node told it.
#[derive(Debug, Clone, PartialEq, Default)]
pub struct SumReport {
    /// What the nodes have and ask for.
    pub sum: Sum,
    /// What runs there take and call, where told this time; it changes slowly.
    pub uses: Option<Uses>,
}

/// How often sums are told and how long they count.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct SumTimes {
    /// The time between two words to a parent.
    pub report_interval: Duration,
    /// The longest time that a word takes, with both ends slow.
    pub max_delay: Duration,
    /// The time between two words on what runs take and call.
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
    /// The age at which a word counts no more, and a parent that has not answered is left: three
    /// words were lost.
    #[must_use]
    pub fn max_age(&self) -> Duration {
        3 * self.report_interval + self.max_delay
    }
}

#[derive(Debug, Clone, Default)]
struct Heard {
    as_of: Time,
    sum: Sum,
    uses: Uses,
}

impl Heard {
    fn take_in(&mut self, as_of: Time, told: SumReport) {
        if as_of < self.as_of {
            return;
        }
        self.as_of = as_of;
        self.sum = told.sum;
        if let Some(uses) = told.uses {
            self.uses = uses;
        }
    }
}

/// The sum of a child or of another failure domain, and who made it.
#[derive(Debug, Clone, PartialEq)]
pub struct Origin {
    /// The node that made it.
    pub name: String,
    /// Its age.
    pub age: Duration,
    /// The sum.
    pub report: SumReport,
}

/// What one node was told, and the sums that follow.
#[derive(Debug, Default)]
pub struct Sums {
    times: SumTimes,
    own: Sum,
    own_uses: Uses,
    children: HashMap<String, Heard>,
    origins: HashMap<String, Heard>,
    ages: HashMap<String, ReportAge>,
    above: Option<Heard>,
}

impl Sums {
    /// Takes in what this node has and asks for.
    pub fn set_own(&mut self, sum: Sum) {
        self.own = sum;
    }

    /// Takes in what the runs at this node's server take and call.
    pub fn set_own_uses(&mut self, uses: Uses) {
        self.own_uses = uses;
    }

    /// The age of a node's word that was sent at `sent`, by that node's clock.
    pub fn report_age(&mut self, now: Time, name: &str, sent: Time) -> Duration {
        self.ages
            .entry(name.to_owned())
            .or_default()
            .observe(now, sent)
    }

    /// Takes in what a node tells of itself and its children.
    pub fn on_child(&mut self, now: Time, child: Origin) {
        self.origins.remove(&child.name);
        let heard = self.children.entry(child.name).or_default();
        heard.take_in(now.before(child.age), child.report);
    }

    /// Takes in that a node tells another one from now on.
    pub fn on_detached(&mut self, name: &str) {
        self.children.remove(name);
        self.origins.remove(name);
    }

    /// Takes in the sum of another failure domain.
    pub fn on_origin(&mut self, now: Time, origin: Origin) {
        self.children.remove(&origin.name);
        let heard = self.origins.entry(origin.name).or_default();
        heard.take_in(now.before(origin.age), origin.report);
    }

    /// Takes in the parent's sum of all nodes but this one and its children.
    pub fn on_parent(&mut self, now: Time, told: SumReport) {
        let above = self.above.get_or_insert_default();
        above.take_in(now, told);
    }

    /// Forgets the parent's word: this node is the head of its failure domain.
    pub fn forget_parent(&mut self) {
        self.above = None;
    }

    /// Forgets the words that are too old.
    pub fn expire(&mut self, now: Time) {
        let max_age = self.times.max_age();
        let is_young = |heard: &Heard| now.since(heard.as_of) <= max_age;
        self.children.retain(|_, heard| is_young(heard));
        self.origins.retain(|_, heard| is_young(heard));
        self.above = self.above.take().filter(is_young);
        let known =
            |name: &String| self.children.contains_key(name) || self.origins.contains_key(name);
        self.ages.retain(|name, _| known(name));
    }

    /// What this node and its children have and ask for, for the parent.
    #[must_use]
    pub fn subtree(&self, with_uses: bool) -> SumReport {
        let heard: Vec<_> = self.children.values().collect();
        self.told(&heard, true, with_uses)
    }

    /// What all others have and ask for, for a child.
    #[must_use]
    pub fn others_for(&self, child: &str, with_uses: bool) -> SumReport {
        let children = self.children.iter();
        let siblings = children.filter(|(name, _)| *name != child);
        let mut heard: Vec<_> = siblings.map(|(_, heard)| heard).collect();
        heard.extend(self.beyond());
        self.told(&heard, true, with_uses)
    }

    /// What all nodes but this one have and ask for.
    #[must_use]
    pub fn others(&self, with_uses: bool) -> SumReport {
        let mut heard: Vec<_> = self.children.values().collect();
        heard.extend(self.beyond());
        self.told(&heard, false, with_uses)
    }

    /// What all nodes have and ask for.
    #[must_use]
    pub fn total(&self) -> Sum {
        self.with_own(self.others(false).sum)
    }

    /// What all others have and ask for, and this node.
    #[must_use]
    pub fn with_own(&self, mut rest: Sum) -> Sum {
        rest.add(&self.own);
        rest
    }

    /// How often sums are told and how long they count.
    #[must_use]
    pub fn times(&self) -> SumTimes {
        self.times
    }

    /// The sums of other failure domains that were told to this node, for its parent.
    #[must_use]
    pub fn origins(&self, now: Time, with_uses: bool) -> Vec<Origin> {
        let origins = self.origins.iter();
        origins
            .map(|(name, heard)| Origin {
                name: name.clone(),
                age: now.since(heard.as_of),
                report: SumReport {
                    sum: heard.sum.clone(),
                    uses: with_uses.then(|| heard.uses.clone()),
                },
            })
            .collect()
    }

    /// The parent's word, which holds all that other heads told; without one, their own words.
    fn beyond(&self) -> Vec<&Heard> {
        match &self.above {
            Some(above) => vec![above],
            None => self.origins.values().collect(),
        }
    }

    fn told(&self, heard: &[&Heard], with_own: bool, with_uses: bool) -> SumReport {
        let mut sum = Sum::default();
        if with_own {
            sum.add(&self.own);
        }
        heard.iter().for_each(|it| sum.add(&it.sum));
        let uses = with_uses.then(|| {
            let own = with_own.then_some(&self.own_uses);
            let all = own.into_iter().chain(heard.iter().map(|it| &it.uses));
            merge(
                all.flatten()
                    .map(|(service, uses)| (*service, uses.as_slice())),
            )
        });
        SumReport { sum, uses }
    }
}
