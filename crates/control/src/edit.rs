//! Edits of the control value as pure functions.
//!
//! Each returns the new value, to be written by compare-and-swap.

use std::fmt;

use cassiashunt_types::{Epoch, FailureDomain, NodeId};

use crate::{Control, Domain, MAX_RELAYS_PER_DOMAIN, PreviousSet, RelayEntry, Shard, ShardKey};

/// Why an edit cannot be applied to a control value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The epoch of the shard is not the expected one.
    EpochMoved {
        /// The epoch in the control value.
        current: Epoch,
    },
    /// The node to remove is not a relay of the failure domain.
    NotARelay,
    /// The node to add already is a relay of the failure domain.
    AlreadyARelay,
    /// The failure domain already has [`MAX_RELAYS_PER_DOMAIN`] relays.
    DomainFull,
    /// The edit changes nothing.
    NoChange,
}

impl fmt::Display for Error {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::EpochMoved { current } => write!(f, "the shard is at epoch {current} by now"),
            Self::NotARelay => f.write_str("the node to remove is no relay"),
            Self::AlreadyARelay => f.write_str("the node to add is a relay already"),
            Self::DomainFull => f.write_str("the failure domain has all its relays"),
            Self::NoChange => f.write_str("the edit changes nothing"),
        }
    }
}

impl std::error::Error for Error {}

/// Removes, adds or replaces one relay of a failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replace {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The relay to remove, if any.
    pub remove: Option<NodeId>,
    /// The relay to add, if any.
    pub add: Option<NodeId>,
}

/// A claim of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOver {
    /// The shard.
    pub key: ShardKey,
    /// The epoch that the claimant read; zero for a shard that was never claimed.
    pub expected: Epoch,
    /// The claiming node, the new holder.
    pub primary: NodeId,
    /// The node that will keep copies, if the shard has a backup.
    pub backup: Option<NodeId>,
    /// Whether the records of the previous holder are lost.
    pub lossy: bool,
}

/// Removes, adds or replaces one relay.
///
/// The old relay set stays among the previous sets until [`prune_previous`] removes it.
///
/// # Errors
///
/// If the edit names no relay, the relay to remove is not one, the node to add already is one, or
/// the domain has its maximum of relays.
pub fn replace(control: &Control, edit: Replace) -> Result<Control, Error> {
    if edit.remove.is_none() && edit.add.is_none() {
        return Err(Error::NoChange);
    }
    let mut next = with_next_revision(control);
    let revision = next.revision;
    let domain = domain_mut(&mut next, edit.domain);
    let replaced = PreviousSet {
        relays: domain.nodes().collect(),
        replaced: revision,
    };
    if let Some(removed) = edit.remove {
        domain.relay(removed).ok_or(Error::NotARelay)?;
        domain.relays.retain(|relay| relay.node != removed);
    }
    if let Some(added) = edit.add {
        add_relay(domain, added, revision)?;
    }
    domain.previous.push(replaced);
    Ok(next)
}

fn add_relay(
    domain: &mut Domain,
    node: NodeId,
    since: cassiashunt_types::Revision,
) -> Result<(), Error> {
    if domain.relay(node).is_some() {
        return Err(Error::AlreadyARelay);
    }
    if domain.relays.len() >= MAX_RELAYS_PER_DOMAIN {
        return Err(Error::DomainFull);
    }
    domain.relays.push(RelayEntry { node, since });
    Ok(())
}

/// Removes the previous relay sets that `relay` found to be out of use.
///
/// These are the sets that were replaced up to the revision that added `relay`. Only a relay that
/// vouches may request this.
///
/// # Errors
///
/// If `relay` is not a relay of the domain, or there is no such set.
pub fn prune_previous(
    control: &Control,
    name: FailureDomain,
    relay: NodeId,
) -> Result<Control, Error> {
    let mut next = with_next_revision(control);
    let domain = domain_mut(&mut next, name);
    let since = domain.relay(relay).ok_or(Error::NotARelay)?.since;
    let before = domain.previous.len();
    domain.previous.retain(|previous| previous.replaced > since);
    if domain.previous.len() == before {
        return Err(Error::NoChange);
    }
    Ok(next)
}

/// Assigns a shard to a new holder under the next epoch.
///
/// # Errors
///
/// If the epoch of the shard is not the expected one.
pub fn take_over(control: &Control, claim: TakeOver) -> Result<Control, Error> {
    let current = control.epoch(claim.key);
    if current != claim.expected {
        return Err(Error::EpochMoved { current });
    }
    let mut next = with_next_revision(control);
    let epoch = current.next();
    let lossy = match claim.lossy {
        true => Some(epoch),
        false => control.shard(claim.key).and_then(|shard| shard.lossy),
    };
    let shard = Shard {
        key: claim.key,
        epoch,
        primary: claim.primary,
        backup: claim.backup,
        lossy,
    };
    next.shards.retain(|other| other.key != claim.key);
    next.shards.push(shard);
    next.shards.sort_by_key(|shard| shard.key);
    Ok(next)
}

fn with_next_revision(control: &Control) -> Control {
    Control {
        revision: control.revision.next(),
        ..control.clone()
    }
}

fn domain_mut(control: &mut Control, name: FailureDomain) -> &mut Domain {
    let at = match control
        .domains
        .iter()
        .position(|domain| domain.name == name)
    {
        Some(at) => at,
        None => insert_domain(control, name),
    };
    &mut control.domains[at]
}

fn insert_domain(control: &mut Control, name: FailureDomain) -> usize {
    let at = control.domains.partition_point(|domain| domain.name < name);
    let domain = Domain {
        name,
        relays: Vec::new(),
        previous: Vec::new(),
    };
    control.domains.insert(at, domain);
    at
}
