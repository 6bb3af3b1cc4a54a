//! The backend servers of one service, and the reports of their owners.

use std::collections::HashMap;

use cassiashunt_admit::chain_admission::Capacity;
use cassiashunt_route::{Chooser, OwnerReport, ServerKey};
use cassiashunt_suspect::{Fingerprint, node_weight};
use cassiashunt_types::prelude::*;

use super::ServerPath;
use crate::link::Load;

/// The backend servers of one service, and the load balancer among them.
pub(super) struct ServiceGroup {
    pub(super) chooser: Chooser,
    pub(super) paths: HashMap<ServerKey, ServerPath>,
    /// The last reported capacities of the owners that take new requests.
    pub(super) capacities: HashMap<ServerKey, Capacity>,
}

impl ServiceGroup {
    /// Handles a load report of the owner of a server.
    pub(super) fn on_load(&mut self, now: Time, key: ServerKey, load: &Load) {
        self.on_report(now, key, OwnerReport::from_bits(load.report));
        if load.slots > 0 {
            self.chooser.set_slots(key, load.slots);
        }
        if let Some(capacity) = load.capacity() {
            self.capacities.insert(key, capacity);
        }
    }

    /// Handles an owner's report on its server, and logs each server that became an outlier or
    /// ceased to be one.
    pub(super) fn on_report(&mut self, now: Time, key: ServerKey, report: OwnerReport) {
        for changed in self.chooser.on_report(now, key, report) {
            let failure_rate = self.chooser.failure_rate(changed);
            let owner = self.paths.get(&changed).map_or("", ServerPath::owner);
            if self.chooser.is_outlier(changed) {
                log::warn!(owner = owner, failing = failure_rate; "server-left-out");
            } else {
                log::info!(owner = owner, failing = failure_rate; "server-taken-back");
            }
        }
    }

    /// The server for a suspect request: the serving one whose node has the highest weight for the
    /// fingerprint (rendezvous hashing). `own` is this node's name.
    pub(super) fn server_for_suspect(
        &self,
        fingerprint: Fingerprint,
        own: &str,
    ) -> Option<ServerKey> {
        let name = |key: &ServerKey| match self.paths.get(key) {
            Some(ServerPath::Link(name, _)) => name,
            _ => own,
        };
        let serving = self.capacities.keys().copied();
        serving.max_by_key(|key| node_weight(fingerprint, name(key)))
    }

    /// The sum of the capacities of outliers.
    pub(super) fn outlier_capacity(&self) -> Capacity {
        let mut sum = Capacity::default();
        let capacities = self.capacities.iter();
        for (_, capacity) in capacities.filter(|(key, _)| self.chooser.is_outlier(**key)) {
            sum += *capacity;
        }
        sum
    }
}
