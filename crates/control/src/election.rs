use cassiashunt_types::{FailureDomain, NodeId};

use crate::{Control, MAX_RELAYS_PER_DOMAIN, edit::Replace};

/// A live node that may become a relay.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Candidate {
    /// The node.
    pub node: NodeId,
    /// The failure domain of the node.
    pub domain: FailureDomain,
}

/// The change to the relays of `domain` that is due, one relay at a time; `None` if there is none.
///
/// Live relays are kept, so that a joining node does not move a role. A relay that is no longer
/// live is replaced by the live node with the highest rendezvous hash that is not a relay. No relay
/// is removed without a replacement, because no node would vouch for a domain without relays.
#[must_use]
pub fn due_replacement(
    control: &Control,
    domain: FailureDomain,
    live: &[Candidate],
) -> Option<Replace> {
    let relays: Vec<NodeId> = control
        .domain(domain)
        .map(|domain| domain.nodes().collect())
        .unwrap_or_default();
    let add = first_candidate(domain, &relays, live)?;
    let is_live = |node: NodeId| live.iter().any(|member| member.node == node);
    let remove = relays.iter().copied().find(|relay| !is_live(*relay));
    if remove.is_none() && relays.len() >= MAX_RELAYS_PER_DOMAIN {
        return None;
    }
    Some(Replace {
        domain,
        remove,
        add: Some(add),
    })
}

fn first_candidate(domain: FailureDomain, relays: &[NodeId], live: &[Candidate]) -> Option<NodeId> {
    live.iter()
        .filter(|member| member.domain == domain)
        .map(|member| member.node)
        .filter(|node| !relays.contains(node))
        .max_by_key(|node| (score(domain, *node), *node))
}

/// Rendezvous score of a node within a failure domain: FNV-1a over both, then a finalizing mix.
fn score(domain: FailureDomain, node: NodeId) -> u64 {
    const FNV_OFFSET: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0000_0100_0000_01b3;
    let bytes = domain.as_str().bytes().chain(node.0.to_le_bytes());
    let hash = bytes.fold(FNV_OFFSET, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    });
    let mixed = (hash ^ (hash >> 33)).wrapping_mul(0xff51_afd7_ed55_8ccd);
    mixed ^ (mixed >> 33)
}
