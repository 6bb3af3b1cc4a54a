//! New processes at addresses that others hold.
//!
//! Wall clocks do not tell which of two processes at one address is the later one. The address
//! does: whoever answers there to a question that was sent after the other process was known has
//! taken over from it.

use std::{collections::BTreeMap, net::SocketAddr};

use cassiashunt_types::prelude::*;

use crate::msg::Update;

/// The most claims that wait at a time.
const LIMIT: usize = 64;

/// A claim that waits until its address has answered.
#[derive(Debug, Clone)]
struct Contest {
    update: Update,
    addr: SocketAddr,
    since: Time,
}

/// The claims that wait.
#[derive(Debug, Default)]
pub(crate) struct Contests {
    waiting: BTreeMap<NodeId, Contest>,
}

/// What became of the claims to an address that has answered.
#[derive(Debug, Default)]
pub(crate) struct Settled {
    /// The claim of the process that answered.
    pub holder: Option<Update>,
    /// Processes that came before it.
    pub earlier: Vec<NodeId>,
}

impl Contests {
    /// Adds a claim; `true` where the address has to be asked.
    pub(crate) fn add(&mut self, now: Time, addr: SocketAddr, update: &Update) -> bool {
        let id = NodeId(update.id);
        if let Some(known) = self.waiting.get_mut(&id) {
            if known.update.incarnation < update.incarnation {
                known.update = update.clone();
            }
            return false;
        }
        if self.waiting.len() >= LIMIT {
            return false;
        }
        let contest = Contest {
            update: update.clone(),
            addr,
            since: now,
        };
        self.waiting.insert(id, contest);
        true
    }

    /// Drops a claim whose address did not answer.
    pub(crate) fn remove(&mut self, id: NodeId) {
        self.waiting.remove(&id);
    }

    /// Drops every claim.
    pub(crate) fn clear(&mut self) {
        self.waiting.clear();
    }

    /// Settles the claims to `addr`, where `holder` answered a question sent at `asked`.
    pub(crate) fn settle(&mut self, addr: SocketAddr, holder: NodeId, asked: Time) -> Settled {
        let mut settled = Settled::default();
        self.waiting.retain(|id, contest| {
            if contest.addr != addr {
                return true;
            }
            if *id == holder {
                settled.holder = Some(contest.update.clone());
                return false;
            }
            let is_earlier = contest.since <= asked;
            if is_earlier {
                settled.earlier.push(*id);
            }
            !is_earlier
        });
        settled
    }
}
