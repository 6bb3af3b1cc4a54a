//! Permits to run a suspect alone, given by one node for each fingerprint.

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
    /// How long a permit holds, on its holder's clock from when it asked. The run must have ended
    /// by then; one that has not is cut off by its owner.
    pub validity: Duration,
    /// The time in which every node hears of a change of the membership.
    pub spread: Duration,
    /// The shortest time to come back after a refused permit.
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

/// The permits that one node has given.
#[derive(Debug)]
pub struct Permits {
    opts: Options,
    me: NodeId,
    given: HashMap<Fingerprint, Given>,
    /// The highest number of each holder that was given back: a question that comes after its
    /// release is too late.
    released: HashMap<NodeId, u64>,
    /// The memberships of late, oldest first, with the time when each began.
    views: Vec<View>,
}

#[derive(Debug)]
struct View {
    began: Time,
    live: Vec<NodeId>,
}

#[derive(Debug, Clone, Copy)]
struct Given {
    holder: NodeId,
    number: u64,
    at: Time,
}

impl Given {
    fn is_of(&self, ask: &AskPermit) -> bool {
        (self.holder.0, self.number) == (ask.holder, ask.number)
    }
}

impl Permits {
    /// A node that starts at `now`. Another may have given permits before, so it gives none until
    /// all of those have lapsed.
    #[must_use]
    pub fn new(now: Time, me: NodeId, opts: Options) -> Self {
        let before = View {
            began: now,
            live: Vec::new(),
        };
        Self {
            opts,
            me,
            given: HashMap::new(),
            released: HashMap::new(),
            views: vec![before],
        }
    }

    /// Takes in the live nodes, this one included, whenever they change.
    pub fn on_members(&mut self, now: Time, live: &[NodeId]) {
        self.released.retain(|node, _| live.contains(node));
        self.views.push(View {
            began: now,
            live: live.to_vec(),
        });
        let horizon = now.before(self.takeover());
        let outdated = self
            .views
            .iter()
            .skip(1)
            .take_while(|view| view.began < horizon)
            .count();
        self.views.drain(..outdated);
    }

    /// The node to ask for a permit.
    #[must_use]
    pub fn coordinator(&self, fingerprint: Fingerprint) -> Option<NodeId> {
        let now = self.views.last().expect("there is a view from the start");
        coordinator(fingerprint, &now.live)
    }

    /// Gives a permit to run a suspect alone at the holder's server, to be used within
    /// [`Options::validity`] from when the holder asked.
    ///
    /// # Errors
    ///
    /// A not-run refusal when the request is refused altogether, when it runs already, or when
    /// this node does not surely decide alone on the fingerprint. The coordinator's own server
    /// runs none: both could be lost together, and the strike with them.
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
        if self.may_give(now, ask) {
            self.given.entry(fingerprint).or_insert(Given {
                holder: NodeId(ask.holder),
                number: ask.number,
                at: now,
            });
            return Ok(());
        }
        Err(Refusal::not_run(Reason::Suspect).retry_after(self.opts.retry_after))
    }

    fn may_give(&self, now: Time, ask: &AskPermit) -> bool {
        let (fingerprint, holder) = (Fingerprint(ask.fingerprint), NodeId(ask.holder));
        let is_late = self
            .released
            .get(&holder)
            .is_some_and(|number| ask.number <= *number);
        let is_free = self
            .given
            .get(&fingerprint)
            .is_none_or(|given| given.is_of(ask));
        is_free && !is_late && holder != self.me && self.decides_alone(now, fingerprint)
    }

    /// Takes a permit back; the strike that came with it counts first.
    pub fn release(&mut self, now: Time, release: &ReleasePermit, suspects: &mut Suspects) {
        if let Some(strike) = &release.strike {
            suspects.merge_record(now, strike);
        }
        let holder = NodeId(release.holder);
        let highest = self.released.entry(holder).or_default();
        *highest = release.number.max(*highest);
        let fingerprint = Fingerprint(release.fingerprint);
        let is_given = |it: &Given| (it.holder, it.number) == (holder, release.number);
        if self.given.get(&fingerprint).is_some_and(is_given) {
            self.given.remove(&fingerprint);
        }
    }

    /// Whether a permit for the fingerprint is out.
    #[must_use]
    pub fn has_given(&self, fingerprint: Fingerprint) -> bool {
        self.given.contains_key(&fingerprint)
    }

    /// Counts a permit that lapsed without a word as a strike: its holder may have died with its
    /// server. To be called about once a second.
    pub fn tick(&mut self, now: Time, suspects: &mut Suspects) {
        let longest = ClockDrift::default().max_elapsed(self.opts.validity);
        self.given.retain(|fingerprint, given| {
            let has_lapsed = now.since(given.at) > longest;
            if has_lapsed {
                suspects.merge_record(now, &lapse(*fingerprint, given));
            }
            !has_lapsed
        });
    }

    /// The longest time in which a permit of an earlier coordinator may still hold.
    fn takeover(&self) -> Duration {
        self.opts.spread + ClockDrift::default().max_elapsed(self.opts.validity)
    }

    /// Whether this node was the coordinator in every view since before any other's permit can
    /// still hold.
    fn decides_alone(&self, now: Time, fingerprint: Fingerprint) -> bool {
        let horizon = now.before(self.takeover());
        let ended_after = |at: usize| self.views.get(at + 1).is_none_or(|it| it.began >= horizon);
        let recent = (0..self.views.len()).filter(|at| ended_after(*at));
        recent
            .map(|at| &self.views[at].live)
            .all(|live| coordinator(fingerprint, live) == Some(self.me))
    }
}

/// The strike of a permit that lapsed: its holder is taken for lost.
fn lapse(fingerprint: Fingerprint, given: &Given) -> StrikeRecord {
    StrikeRecord {
        fingerprint: fingerprint.0,
        owner: given.holder.0,
        number: Crash::NODE_LOST,
        age_ms: 0,
        is_alone: true,
        is_cleared: false,
    }
}
