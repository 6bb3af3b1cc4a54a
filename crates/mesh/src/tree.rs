//! The aggregation tree that carries sums, proofs and updates through the fleet.
//!
//! The nodes of a failure domain are ranked by a hash of their names (rendezvous hashing, as for
//! [`homes`](crate::homes)), and divided into cells if there are many. A node reports to the
//! highest-ranked node of its cell that it can reach. That node reports to the highest-ranked one of
//! the domain, the head, and the heads of the domains report to each other. There is no election and
//! no claim to a role. A node reports only to nodes that rank above it, so that no sum returns to the
//! node that made it, even while nodes disagree on which nodes are reachable.

use std::collections::BTreeMap;

use cassiashunt_types::prelude::*;

use crate::homes::rank;

/// The approximate maximum number of nodes in a cell. The first node of a cell answers that many
/// nodes a few times a second.
const TARGET_CELL_SIZE: usize = 48;
/// The number of reachable nodes of a list to keep connections to, so that a lost head is replaced at
/// once.
const REACHABLE_PER_LIST: usize = 2;
/// The maximum number of nodes of a list that are considered; if none of them is reachable, the list
/// counts as empty.
const MAX_CANDIDATES: usize = 8;

/// The position of a node in the aggregation tree, and thereby the nodes that it reports to.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum TreePosition {
    /// The node reports to this parent.
    Member(String),
    /// The node reaches no node of its failure domain that ranks above it, and reports to these heads
    /// of other domains.
    Head(Vec<String>),
}

impl TreePosition {
    /// Returns the nodes that reports are sent to.
    #[must_use]
    pub fn recipients(&self) -> &[String] {
        match self {
            Self::Member(parent) => std::slice::from_ref(parent),
            Self::Head(others) => others,
        }
    }
}

/// The nodes that one node may report to, highest rank first.
#[derive(Debug, Clone, Default)]
pub struct Tree {
    /// Nodes of the own cell that rank above the own node.
    cell_above: Vec<String>,
    /// Nodes of the own failure domain that rank above the own node.
    domain_above: Vec<String>,
    /// All nodes of each other failure domain.
    other_domains: BTreeMap<FailureDomain, Vec<String>>,
}

impl Tree {
    /// Builds the tree as seen by the node `own`. `nodes` may include it or not.
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
        let mut domain_above = domains.remove(&own_domain).unwrap_or_default();
        let cells = (domain_above.len() + 1).div_ceil(TARGET_CELL_SIZE);
        let own_rank = rank(own, own_domain.as_str());
        domain_above.retain(|name| rank(name, own_domain.as_str()) > own_rank);
        let own_cell = cell_of(own, cells);
        let cell_above = domain_above
            .iter()
            .filter(|name| cell_of(name, cells) == own_cell);
        Self {
            cell_above: cell_above.cloned().collect(),
            domain_above,
            other_domains: domains,
        }
    }

    /// Returns the node's position, given which nodes it reaches.
    pub fn position(&self, is_reachable: impl Fn(&str) -> bool) -> TreePosition {
        let first_reachable = |names: &[String]| {
            let mut candidates = names.iter().take(MAX_CANDIDATES);
            candidates.find(|name| is_reachable(name)).cloned()
        };
        match first_reachable(&self.cell_above).or_else(|| first_reachable(&self.domain_above)) {
            Some(parent) => TreePosition::Member(parent),
            None => TreePosition::Head(
                self.other_domains
                    .values()
                    .filter_map(|it| first_reachable(it))
                    .collect(),
            ),
        }
    }

    /// Counts the reachable nodes that rank above this one, in its cell or, if that list is short, in
    /// its failure domain. The two nodes of each domain with fewer than two of them watch the store.
    pub fn count_reachable_above(&self, is_reachable: impl Fn(&str) -> bool) -> usize {
        let above = if self.cell_above.len() < REACHABLE_PER_LIST {
            &self.domain_above
        } else {
            &self.cell_above
        };
        above.iter().filter(|name| is_reachable(name)).count()
    }

    /// Returns the nodes to keep connections to for the tree.
    pub fn wanted(&self, is_reachable: impl Fn(&str) -> bool) -> Vec<String> {
        let mut wanted = Vec::new();
        let mut add = |names: &[String]| {
            let mut reached = 0;
            for name in names.iter().take(MAX_CANDIDATES) {
                wanted.push(name.clone());
                reached += usize::from(is_reachable(name));
                if reached == REACHABLE_PER_LIST {
                    break;
                }
            }
        };
        add(&self.cell_above);
        if self.cell_above.len() < REACHABLE_PER_LIST {
            add(&self.domain_above);
        }
        if self.domain_above.len() < REACHABLE_PER_LIST
            || self.count_reachable_above(&is_reachable) == 0
        {
            self.other_domains.values().for_each(|names| add(names));
        }
        wanted.sort();
        wanted.dedup();
        wanted
    }
}

/// Returns the cell of a node in a domain with `cells` cells: the highest-ranked one by a hash of the
/// node and the cell, so that few nodes move when the number of cells changes.
fn cell_of(name: &str, cells: usize) -> usize {
    (0..cells)
        .max_by_key(|cell| rank(name, &format!("cell {cell}")))
        .unwrap_or(0)
}
