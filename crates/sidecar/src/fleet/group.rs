//! The backend servers of one service, and what their owners told of them.

use std::collections::HashMap;

use cassiashunt_admit::chain_admission::Capacity;
use cassiashunt_route::{Chooser, OwnerReport, ServerKey};
use cassiashunt_suspect::{Fingerprint, weight};
use cassiashunt_types::prelude::*;

use super::Way;
use crate::link::Load;

/// The servers of one service.
pub(super) struct Group {
    pub(super) chooser: Chooser,
    pub(super) ways: HashMap<ServerKey, Way>,
    /// What owners that take work told last.
    pub(super) capacities: HashMap<ServerKey, Capacity>,
}

impl Group {
    pub(super) fn on_load(&mut self, now: Time, key: ServerKey, load: &Load) {
        self.on_report(now, key, OwnerReport::from_bits(load.report));
        if load.slots > 0 {
            self.chooser.set_slots(key, load.slots);
        }
        if let Some(capacity) = load.capacity() {
            self.capacities.insert(key, capacity);
        }
    }

    pub(super) fn on_report(&mut self, now: Time, key: ServerKey, report: OwnerReport) {
        for changed in self.chooser.on_report(now, key, report) {
            let failing = self.chooser.failure_rate(changed);
            let owner = self.ways.get(&changed).map_or("", Way::owner);
            if self.chooser.is_outlier(changed) {
                log::warn!(owner = owner, failing = failing; "server-left-out");
            } else {
                log::info!(owner = owner, failing = failing; "server-taken-back");
            }
        }
    }

    /// The server that takes work beside the node with the highest weight for a suspect.
    pub(super) fn place_of(&self, fingerprint: Fingerprint, own: &str) -> Option<ServerKey> {
        let name = |key: &ServerKey| match self.ways.get(key) {
            Some(Way::Link(name, _)) => name,
            _ => own,
        };
        let serving = self.capacities.keys().copied();
        serving.max_by_key(|key| weight(fingerprint, name(key)))
    }

    pub(super) fn left_out(&self) -> Capacity {
        let mut sum = Capacity::default();
        let out = self.capacities.iter();
        for (_, capacity) in out.filter(|(key, _)| self.chooser.is_outlier(**key)) {
            sum += *capacity;
        }
        sum
    }
}
