//! Asks whether a client's request is let in now, and if not, when it may come back.

use cassiashunt_admit::{
    Priority, RetryAfter, TimeLeft,
    fair_admission::{Arrival, Decision},
};
use cassiashunt_mesh::RouteRow;
use cassiashunt_types::prelude::*;

use crate::{clock, metrics, node::Node};

/// The least urgent rank of a route.
const MAX_RANK: u8 = 9;

/// A client's request before its chain starts.
#[derive(Debug, Clone, Copy)]
pub(super) struct Turn<'a> {
    pub(super) route: &'a RouteRow,
    pub(super) arrival: Arrival,
    pub(super) received: Time,
    /// When its client gives up.
    pub(super) limit: Time,
}

impl Turn<'_> {
    /// Whether the request is let in. The fleet's chain admission decides how many are, and this
    /// node's distribution who.
    pub(super) fn ask(&self, node: &Node) -> Decision {
        let Arrival {
            route, priority, ..
        } = self.arrival;
        let bottleneck = node.shedding.bottleneck(route, priority.0);
        let is_counted = node.shedding.admit(route, priority.0);
        let fraction = bottleneck.map(|(_, fraction)| fraction);
        let mut fair = node.fair_admission.borrow_mut();
        let decision = fair.on_request(clock::now(), &self.arrival, fraction);
        Decision {
            is_admitted: decision.is_admitted && (is_counted || fraction.is_some()),
            ..decision
        }
    }

    /// When it may come back, if it is refused for want of room.
    pub(super) fn retry_after(&self, node: &Node, is_return: bool) -> RetryAfter {
        let now = clock::now();
        let left = TimeLeft {
            limit: self.limit.since(now),
            objective: (self.received + self.route.objective).since(now),
            work: node.shedding.run_time(self.route.name),
        };
        let mut fair = node.fair_admission.borrow_mut();
        let after = fair.on_refusal(now, &self.arrival, is_return, left, urgency(self.route));
        metrics::retry_after_given(after.why.name());
        after
    }
}

/// What a client's request brings to the distribution.
pub(super) fn arrival(
    route: &RouteRow,
    priority: u8,
    workspace: Option<Workspace>,
    fingerprint: u64,
) -> Arrival {
    Arrival {
        route: route.name,
        priority: Priority(priority),
        workspace,
        fingerprint,
    }
}

/// 1 for the most urgent route, 0 for the least.
fn urgency(route: &RouteRow) -> f64 {
    1.0 - f64::from(route.rank.min(MAX_RANK)) / f64::from(MAX_RANK)
}

/// Whether a refusal before or at the owners is for want of room, so that the request has a place
/// when it comes back.
pub(super) fn is_for_want_of_room(reason: Reason) -> bool {
    matches!(
        reason,
        Reason::Shed | Reason::NoServer | Reason::ServerRefused
    )
}
