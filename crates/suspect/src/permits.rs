//! Permits to run a suspect alone. One node, the coordinator, gives those for a fingerprint.

use std::collections::HashMap;

use cassiashunt_types::{ClockDrift, prelude::*};
use serde::{Deserialize, Serialize};

use crate::{
    Crash, Decision, Fingerprint, Suspects, coordinator,
    message::{AskPermit, ReleasePermit, StrikeRecord},
};

/// Settings of the permits.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields, default)]
pub struct Options {
    /// How long a permit is valid, on its holder's clock, from when the holder asked. The owner
    /// aborts a run that has not ended by then.
    pub validity: Duration,
    /// Time within which every node learns of a membership change.
    pub spread: Duration,
    /// The retry-after delay when a permit is not given.
    pub retry_after: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            validity: Duration::from_secs(30),
            spread: Duration::from_secs(5),
            retry_after: Duration::from_millis(200),
        }
    }
}

/// The permits that one node has given as coordinator.
#[derive(Debug)]
pub struct Permits {
    opts: Options,
    node: NodeId,
    outstanding: HashMap<Fingerprint, Permit>,
    /// The highest permit number that each holder has released. A permit request that arrives after
    /// its release is refused.
    released: HashMap<NodeId, u64>,
    /// Recent memberships, oldest first. Those that ended longer ago than
    /// [`Self::takeover_delay`] are removed.
    views: Vec<View>,
}

/// The live nodes from a point in time on.
#[derive(Debug)]
struct View {
    began: Time,
    live: Vec<NodeId>,
}

/// A permit that has been given and not released.
#[derive(Debug, Clone, Copy)]
struct Permit {
    holder: NodeId,
    number: u64,
    at: Time,
}

impl Permit {
    fn matches_request(&self, ask: &AskPermit) -> bool {
        (self.holder.0, self.number) == (ask.holder, ask.number)
    }
}

impl Permits {
    /// The permits of a node that starts at `now`. Another node may have given permits before, so
    /// this one gives none until all of those have expired.
    #[must_use]
    pub fn new(now: Time, node: NodeId, opts: Options) -> Self {
        let initial = View {
            began: now,
            live: Vec::new(),
        };
        Self {
            opts,
            node,
            outstanding: HashMap::new(),
            released: HashMap::new(),
            views: vec![initial],
        }
    }

    /// Updates the live nodes, this one included. To be called whenever they change.
    pub fn on_members(&mut self, now: Time, live: &[NodeId]) {
        self.released.retain(|node, _| live.contains(node));
        self.views.push(View {
            began: now,
            live: live.to_vec(),
        });
        let horizon = now.before(self.takeover_delay());
        let outdated = self
            .views
            .iter()
            .skip(1)
            .take_while(|view| view.began < horizon)
            .count();
        self.views.drain(..outdated);
    }

    /// The node to ask for a permit, or `None` if no node is live.
    #[must_use]
    pub fn coordinator(&self, fingerprint: Fingerprint) -> Option<NodeId> {
        let latest = self.views.last().expect("`views` is never empty");
        coordinator(fingerprint, &latest.live)
    }

    /// Gives a permit to run a suspect alone at the holder's server, to be used within
    /// [`Options::validity`] from when the holder asked.
    ///
    /// # Errors
    ///
    /// A not-run refusal if [`Suspects::check`] refuses the request, if its permit is held already,
    /// or if another node may still have given a permit for the fingerprint. The coordinator's own
    /// server gets no permit: both could be lost together, and the strike with them.
    pub fn ask(
        &mut self,
        now: Time,
        ask: &AskPermit,
        suspects: &mut Suspects,
    ) -> Result<(), Refusal> {
        self.tick(now, suspects);
        let fingerprint = Fingerprint(ask.fingerprint);
        if let Decision::Refuse(refusal) = suspects.check(now, fingerprint) {
            return Err(refusal);
        }
        if self.can_give(now, ask) {
            self.outstanding.entry(fingerprint).or_insert(Permit {
                holder: NodeId(ask.holder),
                number: ask.number,
                at: now,
            });
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Suspect).retry_after(self.opts.retry_after))
    }

    fn can_give(&self, now: Time, ask: &AskPermit) -> bool {
        let (fingerprint, holder) = (Fingerprint(ask.fingerprint), NodeId(ask.holder));
        let is_already_released = self
            .released
            .get(&holder)
            .is_some_and(|number| ask.number <= *number);
        let is_free = self
            .outstanding
            .get(&fingerprint)
            .is_none_or(|permit| permit.matches_request(ask));
        is_free
            && !is_already_released
            && holder != self.node
            && self.is_sole_coordinator(now, fingerprint)
    }

    /// Ends a permit. A strike in the release is recorded first, so that it counts when the next
    /// permit is requested.
    pub fn release(&mut self, now: Time, release: &ReleasePermit, suspects: &mut Suspects) {
        if let Some(strike) = &release.strike {
            suspects.merge_record(now, strike);
        }
        let holder = NodeId(release.holder);
        let highest = self.released.entry(holder).or_default();
        *highest = release.number.max(*highest);
        let fingerprint = Fingerprint(release.fingerprint);
        let is_released = |it: &Permit| (it.holder, it.number) == (holder, release.number);
        if self.outstanding.get(&fingerprint).is_some_and(is_released) {
            self.outstanding.remove(&fingerprint);
        }
    }

    /// Whether a permit for the fingerprint is outstanding.
    #[must_use]
    pub fn has_given(&self, fingerprint: Fingerprint) -> bool {
        self.outstanding.contains_key(&fingerprint)
    }

    /// Removes permits that expired without a release and records a strike for each: the holder may
    /// have been lost together with its server. To be called about once a second.
    pub fn tick(&mut self, now: Time, suspects: &mut Suspects) {
        let max_validity = ClockDrift::default().max_elapsed(self.opts.validity);
        self.outstanding.retain(|fingerprint, permit| {
            let has_expired = now.since(permit.at) > max_validity;
            if has_expired {
                suspects.merge_record(now, &strike_for_expired(*fingerprint, permit));
            }
            !has_expired
        });
    }

    /// The longest time for which a permit of an earlier coordinator may still be valid.
    fn takeover_delay(&self) -> Duration {
        self.opts.spread + ClockDrift::default().max_elapsed(self.opts.validity)
    }

    /// Whether this node was the coordinator in every view of the last [`Self::takeover_delay`], so
    /// that no other node's permit can still be valid.
    fn is_sole_coordinator(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let horizon = now.before(self.takeover_delay());
        let ended_after = |at: usize| self.views.get(at + 1).is_none_or(|it| it.began >= horizon);
        let recent = (0..self.views.len()).filter(|at| ended_after(*at));
        recent
            .map(|at| &self.views[at].live)
            .all(|live| coordinator(fingerprint, live) == Some(self.node))
    }
}

/// The strike for an expired permit, whose holder is assumed to be lost.
fn strike_for_expired(fingerprint: Fingerprint, permit: &Permit) -> StrikeRecord {
    StrikeRecord {
        fingerprint: fingerprint.0,
        owner: permit.holder.0,
        number: Crash::NODE_LOST,
        age_ms: 0,
        is_alone: true,
        is_cleared: false,
    }
}
