//! Which peers this node is connected to: those that it gives work, those above it in the tree, and
//! the homes of limits.

use std::{cell::RefCell, collections::HashMap, rc::Rc};

use cassiashunt_mesh::{SubsetWidth, subset};
use cassiashunt_types::prelude::*;

use crate::{clock, node::Node, quota::home_candidates, tree};

/// Up to so many nodes each is connected to all others.
const ALL: usize = 32;

/// How many owners of each service this node is connected to.
#[derive(Default)]
pub(crate) struct Widths {
    of: RefCell<HashMap<Service, SubsetWidth>>,
}

/// Looks whether the servers in reach are enough, and at which peers are needed.
pub(crate) fn step(node: &Rc<Node>) {
    let now = clock::now();
    if node.fleet.borrow().size() > ALL {
        let capacities = node.shedding.capacities();
        let mut widths = node.widths.of.borrow_mut();
        for service in node.fleet.borrow().owners().into_keys() {
            let whole = capacities.get(&service).copied().unwrap_or_default();
            let Some(load) = whole.load() else {
                // Nobody serves it, as far as is known.
                continue;
            };
            let in_reach = node.fleet.borrow().load_in_reach(service);
            let width = widths.entry(service).or_default();
            if width.step(now, in_reach, load) {
                log::info!(service:% = service, factor = width.factor(), busy = whole.busy,
                    slots = whole.slots, in_reach = in_reach.unwrap_or(-1.0); "subset-changed");
            }
        }
    }
    rewire(node);
}

/// Connects this node to the peers that it needs now.
pub(crate) fn rewire(node: &Rc<Node>) {
    let settings = node.settings();
    let mut fleet = node.fleet.borrow_mut();
    let wanted = if fleet.size() <= ALL {
        fleet.names()
    } else {
        let widths = node.widths.of.borrow();
        let mut wanted = Vec::new();
        for (service, owners) in fleet.owners() {
            let width = widths.get(&service).copied().unwrap_or_default();
            wanted.extend(subset(
                &settings.name,
                settings.domain,
                owners,
                width.factor(),
            ));
        }
        wanted.extend(tree::wanted(node, &fleet));
        wanted.extend(home_candidates(&fleet, &settings.name));
        wanted
    };
    fleet.set_wanted_peers(clock::now(), node, &wanted.into_iter().collect());
}
