//! Selects the coordinator of a fingerprint and the node whose server runs it, by rendezvous
//! hashing.

use cassiashunt_types::NodeId;

use crate::Fingerprint;

/// The node among `live` that gives permits for the fingerprint, or `None` if `live` is empty: the
/// node with the highest hash of both (rendezvous hashing), so that few fingerprints move when a
/// node joins or leaves.
#[must_use]
pub fn coordinator(fingerprint: Fingerprint, live: &[NodeId]) -> Option<NodeId> {
    live.iter()
        .copied()
        .max_by_key(|node| (splitmix64(fingerprint.0 ^ splitmix64(node.0)), *node))
}

/// The rendezvous weight of the node called `name` for a fingerprint. Where suspects run beside
/// other requests, the suspect runs at the server of the node with the highest weight.
#[must_use]
pub fn node_weight(fingerprint: Fingerprint, name: &str) -> u64 {
    splitmix64(fingerprint.0 ^ splitmix64(Fingerprint::of_parts([name.as_bytes()]).0))
}

/// One step of SplitMix64.
fn splitmix64(x: u64) -> u64 {
    let x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
