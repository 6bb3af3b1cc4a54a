//! Selection of the owners of a service that a node keeps connections to.
//!
//! With few owners, a node connects to all of them. With many, each node ranks them by a hash that
//! includes its own name (rendezvous hashing), so that the subsets spread evenly over the owners and
//! a node that joins or leaves changes few connections. Half of the subset is in the node's own
//! failure domain if that has enough owners.

use cassiashunt_types::prelude::*;

use crate::homes::rank;

/// The number of owners of one service to which a node is connected if there are more than that.
pub const SUBSET_SIZE: usize = 24;
/// The maximum factor by which the subset is enlarged.
const MAX_WIDTH_FACTOR: usize = 64;
/// How much the load of the subset may exceed the load of the service before the subset is enlarged,
/// as a fraction of the slots.
const WIDEN_LOAD_GAP: f64 = 0.15;
/// The load, as a fraction of the slots, up to which the subset is large enough whatever the load of
/// the service is.
const WIDEN_MIN_LOAD: f64 = 0.8;
/// How long the subset has to be too small before it is enlarged, since new links take time to open.
const WIDEN_DELAY: Duration = Duration::from_secs(1);
/// How long an enlarged subset is kept before its factor is halved.
const NARROW_DELAY: Duration = Duration::from_secs(10);

/// Returns the owners that the node `own` connects to: up to `width` times [`SUBSET_SIZE`].
#[must_use]
pub fn subset(
    own: &str,
    own_domain: FailureDomain,
    owners: Vec<(String, FailureDomain)>,
    width: usize,
) -> Vec<String> {
    let count = SUBSET_SIZE * width;
    if owners.len() <= count {
        return owners.into_iter().map(|(name, _)| name).collect();
    }
    let mut owners = owners;
    owners.sort_by_cached_key(|(name, _)| std::cmp::Reverse(rank(name, own)));
    let (near, far): (Vec<_>, Vec<_>) = owners
        .into_iter()
        .partition(|(_, domain)| *domain == own_domain);
    let near_count = (count / 2).max(count.saturating_sub(far.len()));
    let near: Vec<_> = near.into_iter().take(near_count).collect();
    let far_count = count - near.len();
    let chosen = near.into_iter().chain(far.into_iter().take(far_count));
    chosen.map(|(name, _)| name).collect()
}

/// The size of a node's subset of a service's owners. It grows while the subset is full and other
/// owners of the service have free slots.
#[derive(Debug, Clone, Copy)]
pub struct SubsetWidth {
    factor: usize,
    changed_at: Time,
    too_small_since: Option<Time>,
}

impl Default for SubsetWidth {
    fn default() -> Self {
        Self {
            factor: 1,
            changed_at: Time::ZERO,
            too_small_since: None,
        }
    }
}

impl SubsetWidth {
    /// Returns the factor by which [`SUBSET_SIZE`] is multiplied.
    #[must_use]
    pub fn factor(&self) -> usize {
        self.factor
    }

    /// Adapts the factor to the loads of the subset and of the whole service, as fractions of their
    /// slots. `subset` is `None` if no owner in it serves requests. Call about twice a second. Returns
    /// whether the factor changed.
    pub fn step(&mut self, now: Time, subset: Option<f64>, service: f64) -> bool {
        let is_too_small =
            subset.is_none_or(|load| load > WIDEN_MIN_LOAD && load > service + WIDEN_LOAD_GAP);
        let before = self.factor;
        if !is_too_small {
            self.too_small_since = None;
        }
        if is_too_small {
            let since = *self.too_small_since.get_or_insert(now);
            if now.since(since) < WIDEN_DELAY {
                return false;
            }
            self.too_small_since = Some(now);
            self.factor = (2 * self.factor).min(MAX_WIDTH_FACTOR);
            self.changed_at = now;
        } else if now.since(self.changed_at) >= NARROW_DELAY {
            self.factor = (self.factor / 2).max(1);
            self.changed_at = now;
        }
        self.factor != before
    }
}
