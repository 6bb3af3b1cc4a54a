//! Where a node stands in the tree that carries sums, proofs and news through the fleet.
//!
//! The nodes of a failure domain are ranked by a hash of their names (rendezvous hashing, as for
//! [`homes`](crate::homes)), and divided into cells where they are many. A node tells the first of
//! its cell that it reaches; that one tells the first of the domain; the first ones of the domains
//! tell each other. Nobody is elected and nothing is claimed. A node tells only nodes that rank
//! above it, so that no sum comes back to where it was made, whatever the nodes believe of each
//! other.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::homes::rank;

/// The most nodes of a cell, about: a head answers so many a few times a second.
const CELL: usize = 48;
/// Nodes above that are kept within reach, so that a head that is lost is replaced at once.
const IN_REACH: usize = 2;
/// Nodes that are tried at the most before a node goes without.
const TRIED: usize = 8;

/// What a node does in the tree.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TreePosition {
    /// It tells this node.
    Member(String),
    /// It is the first of its failure domain that it knows of, and tells the first ones of the
    /// others.
    Head(Vec<String>),
}

impl TreePosition {
    /// The nodes that are told.
    #[must_use]
    pub fn recipients(&self) -> &[String] {
        match self {
            Self::Member(parent) => std::slice::from_ref(parent),
            Self::Head(others) => others,
        }
    }
}

/// The nodes that one node may have to tell, by rank.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    /// Those of the own cell that rank above it.
    cell: Vec<String>,
    /// Those of the own failure domain that rank above it.
    domain: Vec<String>,
    /// Those of each other failure domain.
    others: BTreeMap<FailureDomain, Vec<String>>,
}

impl Tree {
    /// The place of the node `own` among `nodes`, itself included or not.
    #[must_use]
    pub fn new(
        own: &str,
        own_domain: FailureDomain,
        nodes: impl Iterator<Item = (String, FailureDomain)>,
    ) -> Self {
        let mut domains: BTreeMap<FailureDomain, Vec<String>> = BTreeMap::new();
        for (name, domain) in nodes.filter(|(name, _)| name != own) {
            domains.entry(domain).or_default().push(name);
        }
        for (domain, names) in &mut domains {
            names.sort_by_cached_key(|name| std::cmp::Reverse(rank(name, domain.as_str())));
        }
        let mut domain = domains.remove(&own_domain).unwrap_or_default();
        let cells = (domain.len() + 1).div_ceil(CELL);
        let own_rank = rank(own, own_domain.as_str());
        domain.retain(|name| rank(name, own_domain.as_str()) > own_rank);
        let own_cell = cell_of(own, cells);
        let cell = domain
            .iter()
            .filter(|name| cell_of(name, cells) == own_cell);
        Self {
            cell: cell.cloned().collect(),
            domain,
            others: domains,
        }
    }

    /// What the node does, by which nodes it reaches.
    pub fn position(&self, reaches: impl Fn(&str) -> bool) -> TreePosition {
        let first = |names: &[String]| {
            let mut tried = names.iter().take(TRIED);
            tried.find(|name| reaches(name)).cloned()
        };
        match first(&self.cell).or_else(|| first(&self.domain)) {
            Some(parent) => TreePosition::Member(parent),
            None => TreePosition::Head(self.others.values().filter_map(|it| first(it)).collect()),
        }
    }

    /// How many nodes of the own failure domain the node reaches that rank above it, of the few that
    /// are kept within reach. Two nodes of each domain that have fewer than two look at the store.
    pub fn count_reachable_above(&self, reaches: impl Fn(&str) -> bool) -> usize {
        let above = if self.cell.len() < IN_REACH {
            &self.domain
        } else {
            &self.cell
        };
        above.iter().filter(|name| reaches(name)).count()
    }

    /// The nodes to keep connections to.
    pub fn wanted(&self, reaches: impl Fn(&str) -> bool) -> Vec<String> {
        let mut wanted = Vec::new();
        let mut want = |names: &[String]| {
            let mut reached = 0;
            for name in names.iter().take(TRIED) {
                wanted.push(name.clone());
                reached += usize::from(reaches(name));
                if reached == IN_REACH {
                    break;
                }
            }
        };
        want(&self.cell);
        if self.cell.len() < IN_REACH {
            want(&self.domain);
        }
        if self.domain.len() < IN_REACH || self.count_reachable_above(&reaches) == 0 {
            self.others.values().for_each(|names| want(names));
        }
        wanted.sort();
        wanted.dedup();
        wanted
    }
}

/// The cell of a node in a domain with so many of them: the first by a hash of both, so that few
/// nodes move when their number changes.
fn cell_of(name: &str, cells: usize) -> usize {
    (0..cells)
        .max_by_key(|cell| rank(name, &format!("cell {cell}")))
        .unwrap_or(0)
}
