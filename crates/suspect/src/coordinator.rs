//! The node that gives permits for a fingerprint, and the one beside which it runs.

use cassiashunt_types::NodeId;

use crate::Fingerprint;

/// The node among `live` that gives permits for the fingerprint: the one with the highest hash of
/// both (rendezvous hashing), so that few fingerprints move when a node comes or goes.
#[must_use]
pub fn coordinator(fingerprint: Fingerprint, live: &[NodeId]) -> Option<NodeId> {
    live.iter()
        .copied()
        .max_by_key(|node| (mix(fingerprint.0 ^ mix(node.0)), *node))
}

/// The weight of a node, by its name, as the place where a suspect runs; the highest is it.
#[must_use]
pub fn node_weight(fingerprint: Fingerprint, name: &str) -> u64 {
    mix(fingerprint.0 ^ mix(Fingerprint::of_parts([name.as_bytes()]).0))
}

/// The finalizer of SplitMix64.
fn mix(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
