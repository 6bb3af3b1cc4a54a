//! Deaths of the backend server, and what was in flight there.

use std::rc::Rc;

use cassiashunt_types::prelude::*;

use super::{
    Owner,
    pool::{connect, is_refused},
    requests::Inner,
    run::Fate,
};
use crate::{clock, node::Node};

/// The time in which all connections of a dead server are seen to end.
const CONNECTIONS_END: Duration = Duration::from_millis(20);
/// Fingerprints that one line names.
const MAX_LOGGED: usize = 8;

impl Owner {
    /// Looks whether the server is still there after it ended a connection without an answer.
    pub(super) fn look_after(&self, node: &Rc<Node>) {
        if !self.is_in_doubt() || self.is_looking.replace(true) {
            return;
        }
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CONNECTIONS_END).await;
            node.owner.is_looking.set(false);
            if !node.owner.is_in_doubt() {
                return;
            }
            let connected = connect(node.settings().addresses.server).await;
            if connected.err().as_ref().is_some_and(is_refused) {
                node.owner.on_down(&node, true);
            }
        });
    }

    /// Takes in that the server can't be connected to; `is_refused` where its port is closed.
    pub(super) fn on_down(&self, node: &Rc<Node>, is_refused: bool) {
        if is_refused {
            self.on_died(node);
        }
        if !std::mem::replace(&mut self.inner.borrow_mut().is_down, true) {
            log::warn!(server:? = self.server_id(); "server-down");
            self.pool.clear();
            node.on_server_changed();
        }
    }

    /// Holds the server's end against what was in flight there, unless it had said that it leaves.
    pub(super) fn on_died(&self, node: &Node) {
        let (is_leaving, in_flight) = {
            let mut inner = self.inner.borrow_mut();
            (inner.is_leaving(), inner.in_flight.on_died(clock::now()))
        };
        if is_leaving || in_flight.is_empty() {
            return;
        }
        let named = in_flight.iter().take(MAX_LOGGED).map(ToString::to_string);
        log::warn!(server:? = self.server_id(), in_flight = in_flight.len(),
            fingerprints:% = named.collect::<Vec<_>>().join(" "); "server-died");
        node.suspicion
            .on_died(clock::now(), node.incarnation, &in_flight);
        node.tell_now.notify_one();
    }

    fn is_in_doubt(&self) -> bool {
        self.inner.borrow().in_flight.is_in_doubt()
    }
}

impl Inner {
    /// Takes in what became of a request that was sent to the server.
    pub(super) fn take_in_fate(&mut self, node: &Node, id: RequestId, fate: Fate) {
        let now = clock::now();
        match fate {
            Fate::Alive => {
                self.in_flight.on_answered(now, &id);
            }
            Fate::Answered => {
                let answered = self.in_flight.on_answered(now, &id);
                let is_cleared = answered.is_some_and(|(fingerprint, sent)| {
                    node.suspicion.on_finished(fingerprint, sent)
                });
                if is_cleared {
                    node.tell_now.notify_one();
                }
            }
            Fate::Unanswered => self.in_flight.on_unanswered(now, &id),
            Fate::NotSent { .. } | Fate::Replaced => self.in_flight.on_not_sent(&id),
        }
    }
}
