//! Selection of the home node of each workspace's limit.
//!
//! Uses rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks the names by a hash, so
//! that nodes with the same view agree and a changed view moves few workspaces.

use cassiashunt_types::{prelude::*, stable_hash};

/// The number of nodes that act as homes. A few are enough, and each node sends a delegation to each
/// of them several times a second.
const HOME_COUNT: usize = 3;

/// Returns the nodes of `live` that act as homes.
#[must_use]
pub fn homes(live: impl Iterator<Item = String>) -> Vec<String> {
    first_by_rank(live, HOME_COUNT)
}

/// Returns the `count` highest-ranked nodes of `live`, in an order on which all nodes agree.
#[must_use]
pub fn first_by_rank(live: impl Iterator<Item = String>, count: usize) -> Vec<String> {
    let mut names: Vec<_> = live.collect();
    names.sort_by_cached_key(|name| std::cmp::Reverse(rank(name, "")));
    names.truncate(count);
    names
}

/// Returns the home of a workspace among `homes`; `None` if there are no homes.
#[must_use]
pub fn home_of(homes: &[String], workspace: Workspace) -> Option<&str> {
    let by_rank = homes
        .iter()
        .max_by_key(|name| rank(name, workspace.as_str()));
    by_rank.map(String::as_str)
}

/// Returns the rank of a node for a purpose, on which all nodes agree.
pub(crate) fn rank(node: &str, purpose: &str) -> u64 {
    stable_hash(node.bytes().chain([0xff]).chain(purpose.bytes()))
}
