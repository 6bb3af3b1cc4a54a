//! One peer as this node sees it.

use cassiashunt_types::prelude::*;
use serde::{Deserialize, Serialize};

use crate::{Claim, LoadReport, Record, msg};

/// Whether a member answers.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reach {
    /// It answers, or nothing speaks against it.
    Alive,
    /// It did not answer once.
    Suspect,
    /// It has not answered for long; it may be dead, or beyond a cut.
    Unreachable,
}

impl Reach {
    /// The claim that spreads this view.
    #[must_use]
    pub const fn claim(self) -> Claim {
        match self {
            Self::Alive => Claim::Alive,
            Self::Suspect => Claim::Suspect,
            Self::Unreachable => Claim::Unreachable,
        }
    }
}

/// A peer.
#[derive(Debug, Clone, PartialEq)]
pub struct Member {
    /// What it said about itself last.
    pub record: Record,
    /// The number of that statement; only the member raises it.
    pub incarnation: u32,
    /// Whether it answers.
    pub reach: Reach,
    /// When it became known here.
    pub known_since: Time,
    /// Since when `reach` holds.
    pub reach_since: Time,
    /// The newest load that was heard of.
    pub load: Option<LoadReport>,
}

impl Member {
    /// Whether it answers and takes new work, by what is known here.
    #[must_use]
    pub fn is_available(&self) -> bool {
        self.reach != Reach::Unreachable && self.record.phase.takes_work()
    }

    /// The update that spreads this view, with the whole record.
    #[must_use]
    pub fn to_update(&self) -> msg::Update {
        msg::Update {
            id: self.record.id.0,
            incarnation: self.incarnation,
            claim: self.reach.claim().number(),
            record: Some((&self.record).into()),
        }
    }

    /// The shortest update that spreads this view as news.
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
