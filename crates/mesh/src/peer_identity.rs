//! Whether the node that an entry states is the one that answers at its address.

use cassiashunt_types::prelude::*;

/// How long a node counts as one whose address refuses connections and that has never answered; longer
/// than its entry outlives it.
const REFUSED_TIME: Duration = Duration::from_secs(8);

/// What answers at a peer's address.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum Answerer {
    /// Nothing yet.
    #[default]
    None,
    /// The peer.
    Peer,
    /// A node of another name.
    Other,
}

/// What is known of a peer besides its entry, which any writer of the store can make up.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct PeerIdentity {
    answerer: Answerer,
    /// Since when all connections to the peer were refused; `None` if the last one was not.
    refused_since: Option<Time>,
}

impl PeerIdentity {
    /// Records a failed connection to the peer's address. One that is not refused tells nothing of the
    /// peer: this node may be cut off from it.
    pub fn on_unreached(&mut self, now: Time, is_refused: bool) {
        let since = self.refused_since.unwrap_or(now);
        self.refused_since = is_refused.then_some(since);
    }

    /// Records that this node no longer tries to reach the peer.
    pub fn on_left(&mut self) {
        if self.answerer != Answerer::Peer {
            *self = Self::default();
        }
    }

    /// Records whether the node at the peer's address has the peer's name.
    pub fn on_named(&mut self, is_same: bool) {
        self.answerer = if is_same {
            Answerer::Peer
        } else {
            Answerer::Other
        };
    }

    /// Records a load report from the peer's address. Returns whether it is the peer's; a node of an
    /// earlier release doesn't state its name.
    pub fn on_load(&mut self) -> bool {
        if self.answerer == Answerer::None {
            self.answerer = Answerer::Peer;
        }
        self.answerer == Answerer::Peer
    }

    /// Returns whether the peer has answered.
    #[must_use]
    pub fn is_confirmed(&self) -> bool {
        self.answerer == Answerer::Peer
    }

    /// Returns whether a node of another name answers.
    #[must_use]
    pub fn is_other(&self) -> bool {
        self.answerer == Answerer::Other
    }

    /// Returns whether the peer counts as a node. `is_alone` tells that no peer has answered this node,
    /// which may be cut off itself.
    #[must_use]
    pub fn counts(&self, now: Time, is_alone: bool) -> bool {
        match self.answerer {
            Answerer::Peer => true,
            Answerer::Other => false,
            Answerer::None => {
                let since = self.refused_since;
                is_alone || since.is_none_or(|it| now.since(it) < REFUSED_TIME)
            }
        }
    }
}
