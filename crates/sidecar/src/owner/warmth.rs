//! Limits the starts at a cold backend server, and evacuates the server.

use std::rc::Rc;

use cassiashunt_admit::StartLimit;
use cassiashunt_mesh::ServiceRow;
use cassiashunt_types::prelude::*;

use super::{Owner, requests::Inner};
use crate::{clock, metrics, node::Node, settings::Bounds};

/// The share of the operators' slack that is used. The rest is left for requests that were sent before
/// the node learned that the server is cold.
const USED_SLACK_SHARE: f64 = 0.5;

/// The limit on starts at a cold server of a service; `None` where the operators state none.
fn start_limit(row: &ServiceRow, bounds: &Bounds) -> Option<StartLimit> {
    let tolerated = row.warm_up_rate * bounds.warm_up_excess;
    let per_second = tolerated + bounds.warm_up_slack * USED_SLACK_SHARE;
    (row.warm_up_rate > 0.0).then_some(StartLimit {
        per_second: (per_second as u32).max(1),
        cold_time: row.warm_up,
    })
}

impl Owner {
    /// Applies what the table in force states of the server's service.
    pub(crate) fn on_table(&self, node: &Node) {
        let now = clock::now();
        let table = node.table();
        let row = table.as_ref().and_then(|it| it.service(node.service()));
        let bounds = &node.settings().bounds;
        let limit = row.and_then(|row| start_limit(row, bounds));
        let mut inner = self.inner.borrow_mut();
        inner.start_limit = limit;
        inner.admission.set_start_limit(now, limit);
        inner.apply_warmth(now);
    }

    /// Takes the server to be cold until it says otherwise, since it may have started anew.
    pub(super) fn doubt_warmth(&self, node: &Rc<Node>) {
        let is_limited = {
            let now = clock::now();
            let mut inner = self.inner.borrow_mut();
            inner.warmth.on_doubt(now);
            inner.apply_warmth(now);
            inner.start_limit.is_some()
        };
        if is_limited {
            self.identify(node);
        }
    }

    /// Asks the server whether it is cold where that is in doubt.
    pub(super) fn check_warmth(&self, node: &Rc<Node>) {
        if self.inner.borrow().is_warmth_doubted() {
            self.identify(node);
        }
    }

    /// Evacuates the server, or takes it back. Running requests end as they can; the server may be cold
    /// afterwards.
    pub(crate) fn set_evacuated(&self, node: &Rc<Node>, is_evacuated: bool) {
        let actions = {
            let mut inner = self.inner.borrow_mut();
            inner.is_evacuated = is_evacuated;
            if is_evacuated {
                inner.admission.drain()
            } else {
                if !inner.is_leaving() {
                    inner.admission.resume();
                }
                Vec::new()
            }
        };
        self.apply(node, actions);
        if !is_evacuated {
            self.doubt_warmth(node);
        }
        node.on_server_changed();
    }
}

impl Inner {
    /// Whether the server is to be asked whether it is cold.
    pub(super) fn is_warmth_doubted(&self) -> bool {
        let is_up = self.server.is_some() && !self.is_down;
        is_up && self.start_limit.is_some() && self.warmth.is_doubted()
    }

    /// Whether the server counts as cold.
    pub(super) fn is_cold(&self, now: Time) -> bool {
        let cold_time = self.start_limit.map_or(Duration::ZERO, |it| it.cold_time);
        !self.warmth.cold_left(now, cold_time).is_zero()
    }

    /// Limits the starts as long as the server counts as cold.
    pub(super) fn apply_warmth(&mut self, now: Time) {
        let Some(limit) = self.start_limit else {
            return;
        };
        let was_limited = self.admission.is_start_limited(now);
        let left = self.warmth.cold_left(now, limit.cold_time);
        self.admission.set_cold(now, left);
        if !was_limited && !left.is_zero() {
            metrics::server_cold();
            log::info!(server = self.server_name(), left_ms = clock::millis(left),
                per_second = limit.per_second, doubted = self.warmth.is_doubted(); "server-cold");
        }
    }
}
