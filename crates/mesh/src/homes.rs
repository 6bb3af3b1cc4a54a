//! Which node is the home of a workspace's limit.
//!
//! Rendezvous hashing (Thaler and Ravishankar, 1998): each node ranks names by a hash, so that
//! nodes with the same view agree and a change of the view moves little.

use cassiashunt_types::prelude::*;

/// Nodes that are homes. A few are enough, and each node delegates to each of them several times a
/// second.
const HOMES: usize = 3;

/// The nodes of `live` that are homes.
#[must_use]
pub fn homes(live: impl Iterator<Item = String>) -> Vec<String> {
    first_by_rank(live, HOMES)
}

/// The first `count` nodes of `live` in an order on which all nodes agree.
#[must_use]
pub fn first_by_rank(live: impl Iterator<Item = String>, count: usize) -> Vec<String> {
    let mut names: Vec<_> = live.collect();
    names.sort_by_cached_key(|name| std::cmp::Reverse(rank(name, "")));
    names.truncate(count);
    names
}

/// The home of a workspace among `homes`.
#[must_use]
pub fn home_of(homes: &[String], workspace: Workspace) -> Option<&str> {
    let by_rank = homes
        .iter()
        .max_by_key(|name| rank(name, workspace.as_str()));
    by_rank.map(String::as_str)
}

/// The rank of a node for a purpose, on which all nodes agree: FNV-1a over both names, 64 bits,
/// finished by the mixer of `SplitMix64`.
pub(crate) fn rank(node: &str, purpose: &str) -> u64 {
    let mut hash: u64 = 0xcbf2_9ce4_8422_2325;
    for byte in node.bytes().chain([0xff]).chain(purpose.bytes()) {
        hash = (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
    }
    hash = (hash ^ (hash >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    hash = (hash ^ (hash >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    hash ^ (hash >> 31)
}
