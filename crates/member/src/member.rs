//! A member as this node sees it.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Claim, LoadReport, Record, msg};

/// Whether a member answers probes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// It answers, or nobody suspects it.
    Alive,
    /// It did not answer a probe.
    Suspect,
    /// It was suspected for [`Options::suspect_for`](crate::Options::suspect_for) without a
    /// refutation; it may have crashed, or a network partition may separate it.
    Unreachable,
}

impl Reach {
    /// The claim that gossips this state.
    #[must_use]
    pub const fn claim(self) -> Claim {
        match self {
            Self::Alive => Claim::Alive,
            Self::Suspect => Claim::Suspect,
            Self::Unreachable => Claim::Unreachable,
        }
    }
}

/// A member of the fleet.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// Its description of itself in the newest known incarnation.
    pub record: Record,
    /// The incarnation of that description; only the member itself raises it.
    pub incarnation: u32,
    /// Whether it answers probes.
    pub reach: Reach,
    /// When it was added to this node's view.
    pub known_since: Time,
    /// When `reach` was last set.
    pub reach_since: Time,
    /// The newest load report received; `None` before the first.
    pub load: Option<LoadReport>,
}

impl Member {
    /// Whether this node sees it as reachable and in a phase that takes new work.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.reach != Reach::Unreachable && self.record.phase.takes_work()
    }

    /// The update that gossips this member, with its record.
    #[must_use]
    pub fn to_update(&self) -> msg::Update {
        msg::Update {
            id: self.record.id.0,
            incarnation: self.incarnation,
            claim: self.reach.claim().number(),
            record: Some((&self.record).into()),
        }
    }

    /// The shortest update that gossips this member: the record is left out unless it is alive.
    #[must_use]
    pub fn to_compact_update(&self) -> msg::Update {
        let update = self.to_update();
        match self.reach {
            Reach::Alive => update,
            Reach::Suspect | Reach::Unreachable => msg::Update {
                record: None,
                ..update
            },
        }
    }
}
