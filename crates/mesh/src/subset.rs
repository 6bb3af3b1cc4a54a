//! Which owners of a service a node keeps connections to.
//!
//! With few owners it is all of them. With many, each node ranks them by a hash with its own name
//! (rendezvous hashing), so that the nodes' choices spread over the owners and a change of the
//! fleet moves little; half of them are of its own failure domain where there are so many.

use cassiashunt_types::prelude::*;

use crate::homes::rank;

/// Owners of one service to which a node is connected, where there are more.
pub const SUBSET_SIZE: usize = 24;
/// The most times by which the subset is made larger.
const MOST_WIDTH: usize = 64;
/// How much more loaded the own subset may be than the whole service, in parts of its slots, before
/// it is made larger.
const WORSE_BY: f64 = 0.15;
/// The load of the own subset below which it is large enough whatever the others have.
const HAS_ROOM: f64 = 0.8;
/// How long the own subset has to be too small before it is made larger: links take a moment.
const SHORT_FOR: Duration = Duration::from_secs(1);
/// How long a larger subset is kept.
const KEPT: Duration = Duration::from_secs(10);

/// The owners that the node `own` is connected to, `width` times the usual number.
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
    let from_near = (count / 2).max(count.saturating_sub(far.len()));
    let near: Vec<_> = near.into_iter().take(from_near).collect();
    let from_far = count - near.len();
    let chosen = near.into_iter().chain(far.into_iter().take(from_far));
    chosen.map(|(name, _)| name).collect()
}

/// How large a node's subset of a service's owners is, so that it is never full while others of the
/// service have room.
#[derive(Debug, Clone, Copy)]
pub struct SubsetWidth {
    factor: usize,
    widened: Time,
    short_since: Option<Time>,
}

impl Default for SubsetWidth {
    fn default() -> Self {
        Self {
            factor: 1,
            widened: Time::ZERO,
            short_since: None,
        }
    }
}

impl SubsetWidth {
    /// How many times the usual number of owners are in the subset.
    #[must_use]
    pub fn factor(&self) -> usize {
        self.factor
    }

    /// Takes in the load of the own subset, where any of it serves, and of the whole service, in
    /// parts of their slots; to be called about twice a second. Whether the subset changes.
    pub fn step(&mut self, now: Time, subset: Option<f64>, service: f64) -> bool {
        let is_short = subset.is_none_or(|load| load > HAS_ROOM && load > service + WORSE_BY);
        let before = self.factor;
        if !is_short {
            self.short_since = None;
        }
        if is_short {
            let since = *self.short_since.get_or_insert(now);
            if now.since(since) < SHORT_FOR {
                return false;
            }
            self.short_since = Some(now);
            self.factor = (2 * self.factor).min(MOST_WIDTH);
            self.widened = now;
        } else if now.since(self.widened) >= KEPT {
            self.factor = (self.factor / 2).max(1);
            self.widened = now;
        }
        self.factor != before
    }
}
