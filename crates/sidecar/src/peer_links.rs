//! Selects the peers that this node is connected to: owners that it sends requests to, nodes above
//! it in the aggregation tree, and homes of limits.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use cassiashunt_mesh::{SubsetWidth, subset};
use cassiashunt_types::prelude::*;

use crate::{clock, node::Node, quota::home_candidates, tree};

/// The largest number of nodes at which each is connected to all others.
const FULL_MESH_MAX_NODES: usize = 32;

/// The width of the subset of each service's owners that this node is connected to.
#[derive(Default)]
pub(crate) struct SubsetWidths {
    by_service: RefCell<HashMap<Service, SubsetWidth>>,
}

/// Adapts the subset widths to the load of the connected servers, then updates the links.
pub(crate) fn update_subsets(node: &Rc<Node>) {
    let now = clock::now();
    if node.fleet.borrow().size() > FULL_MESH_MAX_NODES {
        let capacities = node.shedding.capacities();
        let mut subset_widths = node.subset_widths.by_service.borrow_mut();
        for service in node.fleet.borrow().owners().into_keys() {
            let capacity = capacities.get(&service).copied().unwrap_or_default();
            let Some(load) = capacity.load() else {
                // No known node serves it.
                continue;
            };
            let subset_load = node.fleet.borrow().subset_load(service);
            let width = subset_widths.entry(service).or_default();
            if width.step(now, subset_load, load) {
                log::info!(service:% = service, factor = width.factor(), busy = capacity.busy,
                    slots = capacity.slots, in_reach = subset_load.unwrap_or(-1.0);
                    "subset-changed");
            }
        }
    }
    update_links(node);
}

/// Connects this node to the peers that it currently needs.
pub(crate) fn update_links(node: &Rc<Node>) {
    let settings = node.settings();
    let mut fleet = node.fleet.borrow_mut();
    let wanted = if fleet.size() <= FULL_MESH_MAX_NODES {
        fleet.names()
    } else {
        let subset_widths = node.subset_widths.by_service.borrow();
        let mut wanted = Vec::new();
        for (service, owners) in fleet.owners() {
            let width = subset_widths.get(&service).copied().unwrap_or_default();
            wanted.extend(subset(
                &settings.name,
                settings.domain(),
                owners,
                width.factor(),
            ));
        }
        wanted.extend(tree::wanted_peers(node, &fleet));
        wanted.extend(home_candidates(&fleet, &settings.name));
        wanted
    };
    fleet.set_wanted_peers(clock::now(), node, &wanted.into_iter().collect());
}
