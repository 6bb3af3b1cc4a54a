//! Pure edits of the control value; each returns the value to write by compare-and-swap.

use std::fmt;

use cassiashunt_types::{Epoch, FailureDomain, NodeId};

use crate::{Control, Domain, MAX_RELAYS_PER_DOMAIN, PreviousSet, RelayEntry, Shard, ShardKey};

/// Why an edit does not apply to this control value.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Error {
    /// The shard's epoch is no longer the expected one.
    EpochMoved {
        /// The epoch that it has now.
        current: Epoch,
    },
    /// The node to remove is no relay of the failure domain.
    NotARelay,
    /// The node to add is a relay already.
    AlreadyARelay,
    /// The failure domain has as many relays as it may have.
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

/// A change of one relay of one failure domain.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Replace {
    /// The failure domain.
    pub domain: FailureDomain,
    /// The relay that goes.
    pub remove: Option<NodeId>,
    /// The relay that comes.
    pub add: Option<NodeId>,
}

/// A claim of a shard.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct TakeOver {
    /// The shard.
    pub key: ShardKey,
    /// The epoch that the claimant saw; zero for a shard that nobody held.
    pub expected: Epoch,
    /// The claimant.
    pub primary: NodeId,
    /// The node that is to keep copies.
    pub backup: Option<NodeId>,
    /// Whether the predecessor's records are lost.
    pub lossy: bool,
}

/// Replaces one relay; the old set is kept until [`prune_previous`].
///
/// # Errors
///
/// Where the relay to remove is none, the one to add is one, or the domain is full.
pub fn replace(control: &Control, edit: Replace) -> Result<Control, Error> {
    if edit.remove.is_none() && edit.add.is_none() {
        return Err(Error::NoChange);
    }
    let mut next = bumped(control);
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

/// Forgets the relay sets that `relay` has seen out of use.
///
/// Only a relay that vouches may ask for this: it forgets what was replaced up to its own entry.
///
/// # Errors
///
/// Where `relay` is none, or there is nothing to forget.
pub fn prune_previous(
    control: &Control,
    name: FailureDomain,
    relay: NodeId,
) -> Result<Control, Error> {
    let mut next = bumped(control);
    let domain = domain_mut(&mut next, name);
    let since = domain.relay(relay).ok_or(Error::NotARelay)?.since;
    let before = domain.previous.len();
    domain.previous.retain(|previous| previous.replaced > since);
    if domain.previous.len() == before {
        return Err(Error::NoChange);
    }
    Ok(next)
}

/// Gives a shard to a new holder under the next epoch.
///
/// # Errors
///
/// Where the shard's epoch is no longer the expected one.
pub fn take_over(control: &Control, claim: TakeOver) -> Result<Control, Error> {
    let current = control.epoch(claim.key);
    if current != claim.expected {
        return Err(Error::EpochMoved { current });
    }
    let mut next = bumped(control);
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

fn bumped(control: &Control) -> Control {
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
