//! Detects crashes of the backend server, and records strikes against the requests in flight there.

use std::rc::Rc;

use cassiashunt_types::prelude::*;

use super::{
    Owner,
    pool::{connect, is_refused},
    requests::Inner,
    run::Delivery,
};
use crate::{clock, node::Node};

/// Delay before the server is checked: all connections of a crashed server are seen to close within
/// it.
const CONNECTION_CLOSE_DELAY: Duration = Duration::from_millis(20);
/// Maximum number of fingerprints in one log line.
const MAX_LOGGED_FINGERPRINTS: usize = 8;

impl Owner {
    /// Checks whether the server still accepts connections after it closed one without an answer.
    pub(super) fn check_server(&self, node: &Rc<Node>) {
        if !self.may_have_crashed() || self.is_checking.replace(true) {
            return;
        }
        let node = Rc::clone(node);
        tokio::task::spawn_local(async move {
            tokio::time::sleep(CONNECTION_CLOSE_DELAY).await;
            node.owner.is_checking.set(false);
            if !node.owner.may_have_crashed() {
                return;
            }
            let connected = connect(node.settings().addresses.server).await;
            if connected.err().as_ref().is_some_and(is_refused) {
                node.owner.on_down(&node, true);
            }
        });
    }

    /// Records that connecting to the server failed; `is_refused` if its port is closed.
    pub(super) fn on_down(&self, node: &Rc<Node>, is_refused: bool) {
        if is_refused {
            self.on_server_crash(node);
        }
        let was_down = {
            let mut inner = self.inner.borrow_mut();
            inner.starts.on_down();
            std::mem::replace(&mut inner.is_down, true)
        };
        if !was_down {
            log::warn!(server:? = self.server_id(); "server-down");
            self.pool.clear();
            self.doubt_warmth(node);
            node.on_server_changed();
        }
    }

    /// Records a strike against each request that was in flight at the crashed server, unless the
    /// server had announced that it leaves.
    pub(super) fn on_server_crash(&self, node: &Node) {
        let (is_leaving, in_flight) = {
            let mut inner = self.inner.borrow_mut();
            (
                inner.is_leaving(),
                inner.in_flight.on_server_crash(clock::now()),
            )
        };
        if is_leaving || in_flight.is_empty() {
            return;
        }
        let logged = in_flight
            .iter()
            .take(MAX_LOGGED_FINGERPRINTS)
            .map(ToString::to_string);
        log::warn!(server:? = self.server_id(), in_flight = in_flight.len(),
            fingerprints:% = logged.collect::<Vec<_>>().join(" "); "server-died");
        node.suspicion
            .on_server_crash(clock::now(), node.incarnation, &in_flight);
        node.report_now.notify_one();
    }

    fn may_have_crashed(&self) -> bool {
        self.inner.borrow().in_flight.is_in_doubt()
    }
}

impl Inner {
    /// Records how far a request got that was to be sent to the server.
    pub(super) fn record_delivery(&mut self, node: &Node, id: RequestId, delivery: Delivery) {
        let now = clock::now();
        match delivery {
            Delivery::Responded => {
                self.in_flight.on_answered(now, &id);
            }
            Delivery::Answered => {
                let answered = self.in_flight.on_answered(now, &id);
                let is_cleared = answered.is_some_and(|(fingerprint, sent)| {
                    node.suspicion.on_finished(fingerprint, sent)
                });
                if is_cleared {
                    node.report_now.notify_one();
                }
            }
            Delivery::Unanswered => self.in_flight.on_unanswered(now, &id),
            Delivery::NotSent { .. } | Delivery::Replaced => self.in_flight.on_not_sent(&id),
        }
    }
}
